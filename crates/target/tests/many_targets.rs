//! All stand-in targets of a deployment in one process.

mod common;

use std::sync::mpsc;

use tokio::runtime::Builder;

use common::LONG_TIMEOUT_US;
use common::read;
use common::wait_until;
use wigeonhall_standins::Target;
use wigeonhall_standins::TargetSettings;
use wigeonhall_standins::rows_in_range;
use wigeonhall_target::TargetPool;
use wigeonhall_types::ClassKind;
use wigeonhall_types::ColdBound;
use wigeonhall_types::Deployment;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::QueryClass;
use wigeonhall_types::Replica;
use wigeonhall_types::ServiceLevel;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;

const REPLICAS_PER_SERVICE: u32 = 3;
const SERVICES: u32 = 20;

fn deployment(catalog: &mut NameCatalog) -> Deployment {
    let mut deployment = Deployment::default();
    let mut services = Vec::new();
    for service in 0..SERVICES {
        let key = catalog.service(&format!("shard-{service:02}"));
        services.push(key);
        for replica in 0..REPLICAS_PER_SERVICE {
            let replica = catalog.replica(&format!("shard-{service:02}-{replica}"));
            let settings = Replica {
                address: ([127, 0, 0, 1], 0).into(),
                cold: ColdBound {
                    requests_per_s: 1_000,
                    slots: 1,
                },
                connect_us: 6_000,
                connections: 3,
                data_centre: catalog.data_centre("greenwood"),
                out: false,
                service: key,
                slots: 2,
            };
            deployment.replicas.insert(replica, settings);
        }
    }
    let class = QueryClass {
        deadline_ms: 1_000,
        depends_on: services,
        kind: ClassKind::Read,
        level: ServiceLevel {
            latency_ms: 500,
            objective_ppm: 999_000,
        },
        slot_share_percent: 100,
        weight: 1,
    };
    deployment.classes.insert(catalog.class("class"), class);
    deployment
}

/// Guards against targets that cannot all run in one process, and against key ranges of a
/// deployment that overlap or leave a gap.
#[test]
fn targets_of_a_deployment_cover_the_key_space() {
    let mut catalog = NameCatalog::default();
    let deployment = deployment(&mut catalog);
    let targets = Target::start_all(TargetSettings::of_deployment(&deployment, &catalog)).unwrap();
    // 20 services with 3 replicas each, and 3 connections to each replica.
    assert_eq!(targets.len(), 60);
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let pool = TargetPool::new(runtime.handle().clone());
    for target in &targets {
        let replica = catalog.find_replica(&target.name()).unwrap();
        pool.open(replica, target.address(), 3);
    }
    wait_until(|| pool.counters().open == 180);
    let (sender, receiver) = mpsc::channel();
    for (&replica, sequence) in deployment.replicas.keys().zip(1..) {
        let sender = sender.clone();
        let sub = SubRequest {
            replica,
            ..read(sequence, KeyRange::WHOLE.start, KeyRange::WHOLE.end)
        };
        pool.send(&sub, "class", LONG_TIMEOUT_US, move |reply| {
            sender.send(reply.outcome).unwrap();
        });
    }
    drop(sender);
    let mut rows = Vec::new();
    for outcome in receiver {
        let TargetOutcome::Answered {
            rows: answered_rows,
            ..
        } = outcome
        else {
            panic!("{outcome:?}");
        };
        rows.extend(answered_rows);
    }
    rows.sort();
    // The default row spacing is 1 << 24.
    let expected = rows_in_range(KeyRange::WHOLE, IndexVersion(1), 1 << 24);
    let expected_of_all_replicas = expected
        .iter()
        .flat_map(|row| vec![row.clone(); REPLICAS_PER_SERVICE as usize])
        .collect::<Vec<_>>();
    assert_eq!(rows, expected_of_all_replicas);
    for target in &targets {
        let counts = target.counts();
        assert_eq!(counts.connections_over_limit, 0);
        assert_eq!(counts.cold_violations, 0);
    }
}
