//! How a node fetches the parts of a text.

mod common;

use std::sync::Arc;

use common::MS;
use common::S;
use common::World;
use wigeonhall_fleet::ConfigManifest;
use wigeonhall_fleet::Fleet;
use wigeonhall_fleet::FleetAction;
use wigeonhall_fleet::FleetConfig;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::GossipMessage;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::PullItem;
use wigeonhall_types::Catalog;

struct Member {
    catalog: Catalog,
    fleet: Fleet,
    now: u64,
}

/// What a member asked for or put in force.
#[derive(Debug, Default, PartialEq)]
struct Seen {
    adopted: Vec<(u64, String)>,
    asked: Vec<(String, Vec<PartHash>)>,
    read: Vec<PartHash>,
    sent: Vec<Vec<Arc<str>>>,
}

impl Member {
    fn new() -> Self {
        let mut catalog = Catalog::default();
        let config = FleetConfig {
            boot: 1,
            data_centre: catalog.data_centre("dc-a"),
            node: catalog.node("vm-a"),
            region: "south".into(),
            seeds: Vec::new(),
        };
        let fleet = Fleet::new(config, 1);
        let now = 100 * S;
        Self {
            catalog,
            fleet,
            now,
        }
    }

    fn handle(&mut self, event: FleetEvent) -> Seen {
        let mut actions = Vec::new();
        self.fleet
            .handle(self.now, event, &mut self.catalog, &mut actions);
        let mut seen = Seen::default();
        for action in actions {
            match action {
                FleetAction::AdoptConfig(record) => {
                    seen.adopted.push((record.generation, record.text()));
                }
                FleetAction::ReadPart(hash) => seen.read.push(hash),
                FleetAction::Send { message, to } => match message {
                    GossipMessage::Pull(PullItem::Parts(hashes)) => {
                        let name = self.catalog.node_name(to).to_string();
                        seen.asked.push((name, hashes));
                    }
                    GossipMessage::Parts(parts) => seen.sent.push(parts),
                    _ => {}
                },
                _ => {}
            }
        }
        seen
    }

    fn gossip(&mut self, from: &str, message: GossipMessage) -> Seen {
        let from = self.catalog.node(from);
        self.handle(FleetEvent::Gossip { from, message })
    }

    fn list(&mut self, from: &str, generation: u64, parts: &[Arc<str>]) -> Seen {
        self.gossip(from, GossipMessage::Config(list(generation, parts)))
    }

    fn parts(&mut self, from: &str, parts: &[Arc<str>]) -> Seen {
        self.gossip(from, GossipMessage::Parts(parts.to_vec()))
    }

    fn wait(&mut self, time: u64) -> Seen {
        self.now += time;
        self.handle(FleetEvent::Tick)
    }
}

