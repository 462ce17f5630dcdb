//! The state machine that dispatches events to reads, writes and routing, and keeps the open
//! sub-requests and timers.
//!
//! An owner is the one node through which all requests to a replica go. A claim is a stored record
//! that gives one attempt the right to run a write; it is settled when its outcome is stored.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;

use crate::AbsentReason;
use crate::Answer;
use crate::AnswerStatus;
use crate::QueryAction;
use crate::QueryCounters;
use crate::QueryEvent;
use crate::QueryId;
use crate::limits::RECHECK_DELAY_US;
use crate::open_read::OpenRead;
use crate::open_sub_request::OpenSubRequest;
use crate::open_sub_request::Parent;
use crate::open_write::OpenWrite;
use crate::routing_table::Route;
use crate::routing_table::RoutingTable;
use crate::timers::Timer;
use crate::timers::Timers;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::FailureReason;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::NodeKey;
use wigeonhall_types::Operation;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::ServiceKey;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;

/// Map with a fixed hash function, so that runs are reproducible. No decision depends on its
/// iteration order.
pub(crate) type DeterministicMap<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// Fixed properties of the node that a coordinator runs on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CoordinatorConfig {
    /// Random id of this process run; part of every [`AttemptId`].
    pub boot: u64,
    /// Data centre that the node runs in.
    pub data_centre: DataCentreKey,
    /// Key of the node.
    pub node: NodeKey,
}

/// Coordinates every open request of one node.
#[derive(Debug)]
pub struct Coordinator {
    /// Number of refreshes that were due since `refresh_window_start_us`. A refresh sends
    /// `AskReports` to an owner whose reports are old.
    pub(crate) refreshes_in_window: u32,
    /// Start of the one-second window of `refreshes_in_window`.
    pub(crate) refresh_window_start_us: u64,
    /// Open sub-requests by sequence number.
    pub(crate) sub_requests: DeterministicMap<u64, OpenSubRequest>,
    pub(crate) config: CoordinatorConfig,
    pub(crate) counters: QueryCounters,
    /// Whether overdue sub-requests are hedged.
    pub(crate) hedging: bool,
    /// Id of the most recently created timer.
    pub(crate) last_timer_id: u64,
    /// Sequence number that the next sub-request gets.
    pub(crate) next_sequence: u64,
    /// Reads that are not answered yet.
    pub(crate) reads: DeterministicMap<QueryId, OpenRead>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) routing: RoutingTable,
    pub(crate) timers: Timers,
    /// Writes that are not answered yet, and answered writes whose claim has no stored outcome
    /// yet.
    pub(crate) writes: DeterministicMap<QueryId, OpenWrite>,
    /// Number of entries in `writes` that are already answered.
    pub(crate) writes_answered: usize,
}

/// Parameters of a sub-request to send.
pub(crate) struct OutgoingSubRequest {
    pub class: ClassKey,
    pub deadline_us: u64,
    pub operation: Operation,
    pub parent: Parent,
    pub route: Route,
    pub service: ServiceKey,
    /// Longest wait for a slot, in microseconds; the owner refuses the sub-request if it would
    /// wait longer.
    pub start_within_us: Option<u64>,
    pub version: IndexVersion,
}

