//! Test harness: a coordinator with a small deployment, and helpers that build events and
//! filter actions.
#![allow(dead_code, reason = "each test file uses a part of the module")]
#![allow(unreachable_pub, reason = "the module is compiled into each test file")]
#![allow(unused_imports, reason = "each test file uses a part of the types")]

pub use std::collections::BTreeMap;
pub use std::collections::BTreeSet;
pub use std::sync::Arc;
pub use wigeonhall_query::CoverageDemand::Full;
pub use wigeonhall_query::CoverageDemand::Partial;
pub use wigeonhall_query::*;
pub use wigeonhall_types::*;

/// Boot id of the coordinator, unless a test sets another one.
pub const BOOT: u64 = 77;
pub const READ_CLASS: ClassKey = ClassKey(0);
pub const WRITE_CLASS: ClassKey = ClassKey(1);
/// Number of keys that each service holds initially.
pub const WIDTH: u64 = 1_000;
pub const HOUR_MS: u64 = 3_600_000;
/// Value of `received_unix_ms` in every write.
pub const UNIX_MS: u64 = 1_000 * HOUR_MS;

pub struct Harness {
    pub coordinator: Coordinator,
    /// Current time; 1 s at first.
    pub now_us: u64,
    pub services: u32,
}

pub fn range(start: u64, end: u64) -> KeyRange {
    KeyRange { start, end }
}

pub fn row(key: u64, value: &str) -> Row {
    let value = Arc::from(value);
    Row { key, value }
}

/// Returns a deployment of `services` services with `replicas_per_service` replicas each.
/// Replica `n` of a service has the key `replicas_per_service` * service + `n`. A replica with an
/// even key is in data centre 0, the others in data centre 1.
pub fn deployment(services: u32, replicas_per_service: u32) -> Deployment {
    let mut deployment = Deployment::default();
    let keys: Vec<ServiceKey> = (0..services).map(ServiceKey).collect();
    for (key, kind) in [
        (READ_CLASS, ClassKind::Read),
        (WRITE_CLASS, ClassKind::Write),
    ] {
        // The longest wait for a slot is a quarter of the latency, 100 s; no test should reach it
        // by accident.
        let level = ServiceLevel {
            latency_ms: 400_000,
            objective_ppm: 999_000,
        };
        let class = QueryClass {
            deadline_ms: 1_000,
            depends_on: keys.clone(),
            kind,
            level,
            slot_share_percent: 100,
            weight: 1,
        };
        deployment.classes.insert(key, class);
    }
    for data_centre in 0..2 {
        let value = DataCentre {
            out: false,
            region: Arc::from("region"),
        };
        deployment
            .data_centres
            .insert(DataCentreKey(data_centre), value);
    }
    for service in keys {
        let replicas =
            (0..replicas_per_service).map(|n| ReplicaKey(service.0 * replicas_per_service + n));
        for replica in replicas.clone() {
            let value = Replica {
                address: ([127, 0, 0, 1], 9).into(),
                cold: ColdBound {
                    requests_per_s: 1,
                    slots: 1,
                },
                connect_us: 6_000,
                connections: 3,
                data_centre: DataCentreKey(replica.0 % 2),
                out: false,
                service,
                slots: 2,
            };
            deployment.replicas.insert(replica, value);
        }
        let replicas = replicas.collect();
        deployment.services.insert(service, Service { replicas });
    }
    deployment
}

/// Returns the ownership table of data centre `key` in which `node` owns all replicas: all requests
/// to them go through that node.
pub fn table(deployment: &Deployment, key: u32, epoch: u64, node: u32) -> Arc<OwnershipTable> {
    let here = deployment
        .replicas
        .iter()
        .filter(|(_, replica)| replica.data_centre.0 == key);
    Arc::new(OwnershipTable {
        data_centre: DataCentreKey(key),
        epoch,
        members: vec![NodeKey(node)],
        owners: here.map(|(replica, _)| (*replica, NodeKey(node))).collect(),
    })
}

pub fn report(served: &[(u64, &[KeyRange])], wait_us: u64, service_us: u64) -> ReplicaReport {
    let served = served.iter().map(|(version, ranges)| ServedVersion {
        ranges: ranges.to_vec(),
        version: IndexVersion(*version),
    });
    ReplicaReport {
        epoch: 1,
        expected_wait_us: wait_us,
        served: served.collect(),
        service_us,
        state: ReplicaState::Warm,
    }
}

pub fn sub_requests(actions: &[QueryAction]) -> Vec<(NodeKey, SubRequest)> {
    let sub_requests = actions.iter().filter_map(|action| match action {
        QueryAction::Send { node, sub } => Some((*node, sub.clone())),
        _ => None,
    });
    sub_requests.collect()
}

pub fn cancels(actions: &[QueryAction]) -> Vec<AttemptId> {
    let cancels = actions.iter().filter_map(|action| match action {
        QueryAction::Cancel { attempt, .. } => Some(*attempt),
        _ => None,
    });
    cancels.collect()
}

pub fn answers(actions: &[QueryAction]) -> Vec<Answer> {
    let answers = actions.iter().filter_map(|action| match action {
        QueryAction::Answer { answer, .. } => Some(answer.clone()),
        _ => None,
    });
    answers.collect()
}

pub fn only_answer(actions: &[QueryAction]) -> Answer {
    let answers = answers(actions);
    assert_eq!(answers.len(), 1, "{actions:?}");
    answers[0].clone()
}

pub fn refused(reason: RefusalReason) -> SubOutcome {
    SubOutcome::Refused {
        reason,
        retry_after_us: 0,
    }
}

