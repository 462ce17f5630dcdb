use std::collections::BTreeMap;

use fastrand::Rng;

use crate::RunResult;
use crate::Scenario;
use crate::event_queue::EventQueue;
use crate::load;
use crate::network::Network;
use crate::scenario::Fault;
use wigeonhall_types::ClassKey;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// Ideal scheduler, which bounds what any scheduler can achieve without hedges.
///
/// It gets the same arrivals as a [`World`](crate::World) with the same seed, sees the state
/// of every slot without sending messages, and has the service time of each sub-request at
/// each replica in advance. It serves queries in order of arrival and assigns each
/// sub-request to the replica that would reply first.
///
/// Cold starts and index versions are not modelled.
#[derive(Debug)]
pub struct IdealScheduler {
    arrivals: Rng,
    deployment: Deployment,
    events: EventQueue<Event>,
    network: Network,
    /// Data centres that are out of service.
    out: Vec<DataCentreKey>,
    result: RunResult,
    service_times: Rng,
    targets: BTreeMap<ReplicaKey, Target>,
}

#[derive(Debug)]
enum Event {
    Arrival(ClassKey),
    Fault(Fault),
}

#[derive(Debug)]
struct Target {
    /// Time at which each slot becomes free.
    free_us: Vec<u64>,
    slowness: f64,
    up: bool,
}

impl IdealScheduler {
    /// Creates an ideal scheduler for a deployment.
    #[must_use]
    pub fn new(deployment: Deployment, network: Network, seed: u64) -> Self {
        let targets = deployment.replicas.iter().map(|(&key, replica)| {
            let target = Target {
                free_us: vec![0; replica.slots as usize],
                slowness: 1.0,
                up: true,
            };
            (key, target)
        });
        Self {
            arrivals: load::arrivals_rng(seed),
            targets: targets.collect(),
            deployment,
            events: EventQueue::default(),
            network,
            out: Vec::new(),
            result: RunResult::default(),
            service_times: Rng::with_seed(seed),
        }
    }

    /// Runs a scenario for `run_us` of virtual time and returns the results of the queries
    /// that arrive after `warm_up_us`.
    #[must_use]
    pub fn run(mut self, scenario: &Scenario, warm_up_us: u64, run_us: u64) -> RunResult {
        let rates = load::rates(&self.deployment, scenario.load);
        for (at_us, class) in load::first_arrivals_us(&mut self.arrivals, &rates) {
            self.events.push(at_us, Event::Arrival(class));
        }
        for &(at_us, fault) in &scenario.faults {
            self.events.push(at_us, Event::Fault(fault));
        }
        while let Some((now_us, event)) = self.events.pop() {
            if now_us > run_us {
                break;
            }
            match event {
                Event::Arrival(class) => {
                    let next_us = load::next_arrival_us(&mut self.arrivals, rates[&class]);
                    self.events.push(now_us + next_us, Event::Arrival(class));
                    self.handle_arrival(now_us, class, now_us >= warm_up_us);
                }
                Event::Fault(fault) => self.apply_fault(fault),
            }
        }
        self.result
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::DataCentreOut(it) => self.out.push(it),
            Fault::DataCentreIn(it) => self.out.retain(|out| *out != it),
            Fault::TargetLost(replica) => self.target(replica).up = false,
            Fault::TargetSlow(replica, factor) => self.target(replica).slowness = factor,
            Fault::NodeLost(_)
            | Fault::NodeReplaced(_)
            | Fault::TargetRestart(_)
            | Fault::VersionRoll => {}
        }
    }

    fn target(&mut self, replica: ReplicaKey) -> &mut Target {
        self.targets
            .get_mut(&replica)
            .expect("every replica has a target")
    }

    fn handle_arrival(&mut self, now_us: u64, class: ClassKey, counted: bool) {
        let vms = self.deployment.vms.iter();
        let nodes: Vec<(NodeKey, DataCentreKey)> = vms
            .map(|(&key, vm)| (key, vm.data_centre))
            .filter(|(_, data_centre)| !self.out.contains(data_centre))
            .collect();
        let (_, data_centre) = nodes[self.arrivals.usize(..nodes.len())];
        let at_us = now_us + self.network.caller_us;
        let services = self.deployment.classes[&class].depends_on.clone();
        let mut end_us = at_us;
        for service in services {
            let replicas = self.deployment.services[&service].replicas.clone();
            let ends = replicas
                .iter()
                .filter_map(|&it| self.reply_time(at_us, data_centre, it));
            let Some((reply_us, free_us, replica)) = ends.min() else {
                return;
            };
            let slots = &mut self.target(replica).free_us;
            if let Some(slot) = slots.iter_mut().min() {
                *slot = free_us;
            }
            end_us = end_us.max(reply_us);
        }
        if counted {
            let stats = self.result.classes.entry(class).or_default();
            stats.offered += 1;
            stats
                .latencies_us
                .push(end_us + self.network.caller_us - now_us);
        }
    }

    /// Returns the time at which the reply of a replica would reach an entry node in
    /// `data_centre`, the time at which its slot would be free again, and the replica. Returns
    /// `None` if the replica is down or its data centre is out of service.
    fn reply_time(
        &mut self,
        at_us: u64,
        data_centre: DataCentreKey,
        replica: ReplicaKey,
    ) -> Option<(u64, u64, ReplicaKey)> {
        let replica_data_centre = self.deployment.replicas[&replica].data_centre;
        let target = &self.targets[&replica];
        let service_us = load::service_time_us(&mut self.service_times, target.slowness);
        if !target.up || self.out.contains(&replica_data_centre) {
            return None;
        }
        // No hop within a data centre: the entry node may own the replica itself.
        let hop_us = if replica_data_centre == data_centre {
            0
        } else {
            self.network.between_us
        };
        let start_us = (at_us + hop_us).max(*target.free_us.iter().min()?);
        let free_us = start_us + service_us + 2 * self.network.within_us;
        Some((free_us + hop_us, free_us, replica))
    }
}
