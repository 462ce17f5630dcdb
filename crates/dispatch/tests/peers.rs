//! Guards against gathers that one small node sends alone, gathers that lose a shard between
//! nodes, and legs (requests to one shard each) that are assigned to a node that does not respond.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use wigeonhall_dispatch::GatherSize;
use wigeonhall_dispatch::PeerNode;
use wigeonhall_dispatch::Peers;
use wigeonhall_dispatch::RelayGroup;

fn node(number: u16, data_centre: &str, processor_share: f64) -> PeerNode {
    PeerNode {
        address: SocketAddr::from(([10, 0, 0, 1], number)),
        data_centre: data_centre.into(),
        name: format!("node-{number:02}").into(),
        processor_share,
    }
}

fn peers(count: u16, processor_share: f64) -> Peers {
    let mut peers = Peers::new(node(0, "north", processor_share));
    let in_data_centre = (1..count).map(|number| node(number, "north", processor_share));
    let far = (50..60).map(|number| node(number, "south", processor_share));
    peers.replace(in_data_centre.chain(far).collect());
    peers
}

fn gather(legs: usize, target_latency_ms: u64) -> GatherSize {
    GatherSize {
        legs,
        single_slots: false,
        target_latency_ms,
    }
}

fn legs(plan: &[RelayGroup]) -> Vec<usize> {
    let mut legs: Vec<usize> = plan.iter().flat_map(|group| group.legs.clone()).collect();
    legs.sort_unstable();
    legs
}

#[test]
fn every_leg_is_in_one_group_within_the_data_centre() {
    let plan = peers(30, 0.084).plan(0, gather(90, 120)).unwrap();
    assert_eq!(legs(&plan), (0..90).collect::<Vec<usize>>());
    assert!(plan.len() > 3);
    for group in plan {
        let Some((name, _)) = group.peer else {
            continue;
        };
        assert!(*name < *"node-30", "{name}");
    }
}

/// Guards against connections that are never used: if each of 300 nodes opens one to each of
/// 135 starting shards, two thirds are never used, and replicas refuse those above their limit.
#[test]
fn each_leg_is_assigned_to_one_small_node_of_a_data_centre() {
    let all: Vec<PeerNode> = (0..30).map(|number| node(number, "north", 0.1)).collect();
    let own_legs = |own: &PeerNode| {
        let mut peers = Peers::new(own.clone());
        peers.replace(all.clone());
        peers.own_legs(0, gather(180, 80))
    };
    let mut legs: Vec<usize> = all.iter().flat_map(own_legs).collect();
    legs.sort_unstable();
    assert_eq!(legs, (0..180).collect::<Vec<usize>>());
    assert_eq!(peers(30, 0.5).own_legs(0, gather(20, 120)).len(), 20);
}

/// Of hundreds of nodes, only one or two of a data centre send a given leg. If the rate of a
/// cold replica is divided among all nodes, each may send it only one request per minute.
#[test]
fn few_nodes_send_one_leg_of_a_shared_gather() {
    let small = peers(30, 0.084);
    // Three of the small nodes in each of two data centres, for 90 legs and a target latency of
    // 120 ms.
    assert_eq!(small.senders(gather(90, 120)), 6);
    // A node that works alone sends every leg.
    let mut mixed = Peers::new(node(0, "north", 0.084));
    let nodes = (0..30).map(|number| node(number, "north", if number < 4 { 0.5 } else { 0.084 }));
    mixed.replace(nodes.collect());
    assert_eq!(mixed.senders(gather(90, 120)), 7);
    // Too few nodes to share: each sends every leg.
    assert_eq!(peers(1, 0.084).senders(gather(90, 120)), 4);
}

