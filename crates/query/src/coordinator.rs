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
use crate::attempt::Attempt;
use crate::attempt::Parent;
use crate::limits::RECHECK_DELAY_US;
use crate::open_read::OpenRead;
use crate::open_write::OpenWrite;
use crate::routes::Route;
use crate::routes::Routes;
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

/// Map with a fixed hash function; its order is never used.
pub(crate) type FixedMap<K, V> = HashMap<K, V, BuildHasherDefault<DefaultHasher>>;

/// Fixed facts about the node that a coordinator runs on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CoordinatorConfig {
    /// Random id of this run of the process; part of every attempt id.
    pub boot: u64,
    /// Data centre of the node.
    pub data_centre: DataCentreKey,
    /// The node itself.
    pub node: NodeKey,
}

/// Decides what happens to each caller's request.
#[derive(Debug)]
pub struct Coordinator {
    /// Asks for refresh since `asks_from_us`.
    pub(crate) asks: u32,
    /// Start of the second in which `asks` counts.
    pub(crate) asks_from_us: u64,
    /// Open sub-requests by sequence number.
    pub(crate) attempts: FixedMap<u64, Attempt>,
    pub(crate) config: CoordinatorConfig,
    pub(crate) counters: QueryCounters,
    /// Sends second sub-requests to late replicas.
    pub(crate) hedging: bool,
    /// Last stamp given to a timer.
    pub(crate) last_stamp: u64,
    /// Sequence number of the next sub-request.
    pub(crate) next_sequence: u64,
    /// Reads without an answer.
    pub(crate) reads: FixedMap<QueryId, OpenRead>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) routes: Routes,
    pub(crate) timers: Timers,
    /// Writes without an answer, and answered ones whose claim is not settled.
    pub(crate) writes: FixedMap<QueryId, OpenWrite>,
    /// Writes in `writes` that have their answer.
    pub(crate) writes_answered: usize,
}

/// A sub-request to send.
pub(crate) struct Sending {
    pub class: ClassKey,
    pub deadline_us: u64,
    pub operation: Operation,
    pub parent: Parent,
    pub route: Route,
    pub service: ServiceKey,
    /// Longest wait for a slot; a longer one is refused.
    pub start_within_us: Option<u64>,
    pub version: IndexVersion,
}