fn list(generation: u64, parts: &[Arc<str>]) -> ConfigManifest {
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

/// Guards against a generation in force without one of its parts or with a part that
/// does not have its hash, and against a part that is fetched although it is here.
#[test]
fn a_generation_needs_exactly_its_parts() {
    let mut member = Member::new();
    let old = texts(&["a\n", "b\n"]);
    let seen = member.list("vm-b", 1, &old);
    assert_eq!(seen.asked.len(), 1);
    assert_eq!(member.parts("vm-b", &old[..1]).adopted, []);
    assert_eq!(member.parts("vm-b", &texts(&["x\n", "a\n"])).adopted, []);
    let hash = PartHash::of("b\n");
    let wrong = FleetEvent::PartRead(hash, Some("x\n".into()));
    assert_eq!(member.handle(wrong).adopted, []);
    let seen = member.parts("vm-c", &old[1..]);
    assert_eq!(seen.adopted, [(1, "a\nb\n".into())]);
    let new = texts(&["a\n", "c\n", "a\n"]);
    let seen = member.list("vm-b", 2, &new);
    assert_eq!(seen.asked, [("vm-b".into(), hashes(&new[1..2]))]);
    let seen = member.parts("vm-b", &new[1..2]);
    assert_eq!(seen.adopted, [(2, "a\nc\na\n".into())]);
}

/// Guards against a list that waits for a part which nobody has any more, and against
/// an older generation that comes into force after a newer one.
#[test]
fn a_newer_list_overtakes_an_incomplete_one() {
    let mut member = Member::new();
    member.list("vm-b", 1, &texts(&["a\n", "b\n"]));
    member.parts("vm-b", &texts(&["a\n"]));
    let seen = member.list("vm-c", 2, &texts(&["a\n", "c\n"]));
    assert_eq!(seen.asked, [("vm-c".into(), vec![PartHash::of("c\n")])]);
    assert_eq!(member.parts("vm-b", &texts(&["b\n"])).adopted, []);
    assert_eq!(member.list("vm-b", 1, &texts(&["a\n", "b\n"])).adopted, []);
    let seen = member.parts("vm-c", &texts(&["c\n"]));
    assert_eq!(seen.adopted, [(2, "a\nc\n".into())]);
    let late = member.parts("vm-b", &texts(&["b\n"]));
    assert_eq!(late, Seen::default());
}

/// Guards against a request that is lost, or goes to a peer without the parts, and is
/// not made again elsewhere.
#[test]
fn another_peer_is_asked() {
    let mut member = Member::new();
    let parts = texts(&["a\n", "b\n"]);
    member.list("vm-b", 1, &parts);
    assert_eq!(member.list("vm-c", 1, &parts).asked, []);
    let seen = member.parts("vm-b", &[]);
    assert_eq!(seen.asked[0].0, "vm-c");
    // The answer of a peer that was not asked does not count as one of the asked peer.
    assert_eq!(member.parts("vm-b", &[]).asked, []);
    let asked: Vec<_> = (0..4).flat_map(|_| member.wait(150 * MS).asked).collect();
    assert_eq!(asked.len(), 4, "{asked:?}");
}

/// Guards against messages that grow with the text, and a peer that is asked once for
/// what takes several messages.
#[test]
fn parts_come_in_bounded_batches() {
    let parts: Vec<Arc<str>> = (0..100)
        .map(|it| format!("{it}{}\n", "x".repeat(4_000)).into())
        .collect();
    let (mut holder, mut member) = (Member::new(), Member::new());
    holder.list("vm-b", 1, &parts);
    for batch in parts.chunks(16) {
        holder.parts("vm-b", batch);
    }
    let mut asked = member.list("vm-c", 1, &parts).asked;
    for _ in 0..6 {
        let hashes = asked[0].1.clone();
        assert!(hashes.len() <= 64);
        let pull = GossipMessage::Pull(PullItem::Parts(hashes));
        let sent = holder.gossip("vm-d", pull).sent;
        let bytes: usize = sent[0].iter().map(|it| it.len()).sum();
        assert!((50_000..=65_536).contains(&bytes), "{bytes}");
        asked = member.parts("vm-c", &sent[0]).asked;
    }
    assert_eq!(asked[0].1.len(), 4);
}

/// Guards against a list from the store that waits for parts when no peer has them, and
/// a part that the store is asked for again and again.
#[test]
fn the_store_is_read_after_silence() {
    let mut member = Member::new();
    let parts = texts(&["a\n", "b\n"]);
    let event = FleetEvent::ConfigRead {
        list: Some(list(1, &parts)),
        parts: Vec::new(),
    };
    assert_eq!(member.handle(event).read, []);
    let mut read: Vec<_> = (0..4).flat_map(|_| member.wait(150 * MS).read).collect();
    read.sort_unstable();
    let mut expected = hashes(&parts);
    expected.sort_unstable();
    assert_eq!(read, expected);
    assert_eq!(
        member.handle(FleetEvent::PartRead(read[0], None)).adopted,
        []
    );
    member.handle(FleetEvent::PartReadFailed(read[1]));
    let read: Vec<_> = (0..10).flat_map(|_| member.wait(150 * MS).read).collect();
    assert_eq!(read, [expected[1]]);
    let found = |it: &Arc<str>| FleetEvent::PartRead(PartHash::of(it), Some(Arc::clone(it)));
    assert_eq!(member.handle(found(&parts[0])).adopted, []);
    let seen = member.handle(found(&parts[1]));
    assert_eq!(seen.adopted, [(1, "a\nb\n".into())]);
}

/// Guards against a store that sees a read of each node for each change, and a change
/// that is late because its parts do not come with its list.
#[test]
fn few_nodes_read_parts_from_the_store() {
    let mut world = World::settled(60, 3);
    let mut lines: Vec<_> = (0..3_000)
        .map(|it| format!("  entry-{it}: {it:090}\n"))
        .collect();
    // The whole text is new, about 75 parts, then one line; three nodes watch.
    for most in [3 * 100, 3 * 6] {
        let before = world.part_reads;
        let generation = world.apply(&lines.concat(), &[]);
        world.run(2_500 * MS);
        assert!(world.nodes.iter().all(|it| it.generation() == generation));
        let reads = world.part_reads - before;
        assert!(reads <= most, "{reads} reads");
        lines[1_500].replace_range(2..3, "x");
    }
}

/// Guards against a starting fleet of which every node reads the whole text from the
/// store, and a node that does so when its peers have the text.
#[test]
fn starting_nodes_share_what_they_read() {
    const NODES: usize = 60;
    let mut world = World::new(&[("south", "dc-a"), ("north", "dc-b")], NODES, 4, 5);
    let lines = (0..12_000).map(|it| format!("  entry-{it}: {it:090}\n"));
    world.apply(&lines.collect::<String>(), &[]);
    let parts = world.store.parts.len() as u64;
    (0..NODES).for_each(|it| world.start(it));
    world.run(5 * S);
    assert!(world.nodes.iter().all(|it| it.generation() == 1));
    let reads = world.part_reads;
    // A quarter of the 2,000 reads a second that the store takes.
    assert!(reads <= 5 * 500, "{reads} reads of {parts} parts");
    world.crash(0);
    world.run(S);
    world.start(0);
    world.run(5 * S);
    assert_eq!((world.nodes[0].generation(), world.part_reads), (1, reads));
}
