//! A planned stop under load.

mod common;

use common::Load;
use common::World;
use wigeonhall_standins::Availability;
use wigeonhall_types::Verdict;

/// Enough that a stop that frees the addresses late fails in nearly every run.
const RESTARTS: usize = 30;

/// Guards against a stop that cuts requests, at the stopping node or at the others
/// while its replicas change their owner.
#[test]
fn a_planned_stop_cuts_no_request() {
    let mut world = World::start(2);
    let load = Load::start(&world.addresses(), 6);
    load.run(20);
    world.stop_node(0);
    load.run(20);
    world.start_node(0);
    world.wait_whole();
    load.run(20);
    for tally in load.stop() {
        tally.assert_all_whole();
    }
    world.assert_limits();
}

/// Guards against a stop that waits for ever for work that does not end.
#[test]
fn the_settings_bound_a_planned_stop() {
    let mut world = World::stand_ins(1);
    for settings in &mut world.settings {
        settings.timeouts.shutdown_ms = 3_000;
    }
    for index in 0..3 {
        world.start_node(index);
    }
    world.wait_whole();
    for target in &world.targets {
        target.set_hanging(true);
    }
    let address = world.address(0);
    let mut request = common::read_request();
    request.deadline_ms = Some(60_000);
    let open = std::thread::spawn(move || common::post(address, "query", &request));
    common::wait_until("an open request", || {
        world.targets.iter().any(|it| it.counts().running > 0)
    });
    // The caller's own time-out is 10 s, its deadline 60 s: without the bound of the
    // settings it gets no answer.
    world.stop_node(0);
    let answer = open.join().unwrap().unwrap();
    assert_eq!(answer.reason.as_deref(), Some("leaving"), "{answer:?}");
    assert_eq!(answer.verdict, Verdict::MayHaveRun);
}

/// Guards against a stop that returns while the node still holds its addresses, so
/// that a restart on the same addresses fails.
#[test]
fn a_node_restarts_at_once_on_its_addresses() {
    let mut world = World::stand_ins(1);
    // A node without a configuration serves nobody, so a short stop cuts nothing.
    world.store.set_availability(Availability::Closing);
    world.settings[0].timeouts.shutdown_ms = 100;
    for _ in 0..RESTARTS {
        world.start_node(0);
        world.stop_node(0);
    }
}
