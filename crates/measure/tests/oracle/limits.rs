//! Checks target limits, leases, and starts of requests that are not allowed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wigeonhall_measure::DeploymentChange;
use wigeonhall_measure::Step;
use wigeonhall_measure::TraceEvent;
use wigeonhall_types::AttemptId;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::Replica;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

/// Time from the start of a drain after which no request may start at the target.
const DRAIN_LIMIT_US: u64 = 3_000_000;

const SECOND_US: u64 = 1_000_000;

/// Upper bound of the successes that complete a round of a cold start.
const MAX_ROUND_SUCCESSES: u32 = 20;

/// State of one replica, derived from the trace.
#[derive(Default)]
struct TargetState {
    /// Ramp since the target was last cold; `None` for a target that is warm from the
    /// beginning.
    cold: Option<Ramp>,
    /// Open connections of each node.
    connections: BTreeMap<NodeKey, u32>,
    drain_started_us: Option<u64>,
    /// Last node that became owner, and the earliest time from which it can be expected
    /// to notice a drain: 0 if the previous owner had seen the drain and handed over its
    /// state, otherwise the time of the grant.
    owner: Option<(NodeKey, u64)>,
    /// Whether a reply has shown the owner that the target drains.
    owner_saw_drain: bool,
    instance: Option<u64>,
    /// Instance of the target in the last reply to each node.
    known_instances: BTreeMap<NodeKey, u64>,
    /// Attempts sent to the target that have not ended there.
    running: BTreeSet<AttemptId>,
    /// Start times of all requests at the target.
    starts_us: Vec<u64>,
}

/// Fastest allowed ramp of a cold start: the raising of a target's limits with its successes.
#[derive(Clone, Copy, Default)]
struct Ramp {
    /// Completed rounds of successes, each of which doubles the allowance and the rate.
    completed_rounds: u32,
    /// Time of the first success of the round.
    round_started_us: Option<u64>,
    /// Successes of the round.
    successes: u32,
}

impl Ramp {
    fn allowance(&self, spec: &Replica) -> u32 {
        // A target is warm long before 8 doublings; the bound keeps the shift small.
        spec.cold.slots << self.completed_rounds.min(8)
    }

    fn rate(&self, spec: &Replica) -> u32 {
        spec.cold.requests_per_s << self.completed_rounds.min(8)
    }

    /// Counts a success. A round takes at least one second and as many successes as the
    /// rate allows in a second, but at most 20.
    fn record_success(&mut self, at_us: u64, spec: &Replica) {
        self.successes += 1;
        let round_started_us = *self.round_started_us.get_or_insert(at_us);
        let round = self.rate(spec).min(MAX_ROUND_SUCCESSES);
        if self.successes >= round && at_us >= round_started_us + SECOND_US {
            *self = Self {
                completed_rounds: self.completed_rounds + 1,
                ..Self::default()
            };
        }
    }
}

pub struct LimitChecker {
    deployment: Deployment,
    /// Generation (version number) of the deployment in force at each node.
    generations: BTreeMap<NodeKey, u64>,
    lease_ends_us: BTreeMap<NodeKey, u64>,
    /// Data centres and replicas that are out in each generation.
    out: BTreeMap<u64, (BTreeSet<DataCentreKey>, BTreeSet<ReplicaKey>)>,
    pause_ends_us: BTreeMap<NodeKey, u64>,
    targets: BTreeMap<ReplicaKey, TargetState>,
}

impl LimitChecker {
    pub fn new(deployment: &Deployment) -> Self {
        let targets = deployment.replicas.keys();
        Self {
            deployment: deployment.clone(),
            generations: BTreeMap::new(),
            lease_ends_us: BTreeMap::new(),
            out: BTreeMap::from([(deployment.generation, Default::default())]),
            pause_ends_us: BTreeMap::new(),
            targets: targets.map(|&it| (it, TargetState::default())).collect(),
        }
    }

