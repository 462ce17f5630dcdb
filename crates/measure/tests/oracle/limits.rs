//! Limits of the targets, leases, and work that must not start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use wigeonhall_measure::Edit;
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

/// Time after which a target that leaves gets no new work.
const LEAVE_US: u64 = 3_000_000;

const SECOND_US: u64 = 1_000_000;

/// Most successes of a round of a cold start.
const ROUND_SUCCESSES: u32 = 20;

/// What holds for one replica.
#[derive(Default)]
struct Target {
    /// Ramp since it turned cold; `None` once warm at the start.
    cold: Option<Ramp>,
    /// Connections that each node holds.
    connections: BTreeMap<NodeKey, u32>,
    drains_us: Option<u64>,
    /// Node that became owner last, and the time from which it can know that the target
    /// drains: at once if it was told by an owner that had heard so.
    holder: Option<(NodeKey, u64)>,
    /// Whether the owner has heard that the target drains.
    heard_drain: bool,
    instance: Option<u64>,
    /// Process that each node heard from last.
    known: BTreeMap<NodeKey, u64>,
    /// Sent and not ended at the target.
    running: BTreeSet<AttemptId>,
    /// Starts since the target or its owner turned cold.
    starts_us: Vec<u64>,
}

/// The fastest ramp that the design page allows.
#[derive(Clone, Copy, Default)]
struct Ramp {
    /// Full rounds of successes, each of which doubles the allowance and the rate.
    level: u32,
    /// First success of the round.
    since_us: Option<u64>,
    /// Successes of the round.
    successes: u32,
}

impl Ramp {
    fn allowance(&self, spec: &Replica) -> u32 {
        spec.cold.slots << self.level.min(8)
    }

    fn rate(&self, spec: &Replica) -> u32 {
        spec.cold.requests_per_s << self.level.min(8)
    }

    /// A round takes at least a second and as many successes as the rate allows in it, up
    /// to 20.
    fn succeed(&mut self, at_us: u64, spec: &Replica) {
        self.successes += 1;
        let since_us = *self.since_us.get_or_insert(at_us);
        let round = self.rate(spec).min(ROUND_SUCCESSES);
        if self.successes >= round && at_us >= since_us + SECOND_US {
            *self = Self {
                level: self.level + 1,
                ..Self::default()
            };
        }
    }
}

pub struct Limits {
    deployment: Deployment,
    /// Generation in force at each node.
    generations: BTreeMap<NodeKey, u64>,
    leases: BTreeMap<NodeKey, u64>,
    /// What is out in each generation.
    out: BTreeMap<u64, (BTreeSet<DataCentreKey>, BTreeSet<ReplicaKey>)>,
    pauses: BTreeMap<NodeKey, u64>,
    targets: BTreeMap<ReplicaKey, Target>,
}

impl Limits {
    pub fn new(deployment: &Deployment) -> Self {
        let targets = deployment.replicas.keys();
        Self {
            deployment: deployment.clone(),
            generations: BTreeMap::new(),
            leases: BTreeMap::new(),
            out: BTreeMap::from([(deployment.generation, Default::default())]),
            pauses: BTreeMap::new(),
            targets: targets.map(|&it| (it, Target::default())).collect(),
        }
    }

    fn target(&mut self, replica: ReplicaKey) -> &mut Target {
        self.targets.get_mut(&replica).expect("it is known")
    }

    /// Takes an event and returns what it breaks.
    pub fn see(&mut self, at_us: u64, event: &TraceEvent) -> Vec<String> {
        match event {
            TraceEvent::Changed(generation, edit) => self.changed(*generation, *edit),
            TraceEvent::Connected(node, replica, count) => {
                return self.connected(*node, *replica, *count);
            }
            TraceEvent::Deployed(node, generation) => {
                let known = self.generations.entry(*node).or_default();
                *known = (*known).max(*generation);
            }
            TraceEvent::Granted {
                node,
                replica,
                state,
                ..
            } => {
                let target = self.target(*replica);
                let told = state.is_some() && target.heard_drain;
                target.holder = Some((*node, if told { 0 } else { at_us }));
                target.heard_drain = told;
                target.known.remove(node);
                match state {
                    Some(state) => {
                        let instance = state.instance;
                        target
                            .known
                            .extend(instance.map(|instance| (*node, instance)));
                        if at_us == 0 {
                            target.instance = instance;
                        }
                    }
                    None => target.cool(),
                }
            }
            TraceEvent::Leased(node, until_us) => {
                self.leases.insert(*node, *until_us);
            }
            TraceEvent::Probed(node, replica, reply) => {
                let spec = self.deployment.replicas[replica];
                self.target(*replica)
                    .heard(at_us, *node, reply, &spec, false);
            }
            TraceEvent::Started(node, sub) => return self.started(at_us, *node, sub),
            TraceEvent::Step(Step::Drain(replica)) => {
                self.target(*replica).drains_us.get_or_insert(at_us);
            }
            TraceEvent::Step(Step::Pause(node, us)) => {
                let until_us = self.pauses.entry(*node).or_default();
                *until_us = (*until_us).max(at_us + us);
            }
            TraceEvent::Step(Step::Stop(node)) => {
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
                    .heard(at_us, *node, reply, &spec, true);
            }
            TraceEvent::TargetStarted(replica, instance) => {
                let target = self.target(*replica);
                target.instance = Some(*instance);
                target.drains_us = None;
                target.heard_drain = false;
                target.cool();
            }
            _ => {}
        }
        Vec::new()
    }

