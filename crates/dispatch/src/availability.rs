use crate::Pool;
use crate::RegistrationState;
use crate::Replica;
use crate::ReplicaKey;
use crate::sending_rates::SendingRates;
use crate::service_versions::VersionRole;

/// Whether a replica takes requests of this node, or the reason why it does not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// The replica is cold, that is newly started and slow, and a request now would exceed this
    /// node's share of the rate that it accepts.
    Cold,
    /// The replica is draining, as its registration or one of its responses states.
    Draining,
    /// The replica's registration was removed.
    Gone,
    /// The replica asked for a hold-off, a time without requests, that has not ended.
    HoldingOff,
    /// The replica limits the rate of requests from all nodes, and this node's share of the limit
    /// is used up for now.
    Limited,
    /// The replica's data centre is out of service: operators evacuated it.
    Out,
    /// The replica takes requests.
    Ready,
    /// The replica is suspended after a failure or a refusal for lack of capacity.
    Suspended,
    /// A probe request is in flight after repeated failures; no other request is sent until
    /// it ends.
    Tried,
    /// No rollout allows a request to the version of the replica now.
    Withheld,
}

impl Pool {
    /// Returns whether a replica takes requests now; `None` if the replica is unknown.
    #[must_use]
    pub fn availability(&self, now_us: u64, key: ReplicaKey) -> Option<Availability> {
        let replica = self.replica(key)?;
        let rates = self.sending_rates(now_us, replica.service);
        Some(replica.availability(now_us, rates))
    }
}

impl Replica {
    /// Returns whether the replica takes requests of a node with these rates.
    pub(crate) fn availability(&self, now_us: u64, rates: SendingRates) -> Availability {
        let removed = self.removed_at_us.is_some_and(|at_us| at_us <= now_us);
        if removed {
            Availability::Gone
        } else if self.registration.state != RegistrationState::Ready || self.notice_state.draining
        {
            Availability::Draining
        } else if self.evacuated {
            Availability::Out
        } else if !self.within_rollout(rates) {
            Availability::Withheld
        } else if self.notice_state.hold_off_in_force(now_us) {
            Availability::HoldingOff
        } else if now_us < self.health.suspended_until_us {
            Availability::Suspended
        } else if self.health.needs_probe() && self.in_flight > 0 {
            Availability::Tried
        } else if !self.within_cold_rate(now_us, rates) {
            Availability::Cold
        } else if !self.within_limit(now_us, rates) {
            Availability::Limited
        } else {
            Availability::Ready
        }
    }

    /// Whether the replica takes no requests until its registration, its evacuation or the rollout
    /// of its service changes.
    pub(crate) fn is_out_of_service(&self, now_us: u64) -> bool {
        self.registration.state != RegistrationState::Ready
            || self.notice_state.draining
            || self.evacuated
            || self.role == VersionRole::Withheld
            || self.removed_at_us.is_some_and(|at_us| at_us <= now_us)
    }

    /// Whether requests may be sent to the replica, apart from suspensions, the rates that it
    /// accepts and the share of a rollout.
    pub(crate) fn accepts_requests(&self, now_us: u64) -> bool {
        !self.is_out_of_service(now_us) && !self.notice_state.hold_off_in_force(now_us)
    }

    /// Time at which the suspension and the hold-off of the replica have both ended and this node
    /// may be within the limit of the replica.
    pub(crate) fn available_at_us(&self, now_us: u64, rates: SendingRates) -> u64 {
        let limited_until_us = if self.within_limit(now_us, rates) {
            now_us
        } else {
            self.limit_allowance.next_window_us(now_us)
        };
        self.health
            .suspended_until_us
            .max(self.notice_state.hold_off_until_us)
            .max(limited_until_us)
    }

    /// Whether the rates that the replica accepts and the rollout of its service allow a request
    /// now.
    pub(crate) fn within_rates(&self, now_us: u64, rates: SendingRates) -> bool {
        self.within_cold_rate(now_us, rates)
            && self.within_limit(now_us, rates)
            && self.within_rollout(rates)
    }

    /// Whether rollouts allow a request to the version of the replica now.
    const fn within_rollout(&self, rates: SendingRates) -> bool {
        match self.role {
            VersionRole::Allowed => true,
            VersionRole::Trial => rates.allows_trial,
            VersionRole::Withheld => false,
        }
    }

    /// Whether the replica has no cold rate, or a request now stays within it.
    fn within_cold_rate(&self, now_us: u64, rates: SendingRates) -> bool {
        let own_per_s = rates.cold_per_s().filter(|_| self.has_cold_rate(now_us));
        own_per_s.is_none_or(|per_s| self.cold_allowance.allows(now_us, per_s))
    }

    /// Whether the replica names no limit, or a request now stays within this node's share of it.
    fn within_limit(&self, now_us: u64, rates: SendingRates) -> bool {
        let own_per_s = rates.limited_per_s(self.limit_per_s());
        own_per_s.is_none_or(|per_s| self.limit_allowance.allows(now_us, per_s))
    }
}
