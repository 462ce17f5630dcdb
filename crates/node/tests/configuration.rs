//! Configuration changes and evacuations.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use common::Load;
use common::World;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_standins::Availability;

/// Time after which a data centre that was taken out gets no new work.
const OUT_AFTER: Duration = Duration::from_secs(3);

/// Waits for work at all targets in `south`, and checks that no read failed.
fn expect_work_again(world: &World, load: Load, before: &BTreeMap<String, u64>) {
    common::wait_until("work in the data centre", || {
        let now = requests(world, "south");
        now.iter().all(|(name, count)| count > &before[name])
    });
    for tally in load.stop() {
        tally.assert_all_whole();
    }
    world.assert_limits();
}

fn requests(world: &World, data_centre: &str) -> BTreeMap<String, u64> {
    let line = |name: &str| {
        let mut lines = world.text.lines();
        let found = lines.find(|it| it.trim_start().starts_with(&format!("{name}: ")));
        found.is_some_and(|it| it.contains(&format!(": {data_centre} ")))
    };
    let there = world.targets.iter().filter(|it| line(&it.name()));
    there
        .map(|it| (it.name().to_string(), it.counts().requests))
        .collect()
}

fn everywhere(world: &World, generation: u64) -> bool {
    let mut addresses = world.addresses().into_iter();
    addresses.all(|it| common::status(it).generation == generation)
}

fn evacuate(address: SocketAddr, data_centre: Option<&str>, vm: Option<&str>) -> u16 {
    let evacuation = EvacuationOverride {
        author: "test".into(),
        change_id: "evacuation-1".into(),
        data_centre: data_centre.map(Into::into),
        vm: vm.map(Into::into),
    };
    let response = attohttpc::post(format!("http://{address}/evacuate"))
        .json(&evacuation)
        .unwrap()
        .send();
    response.unwrap().status().as_u16()
}

/// Guards against a change that some node misses, new work in a data centre 3 s
/// after it was taken out, and reads that are cut while it leaves or returns.
#[test]
fn a_data_centre_leaves_and_returns() {
    let world = World::start(2);
    let load = Load::start(&world.addresses(), 6);
    load.run(50);
    let out = common::with_data_centre_out(&world.text, "south");
    let generation = world.configure(&out, "out", &[]);
    thread::sleep(OUT_AFTER);
    let before = requests(&world, "south");
    common::wait_until("the change", || everywhere(&world, generation));
    load.run(200);
    assert_eq!(requests(&world, "south"), before);
    assert!(before.len() >= 2);
    let generation = world.configure(&world.text, "in", &[]);
    common::wait_until("the change", || everywhere(&world, generation));
    expect_work_again(&world, load, &before);
}

/// Guards against an evacuation that some node misses, that gives work back on its
/// own, or that lasts longer than until the configuration contains it.
#[test]
fn an_evacuation_without_the_store_reaches_all_nodes() {
    let world = World::start(2);
    let load = Load::start(&world.addresses(), 6);
    load.run(50);
    world.store.set_availability(Availability::Closing);
    assert_eq!(evacuate(world.address(0), Some("south"), None), 204);
    let in_force = |count: usize| {
        let mut addresses = world.addresses().into_iter();
        addresses.all(|it| common::status(it).overrides.len() == count)
    };
    common::wait_until("the evacuation", || in_force(1));
    thread::sleep(OUT_AFTER);
    let before = requests(&world, "south");
    load.run(200);
    assert_eq!(requests(&world, "south"), before);
    world.store.set_availability(Availability::Up);
    load.run(200);
    assert_eq!(requests(&world, "south"), before);
    let generation = world.configure(&world.text, "in", &["evacuation-1"]);
    common::wait_until("the change", || everywhere(&world, generation));
    common::wait_until("the end of the evacuation", || in_force(0));
    expect_work_again(&world, load, &before);
}

/// Guards against a mistyped name that is accepted and evacuates nothing.
#[test]
fn an_evacuation_of_an_unknown_name_is_rejected() {
    let world = World::start(1);
    let address = world.address(0);
    assert_eq!(evacuate(address, Some("sout"), None), 404);
    assert_eq!(evacuate(address, None, Some("south-9")), 404);
    assert_eq!(evacuate(address, None, None), 400);
    assert_eq!(evacuate(address, Some("south"), Some("south-1")), 400);
    assert!(common::status(address).overrides.is_empty());
    assert_eq!(evacuate(address, None, Some("south-1")), 204);
    common::wait_until("the evacuation", || {
        let mut addresses = world.addresses().into_iter();
        addresses.all(|it| common::status(it).overrides.len() == 1)
    });
}
