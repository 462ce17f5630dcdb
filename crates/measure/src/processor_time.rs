use std::collections::VecDeque;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Instant;

use crate::shards;
use wigeonhall_gate::Gate;
use wigeonhall_gate::GateAction;
use wigeonhall_gate::GateEvent;
use wigeonhall_query::Coordinator;
use wigeonhall_query::CoordinatorConfig;
use wigeonhall_query::CoverageDemand;
use wigeonhall_query::QueryAction;
use wigeonhall_query::QueryEvent;
use wigeonhall_query::QueryId;
use wigeonhall_query::ReadQuery;
use wigeonhall_types::ClassKey;
use wigeonhall_types::ClassKind;
use wigeonhall_types::ColdBound;
use wigeonhall_types::DataCentre;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::HandOverState;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::OwnershipTable;
use wigeonhall_types::QueryClass;
use wigeonhall_types::Replica;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::Service;
use wigeonhall_types::ServiceKey;
use wigeonhall_types::ServiceLevel;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

const CLASS: ClassKey = ClassKey(0);
const NODE: NodeKey = NodeKey(0);
const DATA_CENTRE: DataCentreKey = DataCentreKey(0);
const VERSION: IndexVersion = IndexVersion(2);

/// Number of sub-requests in one batch.
const BATCH_SUB_REQUESTS: usize = 20_000;

/// Number of batches of one measurement, after one for warm-up. The fastest batch is the
/// result, since other processes on the machine can only add time.
const BATCH_COUNT: usize = 20;

/// Virtual time between two queries; long enough that no query sends a hedge.
const QUERY_GAP_US: u64 = 20_000;

/// Typical service time of a request, handed to the gate at the start.
const TYPICAL_SERVICE_US: u64 = 4_000;

/// Processor time of the query and gate cores (the decision logic of a node, without I/O) for
/// queries over `shards` services with two replicas each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessorTime {
    /// Processor time of the gate core per sub-request, in nanoseconds.
    pub gate_ns: f64,
    /// Processor time of the query core per sub-request, in nanoseconds.
    pub query_ns: f64,
    /// Number of services that each query reads.
    pub shards: usize,
}

/// Measures the cores on one thread, one query at a time, and returns the fastest batch for
/// each number of shards.
///
/// Batches for different numbers of shards alternate, because the clock rate of the machine
/// changes within seconds, which would otherwise appear as a difference between them.
#[must_use]
pub fn processor_time(shard_counts: &[usize]) -> Vec<ProcessorTime> {
    let mut benches: Vec<Bench> = shard_counts
        .iter()
        .map(|&shards| Bench::new(&Arc::new(deployment(shards))))
        .collect();
    let mut fastest: Vec<ProcessorTime> = Vec::new();
    for round in 0..=BATCH_COUNT {
        for (index, bench) in benches.iter_mut().enumerate() {
            let batch = bench.batch(shard_counts[index]);
            if round == 0 {
                fastest.push(batch);
                continue;
            }
            let best = &mut fastest[index];
            best.gate_ns = best.gate_ns.min(batch.gate_ns);
            best.query_ns = best.query_ns.min(batch.query_ns);
        }
    }
    fastest
}

/// Returns the table of the measurement from 20 to 520 shards.
#[must_use]
pub fn processor_time_table() -> String {
    let mut text = String::from("shards  query ns/sub  gate ns/sub  sum ns/sub\n");
    for it in processor_time(&[20, 50, 130, 260, 520]) {
        let sum = it.query_ns + it.gate_ns;
        let _ = writeln!(
            text,
            "{:>6} {:>13.0} {:>12.0} {sum:>11.0}",
            it.shards, it.query_ns, it.gate_ns
        );
    }
    text
}

#[derive(Debug)]
struct Bench {
    coordinator: Coordinator,
    gate: Gate,
    gate_actions: Vec<GateAction>,
    gate_ns: u128,
    next_query: u64,
    now_us: u64,
    query_actions: Vec<QueryAction>,
    query_ns: u128,
    shards: usize,
    sub_requests: u64,
}

impl Bench {
    fn new(deployment: &Arc<Deployment>) -> Self {
        let config = CoordinatorConfig {
            boot: 1,
            data_centre: DATA_CENTRE,
            node: NODE,
        };
        let mut bench = Self {
            coordinator: Coordinator::new(config, 1),
            gate: Gate::new(),
            gate_actions: Vec::new(),
            gate_ns: 0,
            next_query: 0,
            now_us: 1_000_000,
            query_actions: Vec::new(),
            query_ns: 0,
            shards: deployment.services.len(),
            sub_requests: 0,
        };
        bench.feed_gate(GateEvent::Deployment(Arc::clone(deployment)));
        bench.feed_gate(GateEvent::LeaseUntil(u64::MAX));
        for &replica in deployment.replicas.keys() {
            let state = Some(bench.warm_state(replica));
            bench.feed_gate(GateEvent::Grant {
                epoch: 1,
                replica,
                state,
            });
        }
        bench.feed_query(QueryEvent::Deployment(Arc::clone(deployment)));
        let owners = deployment.replicas.keys().map(|&it| (it, NODE)).collect();
        bench.feed_query(QueryEvent::Owners(Arc::new(OwnershipTable {
            data_centre: DATA_CENTRE,
            epoch: 1,
            members: vec![NODE],
            owners,
        })));
        // Load and state of each replica, from which the coordinator chooses one.
        for (replica, report) in bench.gate.reports(bench.now_us) {
            bench.feed_query(QueryEvent::Report { replica, report });
        }
        bench.query_actions.clear();
        bench.gate_actions.clear();
        bench
    }

