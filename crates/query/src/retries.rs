//! Hedges and retries of the legs of a read. A leg is the share of the read that one shard service
//! answers.

use crate::AbsentReason;
use crate::Coordinator;
use crate::QueryAction;
use crate::QueryId;
use crate::limits::BUSY_REFUSALS_BEFORE_WAIT;
use crate::limits::HEDGE_DELAY_MIN_US;
use crate::limits::MAX_FREE_RETRIES;
use crate::limits::MAX_SUB_REQUESTS_PER_LEG;
use crate::limits::MAX_WAITS_PER_LEG;
use crate::limits::OVERLOADED_REFUSALS_BEFORE_CHARGE;
use crate::open_read::OpenRead;
use crate::open_sub_request::OpenSubRequest;
use crate::owner_liveness::OwnerLiveness;
use crate::owner_liveness::next_hedge_check_us;
use crate::query_leg::LegState;
use crate::reads::Progress;
use crate::routing_table::Pick;
use crate::sub_request_cost::SubRequestCost;
use wigeonhall_types::RefusalReason;

impl Coordinator {
    /// Hedges an overdue leg, or ends the wait of a waiting leg.
    pub(crate) fn leg_timer_due(
        &mut self,
        now_us: u64,
        id: QueryId,
        leg_index: usize,
        timer_id: u64,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(mut read) = self.reads.remove(&id) else {
            return;
        };
        let progress = match read.legs.get(leg_index) {
            Some(leg) if leg.timer_id == timer_id => match leg.state {
                LegState::Done | LegState::Failed(_) => Progress::Open,
                LegState::Open => {
                    self.hedge(now_us, &mut read, leg_index, actions);
                    Progress::Open
                }
                // No newer version was reported in time for a restart of the read.
                LegState::Waiting(AbsentReason::VersionGone) => {
                    self.counters.restarts_refused += 1;
                    let reason = AbsentReason::VersionGone;
                    self.fail_leg(&mut read, leg_index, reason, actions)
                }
                LegState::Waiting(reason) => {
                    self.retry_leg(now_us, &mut read, leg_index, reason, actions)
                }
            },
            _ => Progress::Open,
        };
        if progress == Progress::Open {
            self.reads.insert(id, read);
        }
    }

    /// Sends a hedge for an overdue leg, or sets the timer for another check if none can be sent
    /// now.
    fn hedge(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        leg_index: usize,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(version) = read.pinned_version else {
            return;
        };
        let open = read.legs[leg_index].open_sequences.clone();
        let owners = self.check_owners(now_us, &open, actions);
        let leg = &mut read.legs[leg_index];
        if !self.hedging || leg.sub_requests_sent >= MAX_SUB_REQUESTS_PER_LEG {
            return;
        }
        // A leg has at most one hedge in flight, unless all its owners are unresponsive.
        if open.len() != 1 && owners != OwnerLiveness::Unresponsive {
            if owners == OwnerLiveness::Undecided {
                self.set_leg_timer(read, leg_index, next_hedge_check_us(now_us, u64::MAX));
            }
            return;
        }
        if owners == OwnerLiveness::Unresponsive {
            // No reply is expected from the first sub-request, so the hedge may wait for a slot
            // immediately, as if enough hedges had been refused.
            leg.busy_hedges = BUSY_REFUSALS_BEFORE_WAIT;
        }
        let service = leg.service;
        let pick = self
            .routing
            .pick_replica(now_us, service, version, &leg.unread, &leg.tried);
        match pick {
            Pick::Route(route) if now_us + route.expected_us <= read.query.deadline_us => {
                if self.charge_hedge(read, leg_index, owners) {
                    self.counters.hedges += 1;
                    self.send_sub_request(now_us, read, leg_index, route, actions);
                } else {
                    self.counters.budget_refusals += 1;
                    let delay_us = self.hedge_delay_us(service, route);
                    self.set_leg_timer(read, leg_index, next_hedge_check_us(now_us, delay_us));
                }
            }
            Pick::BackedOff { until_us } => self.set_leg_timer(read, leg_index, until_us),
            Pick::NoReplica | Pick::Route(_) => {}
        }
    }

    /// Charges a hedge; returns `false` if the budget does not allow it. A hedge that replaces
    /// a sub-request at an unresponsive owner is not charged within `MAX_FREE_RETRIES`. This
    /// adds at most one sub-request for each one sent before the owner was found unresponsive,
    /// since later ones are routed to other owners.
    fn charge_hedge(
        &mut self,
        read: &mut OpenRead,
        leg_index: usize,
        owners: OwnerLiveness,
    ) -> bool {
        let leg = &mut read.legs[leg_index];
        let uncharged =
            owners == OwnerLiveness::Unresponsive && leg.free_retries < MAX_FREE_RETRIES;
        leg.hedge_charged = !uncharged;
        if uncharged {
            leg.free_retries += 1;
            self.counters.hedges_free += 1;
            return true;
        }
        self.routing.service_mut(leg.service).budget.try_charge()
    }