    fn target(&mut self, replica: ReplicaKey) -> &mut TargetState {
        self.targets
            .get_mut(&replica)
            .expect("the replica is in the deployment")
    }

    /// Applies an event of the trace and returns the violations that it shows.
    pub fn apply(&mut self, at_us: u64, event: &TraceEvent) -> Vec<String> {
        match event {
            TraceEvent::Changed(generation, change) => self.apply_change(*generation, *change),
            TraceEvent::Connected(node, replica, count) => {
                return self.check_connections(*node, *replica, *count);
            }
            TraceEvent::Deployed(node, generation) => {
                let in_force = self.generations.entry(*node).or_default();
                *in_force = (*in_force).max(*generation);
            }
            TraceEvent::Granted {
                node,
                replica,
                state,
                ..
            } => {
                let target = self.target(*replica);
                let drain_handed_over = state.is_some() && target.owner_saw_drain;
                target.owner = Some((*node, if drain_handed_over { 0 } else { at_us }));
                target.owner_saw_drain = drain_handed_over;
                target.known_instances.remove(node);
                match state {
                    Some(state) => {
                        let instance = state.instance;
                        target
                            .known_instances
                            .extend(instance.map(|instance| (*node, instance)));
                        if at_us == 0 {
                            target.instance = instance;
                        }
                    }
                    None => target.start_cold_ramp(),
                }
            }
            TraceEvent::Leased(node, until_us) => {
                self.lease_ends_us.insert(*node, *until_us);
            }
            TraceEvent::Probed(node, replica, reply) => {
                let spec = self.deployment.replicas[replica];
                self.target(*replica)
                    .record_reply(at_us, *node, reply, &spec, false);
            }
            TraceEvent::SentToTarget(node, sub) => return self.check_start(at_us, *node, sub),
            TraceEvent::Step(Step::Drain(replica)) => {
                self.target(*replica).drain_started_us.get_or_insert(at_us);
            }
            TraceEvent::Step(Step::PauseNode(node, us)) => {
                let until_us = self.pause_ends_us.entry(*node).or_default();
                *until_us = (*until_us).max(at_us + us);
            }
            TraceEvent::Step(Step::StopNode(node)) => {
                for target in self.targets.values_mut() {
                    target.connections.remove(node);
                }
            }
            TraceEvent::TargetEnded(replica, attempt) => {
                self.target(*replica).running.remove(attempt);
            }
            TraceEvent::TargetReplied(node, replica, _, reply) => {
                let spec = self.deployment.replicas[replica];
                self.target(*replica)
                    .record_reply(at_us, *node, reply, &spec, true);
            }
            TraceEvent::TargetStarted(replica, instance) => {
                let target = self.target(*replica);
                target.instance = Some(*instance);
                target.drain_started_us = None;
                target.owner_saw_drain = false;
                target.start_cold_ramp();
            }
            _ => {}
        }
        Vec::new()
    }

    fn apply_change(&mut self, generation: u64, change: DeploymentChange) {
        let newest = self.out.last_key_value();
        let mut out = newest.map(|(_, it)| it.clone()).unwrap_or_default();
        match change {
            DeploymentChange::DataCentre(key, true) => out.0.insert(key),
            DeploymentChange::DataCentre(key, false) => out.0.remove(&key),
            DeploymentChange::Replica(key, true) => out.1.insert(key),
            DeploymentChange::Replica(key, false) => out.1.remove(&key),
        };
        self.out.insert(generation, out);
    }

    /// Checks that the connections of all nodes together stay within the replica's limit.
    fn check_connections(&mut self, node: NodeKey, replica: ReplicaKey, count: u32) -> Vec<String> {
        let limit = self.deployment.replicas[&replica].connections;
        let target = self.target(replica);
        target.connections.insert(node, count);
        let all: u32 = target.connections.values().sum();
        if all <= limit {
            return Vec::new();
        }
        vec![format!("{all} connections to {replica:?}, limit {limit}")]
    }

