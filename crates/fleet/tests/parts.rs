//! Tests how a node fetches the parts of a configuration text.
//!
//! The manifest of a generation (version of the configuration) lists the hashes of its parts.
//!
//! `Simulation::new` takes the data centres with their regions, the number of nodes, the replicas
//! of each data centre and the seed; `settled(nodes, seed)` also starts the nodes, in 3 data
//! centres. `apply(text, ids)` stores a configuration that ends the overrides `ids`.

mod common;

use std::sync::Arc;

use common::MS;
use common::SECOND;
use common::Simulation;
use wigeonhall_fleet::ConfigManifest;
use wigeonhall_fleet::Fleet;
use wigeonhall_fleet::FleetAction;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::FleetSettings;
use wigeonhall_fleet::GossipMessage;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::PullItem;
use wigeonhall_types::NameCatalog;

struct Member {
    catalog: NameCatalog,
    fleet: Fleet,
    now: u64,
}

/// Actions of a member in one call that concern the configuration.
#[derive(Debug, Default, PartialEq)]
struct Observed {
    /// Generation and text.
    adopted: Vec<(u64, String)>,
    /// Peer and the parts requested from it.
    requested: Vec<(String, Vec<PartHash>)>,
    /// Parts read from the store.
    read: Vec<PartHash>,
    /// Parts in each message to a peer.
    sent: Vec<Vec<Arc<str>>>,
}

impl Member {
    fn new() -> Self {
        let mut catalog = NameCatalog::default();
        let config = FleetSettings {
            boot: 1,
            data_centre: catalog.data_centre("dc-a"),
            node: catalog.node("vm-a"),
            region: "south".into(),
            seeds: Vec::new(),
        };
        let fleet = Fleet::new(config, 1);
        let now = 100 * SECOND;
        Self {
            catalog,
            fleet,
            now,
        }
    }

    fn handle(&mut self, event: FleetEvent) -> Observed {
        let mut actions = Vec::new();
        self.fleet
            .handle(self.now, event, &mut self.catalog, &mut actions);
        let mut observed = Observed::default();
        for action in actions {
            match action {
                FleetAction::AdoptConfig(record) => {
                    observed.adopted.push((record.generation, record.text()));
                }
                FleetAction::ReadPart(hash) => observed.read.push(hash),
                FleetAction::Send { message, to } => match message {
                    GossipMessage::Pull(PullItem::Parts(hashes)) => {
                        let name = self.catalog.node_name(to).to_string();
                        observed.requested.push((name, hashes));
                    }
                    GossipMessage::Parts(parts) => observed.sent.push(parts),
                    _ => {}
                },
                _ => {}
            }
        }
        observed
    }

    fn gossip(&mut self, from: &str, message: GossipMessage) -> Observed {
        let from = self.catalog.node(from);
        self.handle(FleetEvent::Gossip { from, message })
    }

    fn receive_manifest(&mut self, from: &str, generation: u64, parts: &[Arc<str>]) -> Observed {
        self.gossip(from, GossipMessage::Config(manifest(generation, parts)))
    }

    fn receive_parts(&mut self, from: &str, parts: &[Arc<str>]) -> Observed {
        self.gossip(from, GossipMessage::Parts(parts.to_vec()))
    }

    fn advance(&mut self, time: u64) -> Observed {
        self.now += time;
        self.handle(FleetEvent::Tick)
    }
}

fn manifest(generation: u64, parts: &[Arc<str>]) -> ConfigManifest {
    ConfigManifest {
        author: "operator".into(),
        change_id: "change".into(),
        contains: Vec::new(),
        generation,
        parts: hashes(parts),
    }
}

fn hashes(parts: &[Arc<str>]) -> Vec<PartHash> {
    parts.iter().map(|it| PartHash::of(it)).collect()
}

fn texts(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|&it| it.into()).collect()
}