    fn warm_state(&self, replica: ReplicaKey) -> HandOverState {
        HandOverState {
            instance: Some(1),
            served: self.served(replica),
            service_us: TYPICAL_SERVICE_US,
            ..HandOverState::warm()
        }
    }

    fn served(&self, replica: ReplicaKey) -> Vec<wigeonhall_types::ServedVersion> {
        shards::served(replica.index() / 2, self.shards, VERSION)
    }

    fn feed_query(&mut self, event: QueryEvent) {
        let start = Instant::now();
        self.coordinator
            .handle(self.now_us, event, &mut self.query_actions);
        self.query_ns += start.elapsed().as_nanos();
    }

    fn feed_gate(&mut self, event: GateEvent) {
        let start = Instant::now();
        self.gate.handle(self.now_us, event, &mut self.gate_actions);
        self.gate_ns += start.elapsed().as_nanos();
    }

    /// Runs a batch of queries and returns the mean processor times per sub-request.
    fn batch(&mut self, shards: usize) -> ProcessorTime {
        self.gate_ns = 0;
        self.query_ns = 0;
        self.sub_requests = 0;
        for _ in 0..(BATCH_SUB_REQUESTS / shards).max(1) {
            self.run_query();
        }
        let per_sub = |ns: u128| ns as f64 / self.sub_requests.max(1) as f64;
        ProcessorTime {
            gate_ns: per_sub(self.gate_ns),
            query_ns: per_sub(self.query_ns),
            shards,
        }
    }

    /// Runs one query until it is answered; its sub-requests run concurrently.
    fn run_query(&mut self) {
        self.next_query += 1;
        self.now_us += QUERY_GAP_US;
        self.feed_query(QueryEvent::Read(ReadQuery {
            class: CLASS,
            deadline_us: self.now_us + 1_000_000,
            demand: CoverageDemand::Full,
            id: QueryId(self.next_query),
            range: KeyRange::WHOLE,
        }));
        let mut running: VecDeque<SubRequest> = VecDeque::new();
        loop {
            for action in std::mem::take(&mut self.query_actions) {
                if let QueryAction::Send { sub, .. } = action {
                    self.sub_requests += 1;
                    self.feed_gate(GateEvent::Submit(sub));
                }
            }
            for action in std::mem::take(&mut self.gate_actions) {
                match action {
                    GateAction::Send(sub) => running.push_back(sub),
                    GateAction::Respond {
                        attempt,
                        outcome,
                        report,
                    } => self.feed_query(QueryEvent::SubReply {
                        attempt,
                        outcome,
                        report,
                    }),
                    _ => {}
                }
            }
            if !self.query_actions.is_empty() {
                continue;
            }
            let Some(sub) = running.pop_front() else {
                return;
            };
            self.now_us += 1;
            let reply = self.reply(&sub);
            let attempt = sub.attempt;
            self.feed_gate(GateEvent::TargetReply { attempt, reply });
        }
    }

    fn reply(&self, sub: &SubRequest) -> TargetReply {
        let ranges = shards::ranges(sub.replica.index() / 2, self.shards, VERSION);
        TargetReply {
            instance: Some(1),
            outcome: TargetOutcome::Answered {
                rows: ranges
                    .iter()
                    .flat_map(|&it| shards::rows(it, VERSION))
                    .collect(),
                ranges,
                version: VERSION,
            },
            served: self.served(sub.replica),
        }
    }
}

fn deployment(shards: usize) -> Deployment {
    let mut deployment = Deployment {
        generation: 1,
        ..Deployment::default()
    };
    let data_centre = DataCentre {
        out: false,
        region: Arc::from("region"),
    };
    deployment.data_centres.insert(DATA_CENTRE, data_centre);
    for index in 0..shards as u32 {
        let service = ServiceKey(index);
        let replicas = vec![ReplicaKey(2 * index), ReplicaKey(2 * index + 1)];
        for &replica in &replicas {
            deployment.replicas.insert(
                replica,
                Replica {
                    address: ([127, 0, 0, 1], 1).into(),
                    cold: ColdBound {
                        requests_per_s: 10,
                        slots: 1,
                    },
                    connect_us: 6_000,
                    connections: 55,
                    data_centre: DATA_CENTRE,
                    out: false,
                    service,
                    slots: 2,
                },
            );
        }
        deployment.services.insert(service, Service { replicas });
    }
    let class = QueryClass {
        deadline_ms: 1_000,
        depends_on: deployment.services.keys().copied().collect(),
        kind: ClassKind::Read,
        level: ServiceLevel {
            latency_ms: 360,
            objective_ppm: 990_000,
        },
        slot_share_percent: 100,
        weight: 1,
    };
    deployment.classes.insert(CLASS, class);
    deployment
}
