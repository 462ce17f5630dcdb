use std::collections::BTreeMap;

use crate::GateAction;
use crate::latency::Latency;
use crate::prober::IDLE_US;
use crate::prober::Prober;
use crate::ramp::Ramp;
use crate::running::Running;
use crate::start_window::StartWindow;
use crate::time::SECOND_US;
use crate::turn::Turn;
use crate::unproved::UnprovedEnds;
use crate::waiting_list::WaitingList;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ColdBound;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::Replica;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::ReplicaState;
use wigeonhall_types::ServedVersion;

/// Retry time stated without a lease; leases are renewed several times a second.
const LEASE_RETRY_US: u64 = 100_000;

/// Retry time stated for a replica that is out, a second being the order of time
/// in which a change of the deployment spreads.
const OUT_RETRY_US: u64 = SECOND_US;

/// Served versions are recent for two intervals between idle probes.
const SERVED_RECENT_US: u64 = 2 * IDLE_US;

/// Bound of a replica that the deployment does not hold yet.
const UNKNOWN_BOUND: ColdBound = ColdBound {
    requests_per_s: 1,
    slots: 1,
};

/// What the replies of a target say about whether it takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Condition {
    Leaving,
    Unreachable,
    Usable,
}

/// Record of one replica that this node owns, or owned while requests or a probe run.
#[derive(Debug)]
pub(crate) struct ReplicaGate {
    pub(crate) condition: Condition,
    /// Epoch of the ownership table of the latest grant.
    pub(crate) epoch: u64,
    /// Identity of the target process, once known.
    pub(crate) instance: Option<u64>,
    pub(crate) key: ReplicaKey,
    pub(crate) latency: Latency,
    /// Out by the deployment, or not in it.
    pub(crate) out: bool,
    /// If not, nothing waits and nothing starts.
    pub(crate) owned: bool,
    pub(crate) prober: Prober,
    pub(crate) ramp: Ramp,
    /// Identity of the target process before `instance`.
    pub(crate) replaced: Option<u64>,
    pub(crate) running: BTreeMap<AttemptId, Running>,
    /// Entry of the record in the index of wake-ups.
    pub(crate) scheduled_us: Option<u64>,
    pub(crate) served: Vec<ServedVersion>,
    /// Time at which `served` was stated.
    pub(crate) served_us: Option<u64>,
    /// Latest limits in a deployment.
    pub(crate) spec: Option<Replica>,
    /// Each takes a slot.
    pub(crate) unproved: UnprovedEnds,
    pub(crate) waiting: WaitingList,
    pub(crate) window: StartWindow,
}

impl ReplicaGate {
    pub(crate) fn new(key: ReplicaKey, spec: Option<Replica>, out: bool) -> Self {
        let bound = spec.map_or(UNKNOWN_BOUND, |spec| spec.cold);
        Self {
            condition: Condition::Usable,
            epoch: 0,
            instance: None,
            key,
            latency: Latency::default(),
            out,
            owned: false,
            prober: Prober::default(),
            ramp: Ramp::cold(bound),
            replaced: None,
            running: BTreeMap::new(),
            scheduled_us: None,
            served: Vec::new(),
            served_us: None,
            spec,
            unproved: UnprovedEnds::default(),
            waiting: WaitingList::default(),
            window: StartWindow::default(),
        }
    }

    /// Whether the record holds nothing of use.
    pub(crate) fn is_idle(&self) -> bool {
        !self.owned && self.running.is_empty() && !self.prober.is_in_flight()
    }

    /// Requests that the slots do in a second at the typical service time.
    pub(crate) fn full_rate(&self) -> u32 {
        let per_slot = SECOND_US / self.latency.typical_us().max(1);
        u32::try_from(per_slot * u64::from(self.slots())).unwrap_or(u32::MAX)
    }

    pub(crate) fn bound(&self) -> ColdBound {
        self.spec.map_or(UNKNOWN_BOUND, |spec| spec.cold)
    }

    /// Requests that may run at once, each on a connection of its own.
    pub(crate) fn slots(&self) -> u32 {
        self.spec
            .map_or(0, |spec| spec.slots.min(connections(&spec)))
    }

    /// Requests that may run at once now.
    pub(crate) fn capacity(&self) -> u32 {
        self.ramp.capacity(self.slots())
    }

    /// Slots taken, by this node and by the previous owner.
    pub(crate) fn taken(&self) -> u32 {
        (self.running.len() + self.unproved.len()) as u32
    }

    /// Why no work may start at all, if so, and when to try again.
    pub(crate) fn blocked(&self, now_us: u64, has_lease: bool) -> Option<(RefusalReason, u64)> {
        if !self.owned {
            return Some((RefusalReason::NotOwner, 0));
        }
        if self.out {
            return Some((RefusalReason::Out, OUT_RETRY_US));
        }
        let wait_us = self.prober.wait_us(now_us);
        match self.condition {
            Condition::Leaving => Some((RefusalReason::Leaving, wait_us)),
            Condition::Unreachable => Some((RefusalReason::Unreachable, wait_us)),
            Condition::Usable => (!has_lease).then_some((RefusalReason::NoLease, LEASE_RETRY_US)),
        }
    }

