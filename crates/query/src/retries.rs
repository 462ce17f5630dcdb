//! Second tries of a part: hedges, and retries after a refusal or a failure.

use crate::AbsentReason;
use crate::Coordinator;
use crate::QueryAction;
use crate::QueryId;
use crate::attempt::Attempt;
use crate::limits::BUSY_TRIES;
use crate::limits::FREE_RETRIES;
use crate::limits::HEDGE_SHORTEST_US;
use crate::limits::OVERLOADED_TRIES;
use crate::limits::PART_SENDS;
use crate::limits::PART_WAITS;
use crate::open_read::OpenRead;
use crate::part::PartState;
use crate::pay::Pay;
use crate::reads::Progress;
use crate::routes::Pick;
use crate::silence::OwnerState;
use crate::silence::look_again_us;
use wigeonhall_types::RefusalReason;

impl Coordinator {
    /// Hedges a late part, or ends its wait.
    pub(crate) fn part_due(
        &mut self,
        now_us: u64,
        id: QueryId,
        index: usize,
        stamp: u64,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(mut read) = self.reads.remove(&id) else {
            return;
        };
        let progress = match read.parts.get(index) {
            Some(part) if part.stamp == stamp => match part.state {
                PartState::Done | PartState::Failed(_) => Progress::Open,
                PartState::Open => {
                    self.hedge(now_us, &mut read, index, actions);
                    Progress::Open
                }
                PartState::Waiting(AbsentReason::VersionGone) => {
                    self.counters.restarts_refused += 1;
                    let reason = AbsentReason::VersionGone;
                    self.fail_part(&mut read, index, reason, actions)
                }
                PartState::Waiting(reason) => {
                    self.try_again(now_us, &mut read, index, reason, actions)
                }
            },
            _ => Progress::Open,
        };
        if progress == Progress::Open {
            self.reads.insert(id, read);
        }
    }

    fn hedge(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        index: usize,
        actions: &mut Vec<QueryAction>,
    ) {
        let Some(version) = read.pin else {
            return;
        };
        let open = read.parts[index].attempts.clone();
        let owners = self.check_owners(now_us, &open, actions);
        let part = &mut read.parts[index];
        if !self.hedging || part.sends >= PART_SENDS {
            return;
        }
        if open.len() != 1 && owners != OwnerState::Silent {
            if owners == OwnerState::Asked {
                self.part_timer(read, index, look_again_us(now_us, u64::MAX));
            }
            return;
        }
        if owners == OwnerState::Silent {
            // Nothing comes back from there, so the hedge may wait for a slot at once.
            part.hedges_busy = BUSY_TRIES;
        }
        let service = part.service;
        let picked = self
            .routes
            .pick(now_us, service, version, &part.gaps, &part.tried);
        match picked {
            Pick::To(route) if now_us + route.expected_us <= read.query.deadline_us => {
                if self.pay_hedge(read, index, owners) {
                    self.counters.hedges += 1;
                    self.dispatch_part(now_us, read, index, route, actions);
                } else {
                    self.counters.budget_refusals += 1;
                    let delay_us = self.hedge_delay_us(service, route);
                    self.part_timer(read, index, look_again_us(now_us, delay_us));
                }
            }
            Pick::BackedOff { until_us } => self.part_timer(read, index, until_us),
            Pick::Nowhere | Pick::To(_) => {}
        }
    }

    /// Pays for a hedge. One that replaces a sub-request at a silent owner is free, in the
    /// bounds of all free tries: at most one more for each sub-request that was sent
    /// before the silence was noticed, since new ones go elsewhere.
    fn pay_hedge(&mut self, read: &mut OpenRead, index: usize, owners: OwnerState) -> bool {
        let part = &mut read.parts[index];
        let free = owners == OwnerState::Silent && part.free_retries < FREE_RETRIES;
        part.hedge_paid = !free;
        if free {
            part.free_retries += 1;
            self.counters.hedges_free += 1;
            return true;
        }
        self.routes.service_mut(part.service).budget.take()
    }