pub fn answered(version: u64, ranges: &[KeyRange], rows: &[Row]) -> SubOutcome {
    SubOutcome::Answered {
        ranges: ranges.to_vec(),
        rows: rows.to_vec(),
        version: IndexVersion(version),
    }
}

/// Returns a reply with every key of service `sub.replica / 2`, for services with two replicas.
pub fn whole_reply(sub: &SubRequest) -> SubOutcome {
    let service = u64::from(sub.replica.0 / 2);
    let held = range(service * WIDTH, (service + 1) * WIDTH);
    let version = sub.version.expect("every sub-request is pinned").0;
    answered(version, &[held], &[row(held.start, "x")])
}

impl Harness {
    /// Creates a coordinator on node 0 in data centre 0. Node 0 owns the replicas of data
    /// centre 0, and node 1 those of data centre 1. No replica has a report yet.
    pub fn without_reports(services: u32, replicas_per_service: u32) -> Self {
        Self::with_boot(services, replicas_per_service, BOOT)
    }

    pub fn with_boot(services: u32, replicas_per_service: u32, boot: u64) -> Self {
        let config = CoordinatorConfig {
            boot,
            data_centre: DataCentreKey(0),
            node: NodeKey(0),
        };
        let mut harness = Self {
            coordinator: Coordinator::new(config, 1),
            now_us: 1_000_000,
            services,
        };
        let deployment = deployment(services, replicas_per_service);
        harness.event(QueryEvent::Owners(table(&deployment, 0, 1, 0)));
        harness.event(QueryEvent::Owners(table(&deployment, 1, 1, 1)));
        harness.event(QueryEvent::Deployment(Arc::new(deployment)));
        harness
    }

    /// Creates a coordinator and two replicas per service, which all report version 1 and a
    /// service time of 5 ms.
    pub fn new(services: u32) -> Self {
        let mut harness = Self::without_reports(services, 2);
        harness.report_all(&[1]);
        harness
    }

    pub fn event(&mut self, event: QueryEvent) -> Vec<QueryAction> {
        let mut actions = Vec::new();
        self.coordinator.handle(self.now_us, event, &mut actions);
        actions
    }

    /// Advances the clock to `now_us` and delivers every `Tick` that is due until then.
    pub fn run_to(&mut self, now_us: u64) -> Vec<QueryAction> {
        let mut actions = Vec::new();
        while let Some(wake_us) = self
            .coordinator
            .next_wake_us()
            .filter(|wake| *wake <= now_us)
        {
            self.now_us = wake_us.max(self.now_us);
            actions.extend(self.event(QueryEvent::Tick));
        }
        self.now_us = now_us;
        actions
    }

    /// Like `run_to`, but owners that are asked for reports send them 1 ms later.
    pub fn run_with_live_owners(&mut self, now_us: u64) -> Vec<QueryAction> {
        let mut actions = Vec::new();
        while let Some(wake_us) = self
            .coordinator
            .next_wake_us()
            .filter(|wake| *wake <= now_us)
        {
            self.now_us = wake_us.max(self.now_us);
            let next = self.event(QueryEvent::Tick);
            let asked = |it: &QueryAction| matches!(it, QueryAction::AskReports(_));
            if next.iter().any(asked) {
                self.now_us += 1_000;
                actions.extend(self.report_all(&[1]));
            }
            actions.extend(next);
        }
        self.now_us = now_us.max(self.now_us);
        actions
    }

    /// Reports all replicas as idle at `versions`, with a service time of 5 ms.
    pub fn report_all(&mut self, versions: &[u64]) -> Vec<QueryAction> {
        let mut actions = Vec::new();
        for replica in 0..self.services * 2 {
            let start = u64::from(replica / 2) * WIDTH;
            let held = [range(start, start + WIDTH)];
            let served: Vec<_> = versions.iter().map(|it| (*it, &held[..])).collect();
            actions.extend(self.report(replica, report(&served, 0, 5_000)));
        }
        actions
    }

    pub fn report(&mut self, replica: u32, report: ReplicaReport) -> Vec<QueryAction> {
        let replica = ReplicaKey(replica);
        self.event(QueryEvent::Report { replica, report })
    }

    /// Sends a read of every key with a deadline in 200 ms.
    pub fn read(&mut self, id: u64, demand: CoverageDemand) -> Vec<QueryAction> {
        let whole = range(0, u64::from(self.services) * WIDTH);
        self.read_range(id, demand, whole, 200_000)
    }

    pub fn read_range(
        &mut self,
        id: u64,
        demand: CoverageDemand,
        range: KeyRange,
        within_us: u64,
    ) -> Vec<QueryAction> {
        self.event(QueryEvent::Read(ReadQuery {
            class: READ_CLASS,
            deadline_us: self.now_us + within_us,
            demand,
            id: QueryId(id),
            range,
        }))
    }

    /// Returns a write of key 10 with a deadline in 200 ms.
    pub fn write_query(&self, id: u64, first_attempt: bool) -> WriteQuery {
        WriteQuery {
            body: Arc::from("body"),
            class: WRITE_CLASS,
            deadline_us: self.now_us + 200_000,
            first_attempt,
            id: QueryId(id),
            issued_unix_ms: UNIX_MS,
            key: 10,
            received_unix_ms: UNIX_MS,
            request_id: Arc::from("r"),
        }
    }

    pub fn write(&mut self, id: u64, first_attempt: bool) -> Vec<QueryAction> {
        let query = self.write_query(id, first_attempt);
        self.event(QueryEvent::Write(query))
    }

    pub fn reply(&mut self, sub: &SubRequest, outcome: SubOutcome) -> Vec<QueryAction> {
        self.event(QueryEvent::SubReply {
            attempt: sub.attempt,
            outcome,
            report: None,
        })
    }
}
