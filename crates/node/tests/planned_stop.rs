//! A planned stop under load.

mod common;

use common::Cluster;
use common::Load;
use wigeonhall_standins::Availability;
use wigeonhall_types::Verdict;

/// Number of restarts, enough for a late release of the addresses to fail at least one of them.
const RESTARTS: usize = 30;

/// Guards against requests that fail during a stop, at the stopping node or at the other nodes
/// while its replicas change their owner.
#[test]
fn a_planned_stop_completes_open_requests() {
    // Two nodes in each data centre, 6 callers.
    let mut cluster = Cluster::start(2);
    let load = Load::start(&cluster.addresses(), 6);
    load.wait_for_reads(20);
    cluster.stop_node(0);
    load.wait_for_reads(20);
    cluster.start_node(0);
    cluster.wait_for_whole_reads();
    load.wait_for_reads(20);
    for counts in load.stop() {
        counts.assert_all_whole();
    }
    cluster.assert_target_limits();
}

/// Guards against a stop that never ends because a request does not end.
#[test]
fn shutdown_ms_limits_a_planned_stop() {
    let mut cluster = Cluster::start_stand_ins(1);
    for settings in &mut cluster.settings {
        settings.timeouts.shutdown_ms = 3_000;
    }
    // One node in each of the three data centres.
    for index in 0..3 {
        cluster.start_node(index);
    }
    cluster.wait_for_whole_reads();
    for target in &cluster.targets {
        target.set_hanging(true);
    }
    let address = cluster.address(0);
    let mut request = common::read_request();
    request.deadline_ms = Some(60_000);
    let open = std::thread::spawn(move || common::post(address, "query", &request));
    common::wait_until("an open request", || {
        cluster.targets.iter().any(|it| it.counts().running > 0)
    });
    // The call times out after 10 s, and its deadline is 60 s. It gets an answer only because
    // `shutdown_ms` limits the stop.
    cluster.stop_node(0);
    let answer = open.join().unwrap().unwrap();
    assert_eq!(answer.reason.as_deref(), Some("leaving"), "{answer:?}");
    assert_eq!(answer.verdict, Verdict::MayHaveRun);
}

/// Guards against a stop that returns while the node still listens on its addresses, so that a
/// restart on these addresses fails.
#[test]
fn a_node_restarts_at_once_on_its_addresses() {
    let mut cluster = Cluster::start_stand_ins(1);
    // A node without a configuration has no open requests, so a short stop aborts none.
    cluster.store.set_availability(Availability::Closing);
    cluster.settings[0].timeouts.shutdown_ms = 100;
    for _ in 0..RESTARTS {
        cluster.start_node(0);
        cluster.stop_node(0);
    }
}