    fn check_start(&mut self, at_us: u64, node: NodeKey, sub: &SubRequest) -> Vec<String> {
        let mut violations = Vec::new();
        let spec = self.deployment.replicas[&sub.replica];
        let out = &self.out[&self.generations[&node]];
        // A node starts nothing at a replica that is out in the generation in force at the node.
        // Delivery of a generation within 3 s is not checked: messages may be lost or the node
        // paused, and the simulation distributes the deployment in place of the nodes.
        if out.0.contains(&spec.data_centre) || out.1.contains(&sub.replica) {
            violations.push(format!(
                "request started at {:?}, which is out",
                sub.replica
            ));
        }
        let lease_us = self.lease_ends_us.get(&node).copied().unwrap_or(0);
        if at_us >= lease_us {
            violations.push(format!("request started by {node:?} without a lease"));
        }
        if at_us >= sub.deadline_us {
            violations.push("request started after its deadline".to_owned());
        }
        let paused_us = self.pause_ends_us.get(&node).copied().unwrap_or(0);
        let target = self.target(sub.replica);
        let owner = target.owner;
        if owner.is_none_or(|(owner, _)| owner != node) {
            violations.push(format!(
                "request started by {node:?}, but {owner:?} is the owner"
            ));
        }
        // The 3 s count from the grant for a new owner to which the drain was not handed over,
        // since only the target's replies show it the drain, and from the end of a pause, since
        // a paused node receives nothing.
        let granted_us = owner.map_or(0, |it| it.1);
        if let Some(drain_started_us) = target.drain_started_us
            && at_us > drain_started_us.max(granted_us).max(paused_us) + DRAIN_LIMIT_US
        {
            violations.push(format!(
                "request started at {:?}, which is draining",
                sub.replica
            ));
        }
        target.running.insert(sub.attempt);
        target.starts_us.push(at_us);
        let running = target.running.len() as u32;
        if running > spec.slots {
            violations.push(format!(
                "{running} requests run at {:?}, over its slots",
                sub.replica
            ));
        }
        // The limits of a cold start are checked from the first reply or probe of the new process
        // on, since an owner cannot detect the restart before.
        let owner_saw_instance = target.known_instances.get(&node).copied() == target.instance;
        if let (Some(ramp), true) = (
            target.cold,
            owner_saw_instance || target.known_instances.is_empty(),
        ) {
            let allowance = ramp.allowance(&spec);
            let rate = ramp.rate(&spec) as usize;
            let recent = target.starts_us.iter();
            let recent = recent.filter(|it| **it + SECOND_US >= at_us).count();
            if allowance < spec.slots && (running > allowance || recent > rate) {
                violations.push(format!(
                    "{running} requests run at cold {:?}, {recent} started within 1 s, after \
                     {} rounds and {} successes",
                    sub.replica, ramp.completed_rounds, ramp.successes
                ));
            }
        }
        violations
    }
}

impl TargetState {
    /// Starts a cold start: the process is new, or its new owner has no state of it.
    fn start_cold_ramp(&mut self) {
        self.cold = Some(Ramp::default());
    }

    fn record_reply(
        &mut self,
        at_us: u64,
        node: NodeKey,
        reply: &TargetReply,
        spec: &Replica,
        is_run_reply: bool,
    ) {
        if let Some(instance) = reply.instance {
            self.known_instances.insert(node, instance);
        }
        let from_owner = self.owner.is_some_and(|it| it.0 == node);
        let ran = matches!(reply.outcome, TargetOutcome::Answered { .. });
        if from_owner && self.drain_started_us.is_some() && reply.outcome == TargetOutcome::Draining
        {
            self.owner_saw_drain = true;
        }
        if let Some(ramp) = &mut self.cold
            && is_run_reply
            && from_owner
            && ran
            && reply.instance == self.instance
        {
            ramp.record_success(at_us, spec);
        }
    }
}
