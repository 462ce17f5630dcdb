//! Guards against gathers that one small node works on alone, that lose a shard between
//! nodes, or that keep going to a node that does not answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

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
    let near = (1..count).map(|number| node(number, "north", processor_share));
    let far = (50..60).map(|number| node(number, "south", processor_share));
    peers.replace(near.chain(far).collect());
    peers
}

fn legs(plan: &[RelayGroup]) -> Vec<usize> {
    let mut legs: Vec<usize> = plan.iter().flat_map(|group| group.legs.clone()).collect();
    legs.sort_unstable();
    legs
}

#[test]
fn every_leg_is_in_one_group_and_no_group_leaves_the_data_centre() {
    let plan = peers(30, 0.084).plan(0, 90, 120).unwrap();
    assert_eq!(legs(&plan), (0..90).collect::<Vec<usize>>());
    assert!(plan.len() > 3);
    for group in plan {
        let Some((name, _)) = group.peer else {
            continue;
        };
        assert!(*name < *"node-30", "{name}");
    }
}

/// While 135 shards started, every node of three hundred opened a connection to each of
/// them: two thirds were never used, and replicas turned down those over their cap.
#[test]
fn each_leg_belongs_to_one_small_node_of_a_data_centre() {
    let all: Vec<PeerNode> = (0..30).map(|number| node(number, "north", 0.1)).collect();
    let own_legs = |own: &PeerNode| {
        let mut peers = Peers::new(own.clone());
        peers.replace(all.clone());
        peers.own_legs(0, 180, 80)
    };
    let mut legs: Vec<usize> = all.iter().flat_map(own_legs).collect();
    legs.sort_unstable();
    assert_eq!(legs, (0..180).collect::<Vec<usize>>());
    assert_eq!(peers(30, 0.5).own_legs(0, 20, 120).len(), 20);
}

/// Of hundreds of nodes one or two of a data centre send a leg; a cold replica that was
/// shared by all of them got a request from each once a minute.
#[test]
fn few_nodes_send_one_leg_of_a_shared_gather() {
    let small = peers(30, 0.084);
    // Three of the small nodes in each of two data centres.
    assert_eq!(small.senders(90, 120), 6);
    // A node that works alone sends every leg.
    let mut mixed = Peers::new(node(0, "north", 0.084));
    let nodes = (0..30).map(|number| node(number, "north", if number < 4 { 0.5 } else { 0.084 }));
    mixed.replace(nodes.collect());
    assert_eq!(mixed.senders(90, 120), 7);
    // Too few nodes to share: each sends every leg.
    assert_eq!(peers(1, 0.084).senders(90, 120), 4);
}

#[test]
fn a_node_with_time_enough_works_alone() {
    assert_eq!(peers(30, 0.5).plan(0, 90, 120), None);
    assert_eq!(peers(15, 0.17).plan(0, 20, 120), None);
    assert_eq!(peers(3, 0.084).plan(0, 90, 120), None);
}

/// All nodes must agree, so that connections and what is known of replicas gather.
#[test]
fn nodes_agree_on_who_handles_a_group() {
    let address = |plan: Vec<RelayGroup>| -> BTreeMap<usize, Option<Arc<str>>> {
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
        address(peers.plan(0, 90, 120).unwrap())
    };
    let (first, second) = (plan_of(3), plan_of(4));
    for (leg, name) in first {
        let own_or_same = name.is_none() || second[&leg].is_none() || name == second[&leg];
        assert!(own_or_same, "leg {leg}");
    }
}

#[test]
fn a_peer_that_does_not_answer_is_left_out_and_asked_again_later() {
    let mut peers = peers(30, 0.084);
    let plan = peers.plan(0, 90, 120).unwrap();
    let name = plan.iter().find_map(|group| group.peer.clone()).unwrap().0;
    let asked = |peers: &Peers, now_us| {
        let plan = peers.plan(now_us, 90, 120).unwrap();
        assert_eq!(legs(&plan).len(), 90);
        plan.iter()
            .any(|group| group.peer.as_ref().is_some_and(|peer| peer.0 == name))
    };
    assert!(asked(&peers, 0));
    peers.suspect(0, &name);
    assert!(!asked(&peers, 500_000));
    assert!(asked(&peers, 2_000_000));
    peers.suspect(2_000_000, &name);
    assert!(!asked(&peers, 3_500_000));
    peers.answered(&name);
    assert!(asked(&peers, 3_500_000));
}

/// Nodes with more of a core take more of the legs.
#[test]
fn larger_nodes_take_more_legs() {
    let mut total = [0, 0];
    for seed in 0..40_u16 {
        let base = seed * 20 + 100;
        let mut nodes: Vec<PeerNode> = (0..10)
            .map(|number| node(base + number, "north", 0.1))
            .collect();
        nodes.push(node(base + 10, "north", 0.5));
        let mut peers = Peers::new(nodes[0].clone());
        peers.replace(nodes.clone());
        for group in peers.plan(0, 90, 120).unwrap() {
            let large = group.peer.is_some_and(|peer| peer.0 == nodes[10].name);
            total[usize::from(large)] += group.legs.len();
        }
    }
    let share = f64::from(total[1] as u32) / f64::from((total[0] + total[1]) as u32);
    assert!((0.23..0.43).contains(&share), "{share}");
}
