use crate::Pool;
use crate::RegistrationState;
use crate::Replica;
use crate::ReplicaKey;

/// Whether a replica takes requests of this node, and if not, why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// Its cold start leaves no request for this node at the moment.
    Cold,
    /// It is about to leave, by its entry or by its answers.
    Draining,
    /// Its entry has gone.
    Gone,
    /// It asked to be left alone for a while.
    HoldingOff,
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
        } else if self.registration.state != RegistrationState::Ready || self.standing.leaving {
            Availability::Draining
        } else if self.taken_out {
            Availability::Out
        } else if self.standing.holds_off(now_us) {
            Availability::HoldingOff
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

    /// Whether the replica will take no more requests.
    pub(crate) fn is_leaving(&self, now_us: u64) -> bool {
        self.registration.state != RegistrationState::Ready
            || self.standing.leaving
            || self.taken_out
            || self.removed_at_us.is_some_and(|at_us| at_us <= now_us)
    }

    /// Whether the replica may be sent requests at all.
    pub(crate) fn is_open(&self, now_us: u64) -> bool {
        !self.is_leaving(now_us) && !self.standing.holds_off(now_us)
    }

    /// When a replica that is suspended or holds off may be tried again.
    pub(crate) fn back_at_us(&self) -> u64 {
        self.health
            .suspended_until_us
            .max(self.standing.held_until_us)
    }

    /// Whether a request now keeps the rate that a cold replica tolerates.
    pub(crate) fn may_start(&self, now_us: u64, cold_pause_us: u64) -> bool {
        let cold_turn = self
            .cold_start_us
            .is_none_or(|last_us| now_us >= last_us + cold_pause_us);
        now_us >= self.warm_at_us || cold_turn
    }
}