    fn changed(&mut self, generation: u64, edit: Edit) {
        let newest = self.out.last_key_value();
        let mut out = newest.map(|(_, it)| it.clone()).unwrap_or_default();
        match edit {
            Edit::DataCentre(key, true) => out.0.insert(key),
            Edit::DataCentre(key, false) => out.0.remove(&key),
            Edit::Replica(key, true) => out.1.insert(key),
            Edit::Replica(key, false) => out.1.remove(&key),
        };
        self.out.insert(generation, out);
    }

    /// The connections of all nodes together stay within the replica's limit.
    fn connected(&mut self, node: NodeKey, replica: ReplicaKey, count: u32) -> Vec<String> {
        let most = self.deployment.replicas[&replica].connections;
        let target = self.target(replica);
        target.connections.insert(node, count);
        let all: u32 = target.connections.values().sum();
        if all <= most {
            return Vec::new();
        }
        vec![format!("{all} connections to {replica:?}, limit {most}")]
    }

    fn started(&mut self, at_us: u64, node: NodeKey, sub: &SubRequest) -> Vec<String> {
        let mut wrong = Vec::new();
        let spec = self.deployment.replicas[&sub.replica];
        let out = &self.out[&self.generations[&node]];
        // Promise 4 and 8. A node starts nothing at what is out in the deployment that it
        // knows. A node that the deployment did not reach within 3 s is not checked: its
        // messages were lost or it was paused, and the cores do not carry the deployment.
        if out.0.contains(&spec.data_centre) || out.1.contains(&sub.replica) {
            wrong.push(format!("a start at {:?}, which is out", sub.replica));
        }
        let lease_us = self.leases.get(&node).copied().unwrap_or(0);
        if at_us >= lease_us {
            wrong.push(format!("a start at {node:?} without a lease"));
        }
        if at_us >= sub.deadline_us {
            wrong.push("a start past the deadline".to_owned());
        }
        let paused_us = self.pauses.get(&node).copied().unwrap_or(0);
        let target = self.target(sub.replica);
        let holder = target.holder;
        if holder.is_none_or(|(holder, _)| holder != node) {
            wrong.push(format!("a start at {node:?}, but {holder:?} is the owner"));
        }
        // Promise 8. The 3 s count from the grant for a new owner that was not told, since
        // it learns of a drain from the target alone, and from the end of a pause, since a
        // paused node hears nothing.
        let granted_us = holder.map_or(0, |it| it.1);
        if let Some(drains_us) = target.drains_us
            && at_us > drains_us.max(granted_us).max(paused_us) + LEAVE_US
        {
            wrong.push(format!("a start at {:?}, which leaves", sub.replica));
        }
        target.running.insert(sub.attempt);
        target.starts_us.push(at_us);
        let running = target.running.len() as u32;
        if running > spec.slots {
            wrong.push(format!("{running} run at {:?}", sub.replica));
        }
        // Promise 3. An owner that has not heard from the new process of a target cannot
        // know that it is cold; it is checked from its first reply or probe on.
        let knows = target.known.get(&node).copied() == target.instance;
        if let (Some(ramp), true) = (target.cold, knows || target.known.is_empty()) {
            let allowance = ramp.allowance(&spec);
            let rate = ramp.rate(&spec) as usize;
            let recent = target.starts_us.iter();
            let recent = recent.filter(|it| **it + SECOND_US >= at_us).count();
            if allowance < spec.slots && (running > allowance || recent > rate) {
                wrong.push(format!(
                    "{running} run at cold {:?}, {recent} started within 1 s, after \
                     {} rounds and {} successes",
                    sub.replica, ramp.level, ramp.successes
                ));
            }
        }
        wrong
    }
}

impl Target {
    /// The process is new, or its owner knows nothing about it.
    fn cool(&mut self) {
        self.cold = Some(Ramp::default());
    }

    fn heard(
        &mut self,
        at_us: u64,
        node: NodeKey,
        reply: &TargetReply,
        spec: &Replica,
        request: bool,
    ) {
        if let Some(instance) = reply.instance {
            self.known.insert(node, instance);
        }
        let holds = self.holder.is_some_and(|it| it.0 == node);
        let ran = matches!(reply.outcome, TargetOutcome::Answered { .. });
        if holds && self.drains_us.is_some() && reply.outcome == TargetOutcome::Draining {
            self.heard_drain = true;
        }
        if let Some(ramp) = &mut self.cold
            && request
            && holds
            && ran
            && reply.instance == self.instance
        {
            ramp.succeed(at_us, spec);
        }
    }
}
