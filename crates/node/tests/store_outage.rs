//! The object API is down.

mod common;

use common::Load;
use common::World;
use wigeonhall_node::StatusName;
use wigeonhall_standins::Availability;
use wigeonhall_types::Verdict;

/// Guards against reads that need the store, writes that run without a claim,
/// false verdicts of refused writes, and a configuration that reverts.
#[test]
fn reads_go_on_and_writes_are_refused() {
    let mut world = World::start(1);
    let generation = world.configure(&world.text, "second", &[]);
    common::wait_until("the second configuration", || {
        let mut addresses = world.addresses().into_iter();
        addresses.all(|it| common::status(it).generation == generation)
    });
    let load = Load::start(&world.addresses(), 3);
    for mode in [
        Availability::Rejecting,
        Availability::Hanging,
        Availability::Closing,
    ] {
        world.store.set_availability(mode);
        load.run(300);
        for (index, address) in world.addresses().into_iter().enumerate() {
            let id = format!("down-{mode:?}-{index}");
            let request = common::write_request(&id, 7);
            let first = common::write(address, &request);
            assert_eq!(first.status, StatusName::Refused, "{first:?}");
            assert_eq!(first.verdict, Verdict::NotRun);
            assert!(first.retry_after_ms.is_some());
            let repeat = common::write(address, &common::repeat_of(&request));
            assert_eq!(repeat.status, StatusName::Refused, "{repeat:?}");
            assert_eq!(repeat.verdict, Verdict::MayHaveRun);
            assert_eq!(world.executions(&id), 0);
            assert_eq!(common::status(address).generation, generation);
        }
    }
    // Nothing keeps load off this node while it restarts, so its callers stop first.
    for tally in load.stop() {
        tally.assert_all_whole();
    }
    world.stop_node(0);
    world.start_node(0);
    common::wait_until("a node that learns from peers", || {
        common::is_healthy(world.address(0))
    });
    assert_eq!(common::status(world.address(0)).generation, generation);
    world.wait_whole();
    world.store.set_availability(Availability::Up);
    common::wait_until("writes after the outage", || {
        let id = format!("up-{}", fastrand::u64(..));
        let answer = common::write(world.address(1), &common::write_request(&id, 7));
        answer.status == StatusName::Whole && world.executions(&id) == 1
    });
    world.assert_limits();
}

/// Guards against a node that serves without knowing the newest configuration.
#[test]
fn a_node_alone_without_the_store_refuses() {
    let mut world = World::stand_ins(1);
    world.store.set_availability(Availability::Closing);
    world.start_node(0);
    let address = world.address(0);
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
    assert!(world.targets.iter().all(|it| it.counts().requests == 0));
    world.store.set_availability(Availability::Up);
    common::wait_until("the configuration", || common::is_healthy(address));
}
