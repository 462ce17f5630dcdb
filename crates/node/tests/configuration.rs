//! Configuration changes and evacuations.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use common::Cluster;
use common::Load;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_standins::Availability;

/// Time within which a data centre that goes out of service must stop getting new requests.
const EVACUATION_TIME: Duration = Duration::from_secs(3);

/// Waits until all targets in `south` get more requests than `before`, and asserts that no read
/// failed.
fn assert_requests_resume(cluster: &Cluster, load: Load, before: &BTreeMap<String, u64>) {
    common::wait_until("requests in the data centre", || {
        let now = request_counts(cluster, "south");
        now.iter().all(|(name, count)| count > &before[name])
    });
    for counts in load.stop() {
        counts.assert_all_whole();
    }
    cluster.assert_target_limits();
}

/// Returns the number of requests that each target of a data centre got.
fn request_counts(cluster: &Cluster, data_centre: &str) -> BTreeMap<String, u64> {
    let is_in_data_centre = |name: &str| {
        let mut lines = cluster.text.lines();
        let found = lines.find(|it| it.trim_start().starts_with(&format!("{name}: ")));
        found.is_some_and(|it| it.contains(&format!(": {data_centre} ")))
    };
    let targets = cluster
        .targets
        .iter()
        .filter(|it| is_in_data_centre(&it.name()));
    targets
        .map(|it| (it.name().to_string(), it.counts().requests))
        .collect()
}

/// Returns whether all nodes use this generation.
fn all_nodes_use(cluster: &Cluster, generation: u64) -> bool {
    let mut addresses = cluster.addresses().into_iter();
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

/// Guards against a change that some node misses, new requests in a data centre 3 s after it
/// went out of service, and reads that fail while it goes out of service or returns.
#[test]
fn a_data_centre_goes_out_of_service_and_returns() {
    let cluster = Cluster::start(2);
    let load = Load::start(&cluster.addresses(), 6);
    load.wait_for_reads(50);
    let text_without_south = common::with_data_centre_out(&cluster.text, "south");
    // The change has the id `out` and ends no evacuation.
    let generation = cluster.configure(&text_without_south, "out", &[]);
    thread::sleep(EVACUATION_TIME);
    let before = request_counts(&cluster, "south");
    common::wait_until("the change", || all_nodes_use(&cluster, generation));
    load.wait_for_reads(200);
    assert_eq!(request_counts(&cluster, "south"), before);
    assert!(before.len() >= 2);
    let generation = cluster.configure(&cluster.text, "in", &[]);
    common::wait_until("the change", || all_nodes_use(&cluster, generation));
    assert_requests_resume(&cluster, load, &before);
}

/// Guards against an evacuation override, which a node receives without the store, that some node
/// misses, that ends without a configuration change, or that outlasts a configuration that lists
/// its change id.
#[test]
fn an_evacuation_without_the_store_reaches_all_nodes() {
    let cluster = Cluster::start(2);
    let load = Load::start(&cluster.addresses(), 6);
    load.wait_for_reads(50);
    cluster.store.set_availability(Availability::Closing);
    assert_eq!(evacuate(cluster.address(0), Some("south"), None), 204);
    let in_force = |count: usize| {
        let mut addresses = cluster.addresses().into_iter();
        addresses.all(|it| common::status(it).overrides.len() == count)
    };
    common::wait_until("the evacuation", || in_force(1));
    thread::sleep(EVACUATION_TIME);
    let before = request_counts(&cluster, "south");
    load.wait_for_reads(200);
    assert_eq!(request_counts(&cluster, "south"), before);
    cluster.store.set_availability(Availability::Up);
    load.wait_for_reads(200);
    assert_eq!(request_counts(&cluster, "south"), before);
    let generation = cluster.configure(&cluster.text, "in", &["evacuation-1"]);
    common::wait_until("the change", || all_nodes_use(&cluster, generation));
    common::wait_until("the end of the evacuation", || in_force(0));
    assert_requests_resume(&cluster, load, &before);
}

/// Guards against an evacuation of a mistyped name that is accepted and has no effect.
#[test]
fn an_evacuation_of_an_unknown_name_is_rejected() {
    let cluster = Cluster::start(1);
    let address = cluster.address(0);
    assert_eq!(evacuate(address, Some("sout"), None), 404);
    assert_eq!(evacuate(address, None, Some("south-9")), 404);
    assert_eq!(evacuate(address, None, None), 400);
    assert_eq!(evacuate(address, Some("south"), Some("south-1")), 400);
    assert!(common::status(address).overrides.is_empty());
    assert_eq!(evacuate(address, None, Some("south-1")), 204);
    common::wait_until("the evacuation", || {
        let mut addresses = cluster.addresses().into_iter();
        addresses.all(|it| common::status(it).overrides.len() == 1)
    });
}
