//! Guards against data centres where every node reads the store, or where none does. A few nodes
//! (readers) read it and pass its changes on to the others (followers).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use wigeonhall_dispatch::PeerNode;
use wigeonhall_dispatch::Peers;
use wigeonhall_dispatch::ReadingRole;

fn nodes(count: u16) -> Vec<PeerNode> {
    let node = |number| PeerNode {
        address: SocketAddr::from(([10, 0, 0, 1], number)),
        data_centre: "north".into(),
        name: format!("node-{number:02}").into(),
        processor_share: 0.1,
    };
    (0..count).map(node).collect()
}

fn peers(nodes: &[PeerNode], own: usize) -> Peers {
    let mut peers = Peers::new(nodes[own].clone());
    peers.replace(nodes.to_vec());
    peers
}

fn sources(role: ReadingRole) -> Vec<Arc<str>> {
    match role {
        ReadingRole::Follower(sources) => sources.into_iter().map(|(name, _)| name).collect(),
        ReadingRole::Reader => Vec::new(),
    }
}

#[test]
fn one_node_in_twelve_reads_and_the_others_are_spread_over_the_readers() {
    for (count, readers) in [(1, 1), (5, 1), (12, 1), (13, 2), (35, 3)] {
        let nodes = nodes(count);
        let mut followers: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        let mut reading = Vec::new();
        for own in 0..nodes.len() {
            match sources(peers(&nodes, own).reading_role(0, true)).first() {
                Some(first) => *followers.entry(first.clone()).or_default() += 1,
                None => reading.push(nodes[own].name.clone()),
            }
        }
        assert_eq!(reading.len(), readers, "{count} nodes");
        assert!(followers.keys().all(|name| reading.contains(name)));
        assert!(followers.values().all(|count| *count <= 24));
    }
}

/// The store still lists nodes that stopped permanently.
#[test]
fn next_node_reads_if_a_reader_cannot_be_followed() {
    let nodes = nodes(8);
    let first = sources(peers(&nodes, 0).reading_role(0, true));
    let stopped = match first.first() {
        Some(name) => name.clone(),
        None => nodes[0].name.clone(),
    };
    let mut reading = Vec::new();
    for own in (0..nodes.len()).filter(|own| nodes[*own].name != stopped) {
        let mut peers = peers(&nodes, own);
        peers.suspect_reader(0, &stopped);
        let role = peers.reading_role(500_000, true);
        assert!(!sources(role.clone()).contains(&stopped));
        if role == ReadingRole::Reader {
            reading.push(own);
        }
        assert_eq!(
            sources(peers.reading_role(1_500_000, true)),
            std::slice::from_ref(&stopped)
        );
        peers.suspect_reader(1_500_000, &stopped);
        peers.clear_reader_suspicion(&stopped);
        assert_eq!(
            sources(peers.reading_role(1_500_000, true)),
            std::slice::from_ref(&stopped)
        );
    }
    assert_eq!(reading.len(), 1);
}

/// A node that cannot reach any other node must still receive changes.
#[test]
fn node_that_can_follow_no_other_reads_the_store() {
    let nodes = nodes(30);
    let mut peers = peers(&nodes, 3);
    for node in nodes.iter().filter(|node| node.name != nodes[3].name) {
        peers.suspect_reader(0, &node.name);
    }
    assert_eq!(peers.reading_role(1, true), ReadingRole::Reader);
}

/// A reader that the store refuses follows the next node, which the other nodes then follow
/// too.
#[test]
fn node_that_cannot_read_follows_the_next_reader() {
    let nodes = nodes(8);
    let reads = |own: &usize| peers(&nodes, *own).reading_role(0, true) == ReadingRole::Reader;
    let reader = (0..nodes.len()).find(reads).unwrap();
    let next = sources(peers(&nodes, reader).reading_role(0, false));
    assert_eq!(next.len(), 1);
    assert_ne!(next[0], nodes[reader].name);
    let mut other = peers(&nodes, (reader + 1) % nodes.len());
    other.suspect_reader(0, &nodes[reader].name);
    if next[0] != other.own().name {
        assert_eq!(sources(other.reading_role(1, true)), next);
    }
}