/// Guards against adopting a generation without one of its parts or with a part that does
/// not match its hash, and against fetching a part that is already available.
#[test]
fn a_generation_needs_exactly_its_parts() {
    let mut member = Member::new();
    let old = texts(&["a\n", "b\n"]);
    let observed = member.receive_manifest("vm-b", 1, &old);
    assert_eq!(observed.requested.len(), 1);
    assert_eq!(member.receive_parts("vm-b", &old[..1]).adopted, []);
    assert_eq!(
        member
            .receive_parts("vm-b", &texts(&["x\n", "a\n"]))
            .adopted,
        []
    );
    let hash = PartHash::of("b\n");
    let wrong = FleetEvent::PartRead(hash, Some("x\n".into()));
    assert_eq!(member.handle(wrong).adopted, []);
    let observed = member.receive_parts("vm-c", &old[1..]);
    assert_eq!(observed.adopted, [(1, "a\nb\n".into())]);
    let new = texts(&["a\n", "c\n", "a\n"]);
    let observed = member.receive_manifest("vm-b", 2, &new);
    assert_eq!(observed.requested, [("vm-b".into(), hashes(&new[1..2]))]);
    let observed = member.receive_parts("vm-b", &new[1..2]);
    assert_eq!(observed.adopted, [(2, "a\nc\na\n".into())]);
}

/// Guards against waiting for a part that no node has any more, and against an older
/// generation that comes into force after a newer one.
#[test]
fn a_newer_manifest_replaces_an_incomplete_one() {
    let mut member = Member::new();
    member.receive_manifest("vm-b", 1, &texts(&["a\n", "b\n"]));
    member.receive_parts("vm-b", &texts(&["a\n"]));
    let observed = member.receive_manifest("vm-c", 2, &texts(&["a\n", "c\n"]));
    assert_eq!(
        observed.requested,
        [("vm-c".into(), vec![PartHash::of("c\n")])]
    );
    assert_eq!(member.receive_parts("vm-b", &texts(&["b\n"])).adopted, []);
    assert_eq!(
        member
            .receive_manifest("vm-b", 1, &texts(&["a\n", "b\n"]))
            .adopted,
        []
    );
    let observed = member.receive_parts("vm-c", &texts(&["c\n"]));
    assert_eq!(observed.adopted, [(2, "a\nc\n".into())]);
    let late_reply = member.receive_parts("vm-b", &texts(&["b\n"]));
    assert_eq!(late_reply, Observed::default());
}

/// Guards against a request that is lost, or that reaches a peer without the parts, and is
/// not repeated to another peer.
#[test]
fn part_requests_are_retried_at_another_peer() {
    let mut member = Member::new();
    let parts = texts(&["a\n", "b\n"]);
    member.receive_manifest("vm-b", 1, &parts);
    assert_eq!(member.receive_manifest("vm-c", 1, &parts).requested, []);
    let observed = member.receive_parts("vm-b", &[]);
    assert_eq!(observed.requested[0].0, "vm-c");
    // Parts from a peer that was not asked do not end the wait for the asked peer.
    assert_eq!(member.receive_parts("vm-b", &[]).requested, []);
    let requested: Vec<_> = (0..4)
        .flat_map(|_| member.advance(150 * MS).requested)
        .collect();
    assert_eq!(requested.len(), 4, "{requested:?}");
}

/// Guards against messages that grow with the text, and against asking a peer only once for
/// parts that need several messages.
#[test]
fn parts_come_in_bounded_batches() {
    let parts: Vec<Arc<str>> = (0..100)
        .map(|it| format!("{it}{}\n", "x".repeat(4_000)).into())
        .collect();
    let (mut holder, mut member) = (Member::new(), Member::new());
    holder.receive_manifest("vm-b", 1, &parts);
    for batch in parts.chunks(16) {
        holder.receive_parts("vm-b", batch);
    }
    let mut requested = member.receive_manifest("vm-c", 1, &parts).requested;
    // At most 64 hashes in a request and 64 KiB in a reply: 6 replies of 16 parts leave 4.
    for _ in 0..6 {
        let hashes = requested[0].1.clone();
        assert!(hashes.len() <= 64);
        let pull = GossipMessage::Pull(PullItem::Parts(hashes));
        let sent = holder.gossip("vm-d", pull).sent;
        let bytes: usize = sent[0].iter().map(|it| it.len()).sum();
        assert!((50_000..=65_536).contains(&bytes), "{bytes}");
        requested = member.receive_parts("vm-c", &sent[0]).requested;
    }
    assert_eq!(requested[0].1.len(), 4);
}