impl Coordinator {
    /// A coordinator that draws its choices from `seed` and the boot id.
    ///
    /// The boot id keeps the claim tokens of two nodes apart even if they have one seed;
    /// with equal tokens, each would take the claim of the other for its own.
    #[must_use]
    pub fn new(config: CoordinatorConfig, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ config.boot);
        Self {
            asks: 0,
            asks_from_us: 0,
            attempts: FixedMap::default(),
            config,
            counters: QueryCounters::default(),
            hedging: true,
            last_stamp: 0,
            next_sequence: 1,
            reads: FixedMap::default(),
            routes: Routes::new(config.data_centre, rng.fork()),
            rng,
            timers: Timers::default(),
            writes: FixedMap::default(),
            writes_answered: 0,
        }
    }

    /// Sends no hedges from now on, to measure what routing does without them.
    pub const fn disable_hedging(&mut self) {
        self.hedging = false;
    }

    /// Counters of decisions.
    #[must_use]
    pub const fn counters(&self) -> &QueryCounters {
        &self.counters
    }

    /// Takes one event and pushes what follows from it.
    pub fn handle(&mut self, now_us: u64, event: QueryEvent, actions: &mut Vec<QueryAction>) {
        self.note_claim(&event);
        self.fire_before(now_us, now_us, actions);
        match event {
            QueryEvent::CallerGone(id) => self.caller_gone(now_us, id, actions),
            QueryEvent::Claim { id, result } => self.claim_result(now_us, id, result, actions),
            QueryEvent::Deployment(deployment) => {
                self.routes.set_deployment(deployment);
                self.facts_changed(now_us, actions);
            }
            QueryEvent::NodeLost(node) => self.node_lost(now_us, node, actions),
            QueryEvent::Owners(table) => {
                if self.routes.set_owners(table) {
                    self.facts_changed(now_us, actions);
                } else {
                    self.counters.stale_facts += 1;
                }
            }
            QueryEvent::Read(query) => self.read(now_us, query, actions),
            QueryEvent::Report { replica, report } => {
                self.take_report(now_us, replica, report, None);
            }
            QueryEvent::SubReply {
                attempt,
                outcome,
                report,
            } => self.sub_reply(now_us, attempt, outcome, report, actions),
            QueryEvent::Tick => {}
            QueryEvent::Write(query) => self.write(now_us, query, actions),
        }
        self.fire_before(now_us, now_us + 1, actions);
        self.drop_stale_timers();
    }

    /// Local time at which the next `Tick` is due.
    #[must_use]
    pub fn next_wake_us(&self) -> Option<u64> {
        self.timers.next_us()
    }

    /// Request that an open sub-request belongs to.
    #[must_use]
    pub fn request_of(&self, attempt: AttemptId) -> Option<QueryId> {
        let attempt = self.attempts.get(&attempt.sequence)?;
        match attempt.parent {
            Parent::Read { id, .. } | Parent::Write(id) => Some(id),
        }
    }

    /// Number of requests not answered yet.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.reads.len() + self.writes.len() - self.writes_answered
    }

    fn fire_before(&mut self, now_us: u64, before_us: u64, actions: &mut Vec<QueryAction>) {
        while let Some((at_us, timer)) = self.timers.pop_before(before_us) {
            match timer {
                Timer::Deadline(id) => {
                    self.read_deadline(at_us, id, actions);
                    self.write_deadline(at_us, id, actions);
                }
                Timer::Part { id, part, stamp } => {
                    self.part_due(now_us, id, part as usize, stamp, actions);
                }
                Timer::Recheck(class) => self.recheck(now_us, class, actions),
                Timer::Refresh(node) => self.refresh(now_us, node, actions),
                Timer::Settle(id) => self.settle_due(at_us, id),
                Timer::Wait { id, stamp } => {
                    self.read_wait_due(now_us, id, stamp, actions);
                    self.write_wait_due(now_us, id, stamp, actions);
                }
            }
        }
    }

    /// Removes timers of ended requests from the front, so that they cause no wake.
    fn drop_stale_timers(&mut self) {
        while let Some(timer) = self.timers.peek() {
            let live = match timer {
                Timer::Deadline(id) => {
                    self.reads.contains_key(&id) || self.writes.contains_key(&id)
                }
                Timer::Part { id, part, stamp } => self.reads.get(&id).is_some_and(|read| {
                    let part = read.parts.get(part as usize);
                    part.is_some_and(|part| part.stamp == stamp)
                }),
                Timer::Settle(id) => self.writes.contains_key(&id),
                Timer::Wait { id, stamp } => {
                    let read = self.reads.get(&id).is_some_and(|it| it.wait_stamp == stamp);
                    read || self.writes.get(&id).is_some_and(|it| it.stamp == stamp)
                }
                Timer::Recheck(_) | Timer::Refresh(_) => true,
            };
            if live {
                break;
            }
            self.timers.drop_first();
        }
    }

    /// A stamp that no timer has yet; never 0.
    pub(crate) fn stamp(&mut self) -> u64 {
        self.last_stamp += 1;
        self.last_stamp
    }

    /// Sends a sub-request and returns its sequence number.
    pub(crate) fn send(
        &mut self,
        now_us: u64,
        sending: Sending,
        actions: &mut Vec<QueryAction>,
    ) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let route = sending.route;
        if route.local {
            self.counters.routed_local += 1;
        } else {
            self.counters.routed_remote += 1;
        }
        let attempt = Attempt {
            counted: true,
            expected_us: route.expected_us,
            node: route.node,
            parent: sending.parent,
            replica: route.replica,
            sent_us: now_us,
            service: sending.service,
        };
        self.attempts.insert(sequence, attempt);
        self.routes.started(route.replica);
        let sub = SubRequest {
            attempt: self.attempt_id(sequence),
            class: sending.class,
            deadline_us: sending.deadline_us,
            epoch: route.epoch,
            operation: sending.operation,
            replica: route.replica,
            start_within_us: sending.start_within_us,
            version: Some(sending.version),
        };
        let node = route.node;
        actions.push(QueryAction::Send { node, sub });
        sequence
    }

    /// Cancels an open sub-request; its reply will be a late one.
    pub(crate) fn cancel(&mut self, sequence: u64, actions: &mut Vec<QueryAction>) {
        let Some(attempt) = self.attempts.remove(&sequence) else {
            return;
        };
        self.routes.ended(attempt.replica);
        self.counters.cancels += 1;
        actions.push(QueryAction::Cancel {
            attempt: self.attempt_id(sequence),
            node: attempt.node,
        });
    }

    const fn attempt_id(&self, sequence: u64) -> AttemptId {
        AttemptId {
            boot: self.config.boot,
            sequence,
        }
    }

    /// Answers a request.
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
            // Counted as `deadlines` and `future_writes` where they arise.
            AbsentReason::DeadlinePassed | AbsentReason::IssuedInFuture => return,
        };
        *counter += 1;
    }

    fn caller_gone(&mut self, now_us: u64, id: QueryId, actions: &mut Vec<QueryAction>) {
        self.read_gone(id, actions);
        self.write_gone(now_us, id, actions);
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
        let Some(attempt) = self.attempts.remove(&id.sequence) else {
            self.counters.late_replies += 1;
            return;
        };
        self.routes.heard(now_us, attempt.node);
        if let Some(report) = report {
            self.take_report(now_us, attempt.replica, report, Some(attempt.node));
        }
        self.observe(now_us, attempt, &outcome);
        if attempt.counted {
            self.routes.ended(attempt.replica);
        }
        self.ended(now_us, id.sequence, attempt, outcome, actions);
    }

    /// Passes the outcome of a sub-request to its request.
    fn ended(
        &mut self,
        now_us: u64,
        sequence: u64,
        attempt: Attempt,
        outcome: SubOutcome,
        actions: &mut Vec<QueryAction>,
    ) {
        match attempt.parent {
            Parent::Read { id, part } => {
                self.part_reply(now_us, id, part, sequence, attempt, outcome, actions);
            }
            Parent::Write(id) => self.write_reply(now_us, id, attempt, &outcome, actions),
        }
    }

    fn node_lost(&mut self, now_us: u64, node: NodeKey, actions: &mut Vec<QueryAction>) {
        self.counters.nodes_lost += 1;
        self.routes.lose_node(node);
        let mut lost: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.node == node)
            .map(|(sequence, _)| *sequence)
            .collect();
        lost.sort_unstable();
        for sequence in lost {
            self.owner_lost(now_us, sequence, actions);
        }
        self.recheck_soon(now_us);
    }

    /// Ends a sub-request whose owner is lost. That of a write stays known, as a late
    /// reply still settles the claim.
    fn owner_lost(&mut self, now_us: u64, sequence: u64, actions: &mut Vec<QueryAction>) {
        let Some(mut attempt) = self.attempts.remove(&sequence) else {
            return;
        };
        if !attempt.counted {
            self.attempts.insert(sequence, attempt);
            return;
        }
        attempt.counted = false;
        self.counters.owner_lost += 1;
        let reason = FailureReason::OwnerLost;
        let outcome = SubOutcome::Failed { reason };
        self.observe(now_us, attempt, &outcome);
        self.routes.ended(attempt.replica);
        if let Parent::Write(id) = attempt.parent {
            self.attempts.insert(sequence, attempt);
            self.write_owner_lost(now_us, id, actions);
            return;
        }
        self.ended(now_us, sequence, attempt, outcome, actions);
    }

    /// Takes a report and looks again at requests that wait for it.
    fn take_report(
        &mut self,
        now_us: u64,
        replica: ReplicaKey,
        report: ReplicaReport,
        from: Option<NodeKey>,
    ) {
        if self.routes.take_report(now_us, replica, report, from) {
            self.recheck_soon_of(now_us, replica);
        } else {
            self.counters.stale_facts += 1;
        }
    }

    fn recheck_soon_of(&mut self, now_us: u64, replica: ReplicaKey) {
        let Some(service) = self.routes.replicas[replica.index()].service else {
            return;
        };
        for class in &self.routes.services[service.index()].classes {
            if let Some(view) = self.routes.classes.get_mut(class)
                && view.dirty
                && !view.recheck_set
                && !view.waiting.is_empty()
            {
                view.recheck_set = true;
                let at_us = now_us + RECHECK_DELAY_US;
                self.timers.set(at_us, Timer::Recheck(*class));
            }
        }
    }

    pub(crate) fn recheck_soon(&mut self, now_us: u64) {
        for (class, view) in &mut self.routes.classes {
            if !view.recheck_set && !view.waiting.is_empty() {
                view.recheck_set = true;
                let at_us = now_us + RECHECK_DELAY_US;
                self.timers.set(at_us, Timer::Recheck(*class));
            }
        }
    }

    fn recheck(&mut self, now_us: u64, class: ClassKey, actions: &mut Vec<QueryAction>) {
        let Some(view) = self.routes.classes.get_mut(&class) else {
            return;
        };
        view.recheck_set = false;
        let waiting: Vec<QueryId> = view.waiting.iter().copied().collect();
        for id in waiting {
            self.read_recheck(now_us, id, actions);
            self.write_recheck(now_us, id, actions);
        }
    }

    /// Lets a request wait for the reports of its class.
    pub(crate) fn wait_in(&mut self, class: ClassKey, id: QueryId) {
        if let Some(view) = self.routes.classes.get_mut(&class) {
            view.waiting.insert(id);
        }
    }

    /// Ends the wait of a request.
    pub(crate) fn wait_out(&mut self, class: ClassKey, id: QueryId) {
        if let Some(view) = self.routes.classes.get_mut(&class) {
            view.waiting.remove(&id);
        }
    }
}
