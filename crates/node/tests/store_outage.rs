//! Reads, writes and the start of a node while the object API is down.

mod common;

use common::Cluster;
use common::Load;
use wigeonhall_node::StatusName;
use wigeonhall_standins::Availability;
use wigeonhall_types::Verdict;

/// Guards against reads that depend on the store, writes that run without a claim (the record in
/// the store that lets a request id run once), wrong verdicts on refused writes, and nodes that
/// fall back to an older configuration.
#[test]
fn reads_continue_and_writes_are_refused() {
    let mut cluster = Cluster::start(1);
    let generation = cluster.configure(&cluster.text, "second", &[]);
    common::wait_until("the second configuration", || {
        let mut addresses = cluster.addresses().into_iter();
        addresses.all(|it| common::status(it).generation == generation)
    });
    let load = Load::start(&cluster.addresses(), 3);
    for mode in [
        Availability::Rejecting,
        Availability::Hanging,
        Availability::Closing,
    ] {
        cluster.store.set_availability(mode);
        load.wait_for_reads(300);
        for (index, address) in cluster.addresses().into_iter().enumerate() {
            let id = format!("down-{mode:?}-{index}");
            let request = common::write_request(&id, 7);
            let first = common::write(address, &request);
            assert_eq!(first.status, StatusName::Refused, "{first:?}");
            assert_eq!(first.verdict, Verdict::NotRun);
            assert!(first.retry_after_ms.is_some());
            let repeat = common::write(address, &common::repeat_of(&request));
            assert_eq!(repeat.status, StatusName::Refused, "{repeat:?}");
            // A repeat cannot rule out that an earlier attempt ran.
            assert_eq!(repeat.verdict, Verdict::MayHaveRun);
            assert_eq!(cluster.executions(&id), 0);
            assert_eq!(common::status(address).generation, generation);
        }
    }
    // The callers are stopped first, because they may still read at the node while it restarts.
    for counts in load.stop() {
        counts.assert_all_whole();
    }
    cluster.stop_node(0);
    cluster.start_node(0);
    common::wait_until("a configuration from other nodes", || {
        common::is_healthy(cluster.address(0))
    });
    assert_eq!(common::status(cluster.address(0)).generation, generation);
    cluster.wait_for_whole_reads();
    cluster.store.set_availability(Availability::Up);
    common::wait_until("writes after the outage", || {
        let id = format!("up-{}", fastrand::u64(..));
        let answer = common::write(cluster.address(1), &common::write_request(&id, 7));
        answer.status == StatusName::Whole && cluster.executions(&id) == 1
    });
    cluster.assert_target_limits();
}

/// Guards against a node that serves callers before it has the newest configuration.
#[test]
fn a_single_node_without_the_store_refuses_callers() {
    let mut cluster = Cluster::start_stand_ins(1);
    cluster.store.set_availability(Availability::Closing);
    cluster.start_node(0);
    let address = cluster.address(0);
    for _ in 0..20 {
        let read = common::read(address).unwrap();
        assert_eq!(read.status, StatusName::Refused);
        assert_eq!(read.verdict, Verdict::NotRun);
        assert_eq!(read.reason.as_deref(), Some("configuration_unknown"));
        assert!(read.retry_after_ms.is_some());
        let write = common::write_request("alone-1", 7);
        assert_eq!(common::write(address, &write).verdict, Verdict::NotRun);
        let repeat = common::repeat_of(&write);
        assert_eq!(common::write(address, &repeat).verdict, Verdict::MayHaveRun);
        assert!(!common::is_healthy(address));
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    assert!(cluster.targets.iter().all(|it| it.counts().requests == 0));
    cluster.store.set_availability(Availability::Up);
    common::wait_until("the configuration", || common::is_healthy(address));
}
