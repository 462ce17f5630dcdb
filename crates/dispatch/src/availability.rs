use crate::Pool;
use crate::RegistrationState;
use crate::Replica;
use crate::ReplicaKey;

/// Whether a replica takes requests of this node, and if not, why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// Its cold start leaves no request for this node at the moment.
    Cold,
    /// It is about to leave.
    Draining,
    /// Its entry has gone.
    Gone,
    /// Operators took its data centre out.
    Out,
    /// It takes requests.
    Ready,
    /// It failed, or had no room, a moment ago.
    Suspended,
    /// One request tries it after failures; others wait for the result.
    Tried,
}

impl Pool {
    /// Whether a replica takes requests now; `None` for one that is not known.
    #[must_use]
    pub fn availability(&self, now_us: u64, key: ReplicaKey) -> Option<Availability> {
        let replica = self.replica(key)?;
        let cold_pause_us = self.cold_pause_us(replica.service);
        Some(replica.availability(now_us, cold_pause_us))
    }
}

impl Replica {
    /// Whether the replica takes requests of a node that sends it one in `cold_pause_us`
    /// while it is cold.
    pub(crate) fn availability(&self, now_us: u64, cold_pause_us: u64) -> Availability {
        let gone = self.removed_at_us.is_some_and(|at_us| at_us <= now_us);
        if gone {
            Availability::Gone
        } else if self.registration.state != RegistrationState::Ready {
            Availability::Draining
        } else if self.taken_out {
            Availability::Out
        } else if now_us < self.health.suspended_until_us {
            Availability::Suspended
        } else if self.health.on_trial() && self.in_flight > 0 {
            Availability::Tried
        } else if self.may_start(now_us, cold_pause_us) {
            Availability::Ready
        } else {
            Availability::Cold
        }
    }

    /// Whether the replica may be sent requests at all.
    pub(crate) fn is_open(&self, now_us: u64) -> bool {
        self.registration.state == RegistrationState::Ready
            && !self.taken_out
            && self.removed_at_us.is_none_or(|at_us| now_us < at_us)
    }

    /// Whether a request now keeps the rate that a cold replica tolerates.
    pub(crate) fn may_start(&self, now_us: u64, cold_pause_us: u64) -> bool {
        let cold_turn = self
            .cold_start_us
            .is_none_or(|last_us| now_us >= last_us + cold_pause_us);
        now_us >= self.warm_at_us || cold_turn
    }
}
