use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use fastrand::Rng;

use crate::cold_ramp::ColdRamp;
use crate::plain::Part;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

/// Time for which a node leaves a replica alone that failed.
const DOWN_US: u64 = 1_000_000;

/// Fixed shares of the slots of each replica, held by entry nodes.
///
/// A share is never below one slot, since a node without one cannot use the replica.
#[derive(Debug)]
pub struct Shares {
    down_until_us: HashMap<(NodeKey, ReplicaKey), u64>,
    /// Every node has a share of every replica; otherwise of a subset of each service.
    each: bool,
    held: HashMap<(NodeKey, ServiceKey), Vec<(ReplicaKey, u32)>>,
    ramps: HashMap<(NodeKey, ReplicaKey), ColdRamp>,
    running: HashMap<(NodeKey, ReplicaKey), u32>,
    waiting: HashMap<(NodeKey, ServiceKey), VecDeque<Part>>,
}

impl Shares {
    /// Shares dealt over the nodes and replicas outside the data centres that are out.
    #[must_use]
    pub fn new(each: bool, deployment: &Deployment) -> Self {
        let mut shares = Self {
            down_until_us: HashMap::new(),
            each,
            held: HashMap::new(),
            ramps: HashMap::new(),
            running: HashMap::new(),
            waiting: HashMap::new(),
        };
        shares.deal(deployment, &BTreeSet::new());
        shares
    }

    /// Deals the slots of each service in turn to nodes and replicas. A service with fewer
    /// slots than nodes deals one share a node, over its limit.
    pub fn deal(&mut self, deployment: &Deployment, out: &BTreeSet<DataCentreKey>) {
        self.held.clear();
        let vms = deployment.vms.iter();
        let nodes: Vec<NodeKey> = vms
            .filter(|(_, vm)| !out.contains(&vm.data_centre))
            .map(|(&node, _)| node)
            .collect();
        for (position, (&service, shape)) in deployment.services.iter().enumerate() {
            let usable = shape.replicas.iter().copied();
            let replicas: Vec<ReplicaKey> = usable
                .filter(|it| !out.contains(&deployment.replicas[it].data_centre))
                .collect();
            if replicas.is_empty() || nodes.is_empty() {
                continue;
            }
            let slots: u32 = replicas
                .iter()
                .map(|it| deployment.replicas[it].slots)
                .sum();
            let mut deals = (slots as usize).max(nodes.len());
            if self.each {
                deals = nodes.len() * replicas.len();
            }
            for index in 0..deals {
                let node = nodes[(position + index) % nodes.len()];
                let replica = if self.each {
                    replicas[index / nodes.len()]
                } else {
                    replicas[index % replicas.len()]
                };
                let held = self.held.entry((node, service)).or_default();
                match held.iter_mut().find(|(it, _)| *it == replica) {
                    Some((_, share)) => *share += 1,
                    None => held.push((replica, 1)),
                }
            }
        }
    }

    /// Sum of the shares of a replica.
    #[must_use]
    pub fn dealt(&self, replica: ReplicaKey) -> u32 {
        let held = self.held.values().flatten();
        held.filter(|(it, _)| *it == replica)
            .map(|(_, share)| share)
            .sum()
    }

    /// A sub-request waits for a share of its node.
    pub fn push(&mut self, part: Part) {
        let queue = self.waiting.entry((part.node, part.service)).or_default();
        queue.push_back(part);
    }

    /// Takes the next sub-request that can start. Otherwise the time at which to look
    /// again, if that does not follow from the end of a running one.
    pub fn next(
        &mut self,
        now_us: u64,
        (node, service): (NodeKey, ServiceKey),
        all: &[ReplicaKey],
        rng: &mut Rng,
        valid: impl Fn(&Part) -> bool,
    ) -> Result<Part, Option<u64>> {
        let queue = self.waiting.entry((node, service)).or_default();
        while queue.front().is_some_and(|it| !valid(it)) {
            queue.pop_front();
        }
        let Some(&part) = queue.front() else {
            return Err(None);
        };
        let mut held = self.held.get(&(node, service)).cloned().unwrap_or_default();
        let down = &self.down_until_us;
        let is_up = |it: ReplicaKey| down.get(&(node, it)).is_none_or(|&until| until <= now_us);
        held.retain(|(it, _)| is_up(*it));
        if held.is_empty() {
            // The share moves to another replica of the service while its own is down.
            let others = all.iter().copied().filter(|it| is_up(*it));
            held = others.map(|it| (it, 1)).collect();
        }
        if held.is_empty() {
            return Err(Some(now_us + DOWN_US));
        }
        let mut look_us = None;
        let mut free = Vec::new();
        for (replica, share) in held {
            let running = self.running.get(&(node, replica)).copied().unwrap_or(0);
            if running >= share {
                continue;
            }
            let ramp = self.ramps.get_mut(&(node, replica));
            let start_us = ramp.map_or(now_us, |it| it.next_start_us(now_us));
            if start_us > now_us {
                look_us = Some(look_us.map_or(start_us, |it: u64| it.min(start_us)));
            } else {
                free.push(replica);
            }
        }
        let Some(replica) = rng.choice(free) else {
            return Err(look_us);
        };
        if let Some(queue) = self.waiting.get_mut(&(node, service)) {
            queue.pop_front();
        }
        *self.running.entry((node, replica)).or_default() += 1;
        if let Some(ramp) = self.ramps.get_mut(&(node, replica)) {
            ramp.started(now_us);
        }
        Ok(Part { replica, ..part })
    }

    /// A request of a node ended.
    pub fn release(&mut self, now_us: u64, part: &Part, success: bool) {
        let pair = (part.node, part.replica);
        if let Some(running) = self.running.get_mut(&pair) {
            *running = running.saturating_sub(1);
        }
        if !success {
            self.down_until_us.insert(pair, now_us + DOWN_US);
        } else if self
            .ramps
            .get_mut(&pair)
            .is_some_and(|it| it.succeeded(now_us))
        {
            self.ramps.remove(&pair);
        }
    }

    /// A target came back; each node sees its connections reset.
    pub fn restarted(&mut self, now_us: u64, replica: ReplicaKey, deployment: &Deployment) {
        let limits = deployment.replicas[&replica];
        let holders = self.dealt(replica);
        for &node in deployment.vms.keys() {
            let ramp = ColdRamp::new(now_us, limits, holders);
            self.ramps.insert((node, replica), ramp);
        }
    }

    /// A node ended; its replacement gets the same shares.
    pub fn lose_node(&mut self, node: NodeKey) {
        self.running.retain(|(it, _), _| *it != node);
        self.waiting.retain(|(it, _), _| *it != node);
    }
}
