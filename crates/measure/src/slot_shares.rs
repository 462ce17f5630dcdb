use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use fastrand::Rng;

use crate::cold_ramp::ColdRamp;
use crate::direct_world::DirectSubRequest;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

/// Time for which a node sends nothing to a replica that failed.
const FAILED_REPLICA_PAUSE_US: u64 = 1_000_000;

/// Fixed shares of the slots of each replica, assigned to entry nodes: an alternative to one owner
/// node per replica, simulated for comparison.
///
/// A share is at least one slot, since a node without a slot cannot use the replica.
#[derive(Debug)]
pub struct SlotShares {
    /// Replicas that failed a request of a node, and the time until which the node avoids them.
    down_until_us: HashMap<(NodeKey, ReplicaKey), u64>,
    /// Whether every node has a share of every replica; otherwise it has shares of some
    /// replicas of each service.
    every_replica: bool,
    /// Number of slots of each replica that a node may use.
    assigned: HashMap<(NodeKey, ServiceKey), Vec<(ReplicaKey, u32)>>,
    /// Ramps of cold replicas (the rise of their limits after a cold start), one for each node.
    ramps: HashMap<(NodeKey, ReplicaKey), ColdRamp>,
    /// Number of requests of a node that run at a replica.
    running: HashMap<(NodeKey, ReplicaKey), u32>,
    /// Sub-requests that wait for a share, in order of arrival.
    waiting: HashMap<(NodeKey, ServiceKey), VecDeque<DirectSubRequest>>,
}

impl SlotShares {
    /// Creates shares with all data centres in service.
    #[must_use]
    pub fn new(every_replica: bool, deployment: &Deployment) -> Self {
        let mut shares = Self {
            down_until_us: HashMap::new(),
            every_replica,
            assigned: HashMap::new(),
            ramps: HashMap::new(),
            running: HashMap::new(),
            waiting: HashMap::new(),
        };
        shares.assign(deployment, &BTreeSet::new());
        shares
    }

    /// Assigns the slots of each service round-robin to the nodes and replicas in data centres
    /// that are in service. If a service has fewer slots than there are nodes, each node still
    /// gets one slot, and the shares exceed the limit of the service.
    pub fn assign(&mut self, deployment: &Deployment, out: &BTreeSet<DataCentreKey>) {
        self.assigned.clear();
        let vms = deployment.vms.iter();
        let nodes: Vec<NodeKey> = vms
            .filter(|(_, vm)| !out.contains(&vm.data_centre))
            .map(|(&node, _)| node)
            .collect();
        for (position, (&service, spec)) in deployment.services.iter().enumerate() {
            let usable = spec.replicas.iter().copied();
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
            let mut assignment_count = (slots as usize).max(nodes.len());
            if self.every_replica {
                assignment_count = nodes.len() * replicas.len();
            }
            for index in 0..assignment_count {
                let node = nodes[(position + index) % nodes.len()];
                let replica = if self.every_replica {
                    replicas[index / nodes.len()]
                } else {
                    replicas[index % replicas.len()]
                };
                let assigned = self.assigned.entry((node, service)).or_default();
                match assigned.iter_mut().find(|(it, _)| *it == replica) {
                    Some((_, share)) => *share += 1,
                    None => assigned.push((replica, 1)),
                }
            }
        }
    }

    /// Returns the sum of all shares of a replica.
    #[must_use]
    pub fn total_share(&self, replica: ReplicaKey) -> u32 {
        let assigned = self.assigned.values().flatten();
        assigned
            .filter(|(it, _)| *it == replica)
            .map(|(_, share)| share)
            .sum()
    }

    /// Queues a sub-request for a share of its node.
    pub fn push(&mut self, sub_request: DirectSubRequest) {
        let queue = self
            .waiting
            .entry((sub_request.node, sub_request.service))
            .or_default();
        queue.push_back(sub_request);
    }

    /// Removes and returns the next sub-request that can start.
    ///
    /// # Errors
    ///
    /// If none can start: the time at which to check again, or `None` if the end of a running
    /// request or a new arrival triggers the next check.
    pub fn next_startable(
        &mut self,
        now_us: u64,
        (node, service): (NodeKey, ServiceKey),
        usable: &[ReplicaKey],
        rng: &mut Rng,
        is_waiting: impl Fn(&DirectSubRequest) -> bool,
    ) -> Result<DirectSubRequest, Option<u64>> {
        let queue = self.waiting.entry((node, service)).or_default();
        while queue.front().is_some_and(|it| !is_waiting(it)) {
            queue.pop_front();
        }
        let Some(&sub_request) = queue.front() else {
            return Err(None);
        };
        let mut assigned = self
            .assigned
            .get(&(node, service))
            .cloned()
            .unwrap_or_default();
        let down = &self.down_until_us;
        let is_up = |it: ReplicaKey| down.get(&(node, it)).is_none_or(|&until| until <= now_us);
        assigned.retain(|(it, _)| is_up(*it));
        if assigned.is_empty() {
            // While all its replicas are down, the node uses one slot of each other replica.
            let others = usable.iter().copied().filter(|it| is_up(*it));
            assigned = others.map(|it| (it, 1)).collect();
        }
        if assigned.is_empty() {
            return Err(Some(now_us + FAILED_REPLICA_PAUSE_US));
        }
        let mut check_us = None;
        let mut free = Vec::new();
        for (replica, share) in assigned {
            let running = self.running.get(&(node, replica)).copied().unwrap_or(0);
            if running >= share {
                continue;
            }
            let ramp = self.ramps.get_mut(&(node, replica));
            let start_us = ramp.map_or(now_us, |it| it.next_start_us(now_us));
            if start_us > now_us {
                check_us = Some(check_us.map_or(start_us, |it: u64| it.min(start_us)));
            } else {
                free.push(replica);
            }
        }
        let Some(replica) = rng.choice(free) else {
            return Err(check_us);
        };
        if let Some(queue) = self.waiting.get_mut(&(node, service)) {
            queue.pop_front();
        }
        *self.running.entry((node, replica)).or_default() += 1;
        if let Some(ramp) = self.ramps.get_mut(&(node, replica)) {
            ramp.record_start(now_us);
        }
        Ok(DirectSubRequest {
            replica,
            ..sub_request
        })
    }

    /// Releases the share of a request that ended.
    pub fn release(&mut self, now_us: u64, sub_request: &DirectSubRequest, success: bool) {
        let pair = (sub_request.node, sub_request.replica);
        if let Some(running) = self.running.get_mut(&pair) {
            *running = running.saturating_sub(1);
        }
        if !success {
            self.down_until_us
                .insert(pair, now_us + FAILED_REPLICA_PAUSE_US);
        } else if self
            .ramps
            .get_mut(&pair)
            .is_some_and(|it| it.record_success(now_us))
        {
            self.ramps.remove(&pair);
        }
    }

    /// Starts the cold-start ramp of a restarted target on every node, since each node sees its
    /// connections reset.
    pub fn start_ramp(&mut self, now_us: u64, replica: ReplicaKey, deployment: &Deployment) {
        let limits = deployment.replicas[&replica];
        let total_share = self.total_share(replica);
        for &node in deployment.vms.keys() {
            let ramp = ColdRamp::new(now_us, limits, total_share);
            self.ramps.insert((node, replica), ramp);
        }
    }

    /// Drops the requests of a lost node; its replacement gets the same shares.
    pub fn lose_node(&mut self, node: NodeKey) {
        self.running.retain(|(it, _), _| *it != node);
        self.waiting.retain(|(it, _), _| *it != node);
    }
}