impl Coordinator {
    /// Creates a coordinator whose random choices derive from `seed` and the boot id.
    ///
    /// The boot id keeps the claim tokens of two nodes distinct even if both use the same
    /// seed. With equal tokens, each node would mistake the other's claim for its own.
    #[must_use]
    pub fn new(config: CoordinatorConfig, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ config.boot);
        Self {
            refreshes_in_window: 0,
            refresh_window_start_us: 0,
            sub_requests: DeterministicMap::default(),
            config,
            counters: QueryCounters::default(),
            hedging: true,
            last_timer_id: 0,
            next_sequence: 1,
            reads: DeterministicMap::default(),
            routing: RoutingTable::new(config.data_centre, rng.fork()),
            rng,
            timers: Timers::default(),
            writes: DeterministicMap::default(),
            writes_answered: 0,
        }
    }

    /// Disables hedging, so that routing can be measured without it.
    pub const fn disable_hedging(&mut self) {
        self.hedging = false;
    }

    /// Returns the counters of decisions.
    #[must_use]
    pub const fn counters(&self) -> &QueryCounters {
        &self.counters
    }

    /// Processes one event and the timers that are due, and appends the resulting actions. Timers
    /// due before `now_us` fire before the event, and those due at `now_us` after it.
    pub fn handle(&mut self, now_us: u64, event: QueryEvent, actions: &mut Vec<QueryAction>) {
        self.record_claim_of_other_attempt(&event);
        self.fire_timers_before(now_us, now_us, actions);
        match event {
            QueryEvent::CallerDisconnected(id) => self.caller_disconnected(now_us, id, actions),
            QueryEvent::Claim { id, result } => self.on_claim_result(now_us, id, result, actions),
            QueryEvent::Deployment(deployment) => {
                self.routing.set_deployment(deployment);
                self.routing_changed(now_us, actions);
            }
            QueryEvent::NodeLost(node) => self.node_lost(now_us, node, actions),
            QueryEvent::Owners(table) => {
                if self.routing.set_owners(table) {
                    self.routing_changed(now_us, actions);
                } else {
                    self.counters.stale_facts += 1;
                }
            }
            QueryEvent::Read(query) => self.read(now_us, query, actions),
            QueryEvent::Report { replica, report } => {
                self.apply_report(now_us, replica, report, None);
            }
            QueryEvent::SubReply {
                attempt,
                outcome,
                report,
            } => self.sub_reply(now_us, attempt, outcome, report, actions),
            QueryEvent::Tick => {}
            QueryEvent::Write(query) => self.write(now_us, query, actions),
        }
        self.fire_timers_before(now_us, now_us + 1, actions);
        self.drop_stale_timers();
    }

    /// Returns the local time at which the next `Tick` is due.
    #[must_use]
    pub fn next_wake_us(&self) -> Option<u64> {
        self.timers.next_us()
    }

    /// Returns the request that an open sub-request belongs to.
    #[must_use]
    pub fn request_of(&self, attempt: AttemptId) -> Option<QueryId> {
        let open_sub = self.sub_requests.get(&attempt.sequence)?;
        match open_sub.parent {
            Parent::Read { id, .. } | Parent::Write(id) => Some(id),
        }
    }

    /// Returns the number of requests that are not answered yet.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.reads.len() + self.writes.len() - self.writes_answered
    }

    fn fire_timers_before(&mut self, now_us: u64, before_us: u64, actions: &mut Vec<QueryAction>) {
        while let Some((at_us, timer)) = self.timers.pop_before(before_us) {
            match timer {
                Timer::Deadline(id) => {
                    self.read_deadline(at_us, id, actions);
                    self.write_deadline(at_us, id, actions);
                }
                Timer::Leg { id, leg, timer_id } => {
                    self.leg_timer_due(now_us, id, leg as usize, timer_id, actions);
                }
                Timer::Recheck(class) => self.recheck(now_us, class, actions),
                Timer::Refresh(node) => self.refresh(now_us, node, actions),
                Timer::Settle(id) => self.settle_timeout(at_us, id),
                Timer::Wait { id, timer_id } => {
                    self.read_wait_due(now_us, id, timer_id, actions);
                    self.write_wait_due(now_us, id, timer_id, actions);
                }
            }
        }
    }

    /// Removes obsolete timers from the front of the queue, so that they cause no wake-up.
    fn drop_stale_timers(&mut self) {
        while let Some(timer) = self.timers.peek() {
            let live = match timer {
                Timer::Deadline(id) => {
                    self.reads.contains_key(&id) || self.writes.contains_key(&id)
                }
                Timer::Leg { id, leg, timer_id } => self.reads.get(&id).is_some_and(|read| {
                    let leg = read.legs.get(leg as usize);
                    leg.is_some_and(|leg| leg.timer_id == timer_id)
                }),
                Timer::Settle(id) => self.writes.contains_key(&id),
                Timer::Wait { id, timer_id } => {
                    let read = self
                        .reads
                        .get(&id)
                        .is_some_and(|it| it.wait_timer_id == timer_id);
                    read || self
                        .writes
                        .get(&id)
                        .is_some_and(|it| it.timer_id == timer_id)
                }
                Timer::Recheck(_) | Timer::Refresh(_) => true,
            };
            if live {
                break;
            }
            self.timers.drop_first();
        }
    }

    /// Returns a new timer id; never 0.
    pub(crate) fn next_timer_id(&mut self) -> u64 {
        self.last_timer_id += 1;
        self.last_timer_id
    }

    /// Records and sends a sub-request; returns its sequence number.
    pub(crate) fn send(
        &mut self,
        now_us: u64,
        outgoing: OutgoingSubRequest,
        actions: &mut Vec<QueryAction>,
    ) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let route = outgoing.route;
        if route.local {
            self.counters.routed_local += 1;
        } else {
            self.counters.routed_remote += 1;
        }
        let open_sub = OpenSubRequest {
            counted_in_flight: true,
            expected_us: route.expected_us,
            node: route.node,
            parent: outgoing.parent,
            replica: route.replica,
            sent_us: now_us,
            service: outgoing.service,
        };
        self.sub_requests.insert(sequence, open_sub);
        self.routing.count_sent(route.replica);
        let sub = SubRequest {
            attempt: self.attempt_id(sequence),
            class: outgoing.class,
            deadline_us: outgoing.deadline_us,
            epoch: route.epoch,
            operation: outgoing.operation,
            replica: route.replica,
            start_within_us: outgoing.start_within_us,
            version: Some(outgoing.version),
        };
        let node = route.node;
        actions.push(QueryAction::Send { node, sub });
        sequence
    }

    /// Cancels an open sub-request. A reply that arrives later is dropped and counted as late.
    pub(crate) fn cancel(&mut self, sequence: u64, actions: &mut Vec<QueryAction>) {
        let Some(open_sub) = self.sub_requests.remove(&sequence) else {
            return;
        };
        self.routing.count_ended(open_sub.replica);
        self.counters.cancels += 1;
        actions.push(QueryAction::Cancel {
            attempt: self.attempt_id(sequence),
            node: open_sub.node,
        });
    }

    const fn attempt_id(&self, sequence: u64) -> AttemptId {
        AttemptId {
            boot: self.config.boot,
            sequence,
        }
    }

    /// Counts the status of an answer and sends it to the caller.
    pub(crate) fn answer(&mut self, id: QueryId, answer: Answer, actions: &mut Vec<QueryAction>) {
        match answer.status {
            AnswerStatus::Failed(_) => self.counters.failed += 1,
            AnswerStatus::Partial => self.counters.partial += 1,
            AnswerStatus::Refused(reason) => self.count_refusal(reason),
            AnswerStatus::Whole => self.counters.whole += 1,
        }
        actions.push(QueryAction::Answer { id, answer });
    }

    fn count_refusal(&mut self, reason: AbsentReason) {
        let counters = &mut self.counters;
        let counter = match reason {
            AbsentReason::ClaimOpen => &mut counters.refused_claim_open,
            AbsentReason::ClaimTooOld => &mut counters.refused_claim_too_old,
            AbsentReason::Failed(_) | AbsentReason::Refused(_) => &mut counters.refused_by_owner,
            AbsentReason::NoReplica => &mut counters.refused_no_replica,
            AbsentReason::NotReady => &mut counters.refused_not_ready,
            AbsentReason::StoreDown => &mut counters.refused_store_down,
            AbsentReason::TooLate => &mut counters.refused_too_late,
            AbsentReason::UnknownClass => &mut counters.refused_unknown_class,
            AbsentReason::VersionGone => &mut counters.refused_version_gone,
            // Already counted as `deadlines` and `future_writes` by the code that detects
            // them.
            AbsentReason::DeadlinePassed | AbsentReason::IssuedInFuture => return,
        };
        *counter += 1;
    }

    fn caller_disconnected(&mut self, now_us: u64, id: QueryId, actions: &mut Vec<QueryAction>) {
        self.read_caller_disconnected(id, actions);
        self.write_caller_disconnected(now_us, id, actions);
    }

    fn sub_reply(
        &mut self,
        now_us: u64,
        id: AttemptId,
        outcome: SubOutcome,
        report: Option<ReplicaReport>,
        actions: &mut Vec<QueryAction>,
    ) {
        if id.boot != self.config.boot || id.sequence >= self.next_sequence {
            self.counters.misdirected_replies += 1;
            return;
        }
        let Some(open_sub) = self.sub_requests.remove(&id.sequence) else {
            self.counters.late_replies += 1;
            return;
        };
        self.routing.record_contact(now_us, open_sub.node);
        if let Some(report) = report {
            self.apply_report(now_us, open_sub.replica, report, Some(open_sub.node));
        }
        self.record_outcome(now_us, open_sub, &outcome);
        if open_sub.counted_in_flight {
            self.routing.count_ended(open_sub.replica);
        }
        self.deliver_outcome(now_us, id.sequence, open_sub, outcome, actions);
    }

    /// Delivers the outcome of a sub-request to the read or write that it belongs to.
    fn deliver_outcome(
        &mut self,
        now_us: u64,
        sequence: u64,
        open_sub: OpenSubRequest,
        outcome: SubOutcome,
        actions: &mut Vec<QueryAction>,
    ) {
        match open_sub.parent {
            Parent::Read { id, leg } => {
                self.leg_reply(now_us, id, leg, sequence, open_sub, outcome, actions);
            }
            Parent::Write(id) => self.write_reply(now_us, id, open_sub, &outcome, actions),
        }
    }

    fn node_lost(&mut self, now_us: u64, node: NodeKey, actions: &mut Vec<QueryAction>) {
        self.counters.nodes_lost += 1;
        self.routing.mark_node_lost(node);
        let mut lost: Vec<u64> = self
            .sub_requests
            .iter()
            .filter(|(_, open_sub)| open_sub.node == node)
            .map(|(sequence, _)| *sequence)
            .collect();
        lost.sort_unstable();
        for sequence in lost {
            self.owner_lost(now_us, sequence, actions);
        }
        self.schedule_rechecks(now_us);
    }

    /// Fails a sub-request whose owner is lost. The sub-request of a write stays registered,
    /// because a late reply can still settle the claim.
    fn owner_lost(&mut self, now_us: u64, sequence: u64, actions: &mut Vec<QueryAction>) {
        let Some(mut open_sub) = self.sub_requests.remove(&sequence) else {
            return;
        };
        if !open_sub.counted_in_flight {
            self.sub_requests.insert(sequence, open_sub);
            return;
        }
        open_sub.counted_in_flight = false;
        self.counters.owner_lost += 1;
        let reason = FailureReason::OwnerLost;
        let outcome = SubOutcome::Failed { reason };
        self.record_outcome(now_us, open_sub, &outcome);
        self.routing.count_ended(open_sub.replica);
        if let Parent::Write(id) = open_sub.parent {
            self.sub_requests.insert(sequence, open_sub);
            self.write_owner_lost(now_us, id, actions);
            return;
        }
        self.deliver_outcome(now_us, sequence, open_sub, outcome, actions);
    }

    /// Applies a report and schedules a recheck of the requests that wait for it.
    fn apply_report(
        &mut self,
        now_us: u64,
        replica: ReplicaKey,
        report: ReplicaReport,
        from: Option<NodeKey>,
    ) {
        if self.routing.apply_report(now_us, replica, report, from) {
            self.schedule_recheck_of(now_us, replica);
        } else {
            self.counters.stale_facts += 1;
        }
    }

    /// Schedules a recheck for each class whose waiting requests a report on `replica` affects.
    fn schedule_recheck_of(&mut self, now_us: u64, replica: ReplicaKey) {
        let Some(service) = self.routing.replicas[replica.index()].service else {
            return;
        };
        for class in &self.routing.services[service.index()].classes {
            if let Some(view) = self.routing.classes.get_mut(class)
                && view.dirty
                && !view.recheck_scheduled
                && !view.waiting.is_empty()
            {
                view.recheck_scheduled = true;
                let at_us = now_us + RECHECK_DELAY_US;
                self.timers.set(at_us, Timer::Recheck(*class));
            }
        }
    }

    /// Schedules a recheck for every class that has requests waiting for reports.
    pub(crate) fn schedule_rechecks(&mut self, now_us: u64) {
        for (class, view) in &mut self.routing.classes {
            if !view.recheck_scheduled && !view.waiting.is_empty() {
                view.recheck_scheduled = true;
                let at_us = now_us + RECHECK_DELAY_US;
                self.timers.set(at_us, Timer::Recheck(*class));
            }
        }
    }

    fn recheck(&mut self, now_us: u64, class: ClassKey, actions: &mut Vec<QueryAction>) {
        let Some(view) = self.routing.classes.get_mut(&class) else {
            return;
        };
        view.recheck_scheduled = false;
        let waiting: Vec<QueryId> = view.waiting.iter().copied().collect();
        for id in waiting {
            self.read_recheck(now_us, id, actions);
            self.write_recheck(now_us, id, actions);
        }
    }

    /// Adds a request to those that wait for reports of the class.
    pub(crate) fn add_waiting(&mut self, class: ClassKey, id: QueryId) {
        if let Some(view) = self.routing.classes.get_mut(&class) {
            view.waiting.insert(id);
        }
    }

    /// Removes a request from those that wait for reports of the class.
    pub(crate) fn remove_waiting(&mut self, class: ClassKey, id: QueryId) {
        if let Some(view) = self.routing.classes.get_mut(&class) {
            view.waiting.remove(&id);
        }
    }
}