#[test]
fn node_with_enough_processor_time_sends_all_legs() {
    // Half a core sends 90 legs within a sixth of the target latency of 120 ms.
    assert_eq!(peers(30, 0.5).plan(0, gather(90, 120)), None);
    assert_eq!(peers(15, 0.17).plan(0, gather(20, 120)), None);
    // Three small nodes are too few to share.
    assert_eq!(peers(3, 0.084).plan(0, gather(90, 120)), None);
}

/// Two nodes that send to a replica with one slot, without knowing of each other, wait for one
/// another; one node that sends a shard's legs for its data centre chooses another replica.
#[test]
fn one_node_of_a_data_centre_sends_a_leg_to_replicas_with_one_slot() {
    let single = GatherSize {
        single_slots: true,
        ..gather(20, 120)
    };
    let plan = peers(15, 0.5).plan(0, single).unwrap();
    assert_eq!(legs(&plan), (0..20).collect::<Vec<usize>>());
    assert!(plan.len() > 1);
    // Three nodes in each of two data centres.
    assert_eq!(peers(15, 0.5).senders(single), 6);
}

/// All nodes must assign a leg to the same node, which then has the connections and
/// statistics of its replicas.
#[test]
fn nodes_agree_on_the_assignment_of_legs() {
    let node_of_each_leg = |plan: Vec<RelayGroup>| -> BTreeMap<usize, Option<Arc<str>>> {
        let pairs = plan.into_iter().flat_map(|group| {
            let name = group.peer.map(|(name, _)| name);
            group.legs.into_iter().map(move |leg| (leg, name.clone()))
        });
        pairs.collect()
    };
    let nodes: Vec<PeerNode> = (0..30).map(|number| node(number, "north", 0.084)).collect();
    let plan_of = |own: usize| {
        let mut peers = Peers::new(nodes[own].clone());
        peers.replace(nodes.clone());
        node_of_each_leg(peers.plan(0, gather(90, 120)).unwrap())
    };
    let (first, second) = (plan_of(3), plan_of(4));
    for (leg, name) in first {
        let own_or_same = name.is_none() || second[&leg].is_none() || name == second[&leg];
        assert!(own_or_same, "leg {leg}");
    }
}

#[test]
fn unresponsive_peer_is_excluded_until_its_backoff_passes() {
    let mut peers = peers(30, 0.084);
    let plan = peers.plan(0, gather(90, 120)).unwrap();
    let name = plan.iter().find_map(|group| group.peer.clone()).unwrap().0;
    let is_assigned = |peers: &Peers, now_us| {
        let plan = peers.plan(now_us, gather(90, 120)).unwrap();
        assert_eq!(legs(&plan).len(), 90);
        plan.iter()
            .any(|group| group.peer.as_ref().is_some_and(|peer| peer.0 == name))
    };
    assert!(is_assigned(&peers, 0));
    peers.suspect_peer(0, &name);
    assert!(!is_assigned(&peers, 500_000));
    assert!(is_assigned(&peers, 2_000_000));
    peers.suspect_peer(2_000_000, &name);
    assert!(!is_assigned(&peers, 3_500_000));
    peers.clear_peer_suspicion(&name);
    assert!(is_assigned(&peers, 3_500_000));
}

#[test]
fn larger_nodes_are_assigned_more_legs() {
    let mut total = [0, 0];
    for seed in 0..40_u16 {
        let base = seed * 20 + 100;
        let mut nodes: Vec<PeerNode> = (0..10)
            .map(|number| node(base + number, "north", 0.1))
            .collect();
        nodes.push(node(base + 10, "north", 0.5));
        let mut peers = Peers::new(nodes[0].clone());
        peers.replace(nodes.clone());
        for group in peers.plan(0, gather(90, 120)).unwrap() {
            let large = group.peer.is_some_and(|peer| peer.0 == nodes[10].name);
            total[usize::from(large)] += group.legs.len();
        }
    }
    let share = f64::from(total[1] as u32) / f64::from((total[0] + total[1]) as u32);
    assert!((0.23..0.43).contains(&share), "{share}");
}