    /// Takes a refusal, which proves that the sub-request did not run.
    pub(crate) fn part_refused(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        index: usize,
        attempt: Attempt,
        reason: RefusalReason,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        if !read.parts[index].attempts.is_empty() && Pay::after(reason) == Pay::Free {
            self.hedge_refused(now_us, read, index, attempt, reason);
            return Progress::Open;
        }
        let part = &mut read.parts[index];
        part.pay = Pay::after(reason);
        if reason == RefusalReason::Busy {
            self.counters.busy += 1;
            // The replica may still be the best one, now that its wait is known.
            part.busy += 1;
            part.busy_at = Some(attempt.replica);
            part.tried.retain(|replica| *replica != attempt.replica);
        }
        if reason == RefusalReason::Overloaded {
            // Two full replicas mean overload: the caller hears of it at once.
            part.overloaded += 1;
            if part.overloaded >= OVERLOADED_TRIES {
                part.pay = Pay::Budget;
            }
        }
        if reason == RefusalReason::NotOwner && self.owner_changed(attempt) {
            part.tried.retain(|replica| *replica != attempt.replica);
        }
        let reason = AbsentReason::Refused(reason);
        self.try_again(now_us, read, index, reason, actions)
    }

    /// Takes back a hedge that placed no load on a target, and plans another one.
    fn hedge_refused(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        index: usize,
        attempt: Attempt,
        reason: RefusalReason,
    ) {
        self.counters.hedges_refused += 1;
        let part = &mut read.parts[index];
        if reason == RefusalReason::Busy {
            part.hedges_busy += 1;
            part.tried.retain(|replica| *replica != attempt.replica);
        }
        let service = self.routes.service_mut(part.service);
        if std::mem::take(&mut part.hedge_paid) {
            service.budget.refund();
        }
        let delay_us = service.latency.delay_us().unwrap_or(HEDGE_SHORTEST_US);
        self.part_timer(read, index, now_us + delay_us);
    }

    /// Whether the replica has another owner than the one that was asked.
    pub(crate) fn owner_changed(&mut self, attempt: Attempt) -> bool {
        let owner = self.routes.replica_mut(attempt.replica).owner;
        owner.is_some_and(|(node, _)| node != attempt.node)
    }

    /// Sends the gaps of a part to another replica, waits for one, or gives up.
    pub(crate) fn try_again(
        &mut self,
        now_us: u64,
        read: &mut OpenRead,
        index: usize,
        reason: AbsentReason,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        let part = &mut read.parts[index];
        let Some(version) = read.pin else {
            return Progress::Open;
        };
        if !part.attempts.is_empty() {
            return Progress::Open;
        }
        let deadline_us = read.query.deadline_us;
        let service = part.service;
        let mut picked = self
            .routes
            .pick(now_us, service, version, &part.gaps, &part.tried);
        if matches!(picked, Pick::Nowhere) && worth_a_wait(reason) {
            part.tried.clear();
            picked = self.routes.pick(now_us, service, version, &part.gaps, &[]);
        }
        let may_send = part.sends < PART_SENDS;
        let may_wait = part.waits < PART_WAITS;
        match picked {
            Pick::To(route) if may_send && now_us + route.expected_us <= deadline_us => {
                let paid = self.pay_and_send(now_us, read, index, route, actions);
                if paid {
                    return Progress::Open;
                }
            }
            Pick::BackedOff { until_us } if may_send && may_wait && until_us < deadline_us => {
                self.wait_part(read, index, until_us, reason);
                return Progress::Open;
            }
            _ => {}
        }
        self.give_up(now_us, read, index, reason, actions)
    }

    /// Ends a part that failed; answers at once if the caller insists on every key.
    pub(crate) fn fail_part(
        &mut self,
        read: &mut OpenRead,
        index: usize,
        reason: AbsentReason,
        actions: &mut Vec<QueryAction>,
    ) -> Progress {
        read.end_part(index, PartState::Failed(reason));
        self.progress(read, actions)
    }
}

/// Whether a replica that gave this reason may take the sub-request a little later. A
/// replica that fails or accepts no connection gives no such hope, and the caller hears
/// of it at once.
fn worth_a_wait(reason: AbsentReason) -> bool {
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