    /// Whether the target is known not to serve `version`.
    pub(crate) fn is_version_gone(&self, now_us: u64, version: Option<IndexVersion>) -> bool {
        let recent = self
            .served_us
            .is_some_and(|served_us| now_us < served_us + SERVED_RECENT_US);
        recent && version.is_some_and(|it| self.served.iter().all(|served| served.version != it))
    }

    /// Report for entry nodes; `None` if this node does not own the replica.
    pub(crate) fn report(&self, now_us: u64, has_lease: bool) -> Option<ReplicaReport> {
        let expected_wait_us = self.blocked(now_us, has_lease).map_or_else(
            || self.expected_start_us(now_us, self.waiting.len()) - now_us,
            |(_, retry_after_us)| retry_after_us,
        );
        self.owned.then(|| ReplicaReport {
            epoch: self.epoch,
            expected_wait_us,
            served: self.served.clone(),
            service_us: self.latency.typical_us(),
            state: self.state(),
        })
    }

    /// Time at which [`settle`](Self::settle) has something to do.
    pub(crate) fn wake_us(&self, now_us: u64) -> Option<u64> {
        let deadlines = self.running.values().filter(|running| !running.responded);
        let mut wake_us = deadlines.map(|running| running.deadline_us).min();
        let mut add = |time_us: u64| wake_us = Some(wake_us.map_or(time_us, |it| it.min(time_us)));
        if self.owned && !self.out {
            add(self.prober.wake_us());
        }
        if let Some(wake_us) = self.unproved.wake_us() {
            add(wake_us);
        }
        if self.waiting.len() > 0 {
            let needed_us = self.retention_us(now_us);
            for (_, (deadline_us, _)) in self.waiting.heads() {
                add(deadline_us.saturating_sub(needed_us - 1));
            }
            let permit_us = self.permit_us(now_us, 0);
            if permit_us > now_us {
                add(permit_us);
            }
        }
        wake_us
    }

    /// Brings the record to the present: ends what is too late, starts what may
    /// start, and probes.
    pub(crate) fn settle(&mut self, turn: &mut Turn<'_>) {
        self.expire_running(turn);
        self.ask_ends(turn);
        if let Some((reason, retry_after_us)) = self.blocked(turn.now_us, turn.has_lease()) {
            self.refuse_waiting(turn, reason, retry_after_us);
        } else {
            self.refuse_late(turn);
            self.start(turn);
            // A refusal can leave one class alone, which lifts its share.
            while self.refuse_excess(turn) {
                self.start(turn);
            }
        }
        self.probe(turn);
    }

    /// Answers running requests whose deadline passed; their slots stay taken.
    fn expire_running(&mut self, turn: &mut Turn<'_>) {
        let now_us = turn.now_us;
        let mut expired = Vec::new();
        for (attempt, running) in &mut self.running {
            if !running.responded && running.deadline_us <= now_us {
                running.responded = true;
                expired.push((*attempt, running.cancelled));
                running.cancelled = true;
            }
        }
        for (attempt, cancelled) in expired {
            self.give_up(turn, attempt, cancelled);
        }
    }

    /// Asks the target about requests that may still run there.
    fn ask_ends(&mut self, turn: &mut Turn<'_>) {
        turn.counters.ends_given_up += self.unproved.give_up(turn.now_us) as u64;
        for attempt in self.unproved.due(turn.now_us) {
            turn.counters.ends_asked += 1;
            turn.actions.push(GateAction::PollEnd {
                attempt,
                replica: self.key,
            });
        }
    }

    fn probe(&mut self, turn: &mut Turn<'_>) {
        if !self.owned || self.out {
            return;
        }
        if self.prober.is_lost(turn.now_us) {
            self.prober.take();
            turn.counters.probes_lost += 1;
            self.probe_failed(turn);
        }
        if self.prober.send(turn.now_us, self.ramp.step()) {
            turn.counters.probes += 1;
            turn.actions.push(GateAction::Probe(self.key));
        }
    }

    fn state(&self) -> ReplicaState {
        match self.condition {
            _ if self.out => ReplicaState::Out,
            Condition::Leaving => ReplicaState::Leaving,
            Condition::Unreachable => ReplicaState::Unreachable,
            Condition::Usable if self.ramp.is_cold() => ReplicaState::Cold,
            Condition::Usable => ReplicaState::Warm,
        }
    }
}

/// Connections that one owner holds: one more than the slots, but so few that
/// two owners stay within the replica's limit during a hand-over.
pub(crate) fn connections(spec: &Replica) -> u32 {
    spec.slots
        .saturating_add(1)
        .min(spec.connections / 2)
        .max(1)
}