/// Guards against waiting for parts of a manifest from the store when no peer has them, and
/// against repeated store reads of the same part.
#[test]
fn parts_are_read_from_the_store_when_no_peer_sends_them() {
    let mut member = Member::new();
    let parts = texts(&["a\n", "b\n"]);
    let event = FleetEvent::ConfigRead {
        manifest: Some(manifest(1, &parts)),
        parts: Vec::new(),
    };
    assert_eq!(member.handle(event).read, []);
    let mut read: Vec<_> = (0..4).flat_map(|_| member.advance(150 * MS).read).collect();
    read.sort_unstable();
    let mut expected = hashes(&parts);
    expected.sort_unstable();
    assert_eq!(read, expected);
    assert_eq!(
        member.handle(FleetEvent::PartRead(read[0], None)).adopted,
        []
    );
    member.handle(FleetEvent::PartReadFailed(read[1]));
    let read: Vec<_> = (0..10)
        .flat_map(|_| member.advance(150 * MS).read)
        .collect();
    assert_eq!(read, [expected[1]]);
    let found = |it: &Arc<str>| FleetEvent::PartRead(PartHash::of(it), Some(Arc::clone(it)));
    assert_eq!(member.handle(found(&parts[0])).adopted, []);
    let observed = member.handle(found(&parts[1]));
    assert_eq!(observed.adopted, [(1, "a\nb\n".into())]);
}

/// Guards against a store read by every node for each change, and against a change that takes
/// effect late because its parts do not come with the manifest.
#[test]
fn few_nodes_read_parts_from_the_store() {
    let mut sim = Simulation::settled(60, 3);
    let mut lines: Vec<_> = (0..3_000)
        .map(|it| format!("  entry-{it}: {it:090}\n"))
        .collect();
    // First the whole text is new, about 75 parts, then one line. Three nodes of the only region
    // watch `config/current` for a new generation.
    for most in [3 * 100, 3 * 6] {
        let before = sim.part_reads;
        let generation = sim.apply(&lines.concat(), &[]);
        sim.run(2_500 * MS);
        assert!(sim.nodes.iter().all(|it| it.generation() == generation));
        let reads = sim.part_reads - before;
        assert!(reads <= most, "{reads} reads");
        lines[1_500].replace_range(2..3, "x");
    }
}

/// Guards against a starting fleet in which every node reads the whole text from the store,
/// and against a node that reads it although its peers have the text.
#[test]
fn starting_nodes_share_store_reads() {
    const NODES: usize = 60;
    let mut sim = Simulation::new(&[("south", "dc-a"), ("north", "dc-b")], NODES, 4, 5);
    let lines = (0..12_000).map(|it| format!("  entry-{it}: {it:090}\n"));
    sim.apply(&lines.collect::<String>(), &[]);
    let parts = sim.store.parts.len() as u64;
    (0..NODES).for_each(|it| sim.start(it));
    sim.run(5 * SECOND);
    assert!(sim.nodes.iter().all(|it| it.generation() == 1));
    let reads = sim.part_reads;
    // A quarter of the 2,000 reads a second that the store can serve.
    assert!(reads <= 5 * 500, "{reads} reads of {parts} parts");
    sim.crash(0);
    sim.run(SECOND);
    sim.start(0);
    sim.run(5 * SECOND);
    assert_eq!((sim.nodes[0].generation(), sim.part_reads), (1, reads));
}