    /// Processes a refusal, which proves that the sub-request did not run.
    pub(crate) fn leg_refused(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        leg_index: usize,
        sub: OpenSubRequest,
        reason: RefusalReason,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        if !read.legs[leg_index].open_sequences.is_empty()
            && SubRequestCost::of_retry_after(reason) == SubRequestCost::Free
        {
            self.hedge_refused(now_us, read, leg_index, sub, reason);
            return Progress::Open;
        }
        let leg = &mut read.legs[leg_index];
        leg.next_sub_request_cost = SubRequestCost::of_retry_after(reason);
        if reason == RefusalReason::Busy {
            self.counters.busy += 1;
            // The replica stays eligible: it may still be the best one, now that its wait is
            // known.
            leg.busy_refusals += 1;
            leg.last_busy_replica = Some(sub.replica);
            leg.tried.retain(|replica| *replica != sub.replica);
        }
        if reason == RefusalReason::Overloaded {
            // Two replicas at their limit indicate overload. Charging further retries refuses
            // the request early instead of trying every replica.
            leg.overloaded_refusals += 1;
            if leg.overloaded_refusals >= OVERLOADED_REFUSALS_BEFORE_CHARGE {
                leg.next_sub_request_cost = SubRequestCost::ChargedToBudget;
            }
        }
        if reason == RefusalReason::NotOwner && self.owner_changed(sub) {
            leg.tried.retain(|replica| *replica != sub.replica);
        }
        let reason = AbsentReason::Refused(reason);
        self.retry_leg(now_us, read, leg_index, reason, actions)
    }

    /// Refunds a refused hedge if it was charged, since it placed no load on a target, and sets
    /// the timer for another one.
    fn hedge_refused(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        leg_index: usize,
        sub: OpenSubRequest,
        reason: RefusalReason,
    ) {
        self.counters.hedges_refused += 1;
        let leg = &mut read.legs[leg_index];
        if reason == RefusalReason::Busy {
            leg.busy_hedges += 1;
            leg.tried.retain(|replica| *replica != sub.replica);
        }
        let service = self.routing.service_mut(leg.service);
        if std::mem::take(&mut leg.hedge_charged) {
            service.budget.refund();
        }
        let delay_us = service.latency.delay_us().unwrap_or(HEDGE_DELAY_MIN_US);
        self.set_leg_timer(read, leg_index, now_us + delay_us);
    }

    /// Returns whether the replica now has a different owner than the one that the sub-request
    /// was sent to.
    pub(crate) fn owner_changed(&mut self, sub: OpenSubRequest) -> bool {
        let owner = self.routing.replica_mut(sub.replica).owner;
        owner.is_some_and(|(node, _)| node != sub.node)
    }

    /// Requests the unread keys of a leg from another replica, waits for a replica, restarts
    /// the read, or marks the leg as failed.
    pub(crate) fn retry_leg(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        leg_index: usize,
        reason: AbsentReason,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        let leg = &mut read.legs[leg_index];
        let Some(version) = read.pinned_version else {
            return Progress::Open;
        };
        if !leg.open_sequences.is_empty() {
            return Progress::Open;
        }
        let deadline_us = read.query.deadline_us;
        let service = leg.service;
        let Some(mut pick) = self.pick_retry_replica(now_us, read, leg_index, version, reason)
        else {
            let reason = AbsentReason::Refused(RefusalReason::Overloaded);
            return self.restart_or_fail_leg(now_us, read, leg_index, reason, actions);
        };
        let leg = &mut read.legs[leg_index];
        if matches!(pick, Pick::NoReplica) && may_accept_later(reason) {
            leg.tried.clear();
            pick = self
                .routing
                .pick_replica(now_us, service, version, &leg.unread, &[]);
        }
        let sub_request_left = leg.sub_requests_sent < MAX_SUB_REQUESTS_PER_LEG;
        let may_wait = leg.waits < MAX_WAITS_PER_LEG;
        match pick {
            Pick::Route(route) if sub_request_left && now_us + route.expected_us <= deadline_us => {
                let charged = self.charge_and_send(now_us, read, leg_index, route, actions);
                if charged {
                    return Progress::Open;
                }
            }
            Pick::BackedOff { until_us }
                if sub_request_left && may_wait && until_us < deadline_us =>
            {
                self.wait_leg(read, leg_index, until_us, reason);
                return Progress::Open;
            }
            _ => {}
        }
        self.restart_or_fail_leg(now_us, read, leg_index, reason, actions)
    }

    /// Marks a leg as failed. Answers immediately if the caller requires full coverage.
    pub(crate) fn fail_leg(
        &mut self,
        read: &mut OpenRead,
        leg_index: usize,
        reason: AbsentReason,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        read.end_leg(leg_index, LegState::Failed(reason));
        self.answer_if_finished(read, actions)
    }
}

/// Returns whether a replica that refused for this reason may accept the sub-request a little
/// later. A replica that fails or accepts no connection is not expected to recover in time, so
/// the leg is not delayed.
fn may_accept_later(reason: AbsentReason) -> bool {
    let AbsentReason::Refused(reason) = reason else {
        return false;
    };
    matches!(
        reason,
        RefusalReason::Busy
            | RefusalReason::ColdStart
            | RefusalReason::NoLease
            | RefusalReason::NotOwner
            | RefusalReason::Shed
            | RefusalReason::UnknownReplica
    )
}
