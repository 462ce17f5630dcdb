//! Whole sessions of a small deployment as text: who says what to whom.
//!
//! A change of any message of a session shows as a difference of its snapshot.

mod common;

use insta::assert_snapshot;

use common::MS;
use common::SECOND;
use wigeonhall_measure::Edit;
use wigeonhall_measure::Fault;
use wigeonhall_measure::MessageFaults;
use wigeonhall_measure::Session;
use wigeonhall_measure::Step;
use wigeonhall_query::CoverageDemand;
use wigeonhall_types::ClassKey;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// Reads before this time teach the nodes how long the targets take.
const FROM: u64 = 2 * SECOND;

/// Number of the first caller that a transcript shows.
const KEY: u64 = 1 << 20;

struct Script {
    session: Session,
}

impl Script {
    /// Warm targets that every node has read from.
    fn new(data_centres: usize, nodes: usize) -> Self {
        let site = common::site(data_centres, nodes, 2);
        let keys: Vec<NodeKey> = site.deployment.vms.keys().copied().collect();
        let mut script = Self {
            session: Session::new(site, 1),
        };
        for step in 0..40 {
            let node = keys[step as usize % keys.len()];
            let read = script.read_step(node, CoverageDemand::Full);
            script.session.at((step + 1) * 40 * MS, read);
        }
        script
    }

    fn node(&self, name: &str) -> NodeKey {
        let found = self.session.catalog().find_node(name);
        found.expect("a node of this name")
    }

    fn replica(&self, name: &str) -> ReplicaKey {
        let found = self.session.catalog().find_replica(name);
        found.expect("a replica of this name")
    }

    fn class(&self, name: &str) -> ClassKey {
        let found = self.session.catalog().find_class(name);
        found.expect("a class of this name")
    }

    fn read_step(&self, node: NodeKey, demand: CoverageDemand) -> Step {
        Step::Read {
            class: self.class("ledger"),
            deadline_us: 300 * MS,
            demand,
            node,
            range: KeyRange::WHOLE,
        }
    }

    fn at(&mut self, at_ms: u64, step: Step) {
        self.session.at(FROM + at_ms * MS, step);
    }

    fn read(&mut self, at_ms: u64, node: &str) {
        let step = self.read_step(self.node(node), CoverageDemand::Full);
        self.at(at_ms, step);
    }

    fn write(&mut self, at_ms: u64, node: &str, first: bool) {
        let step = Step::Write {
            class: self.class("fill-log"),
            deadline_us: 500 * MS,
            first,
            key: KEY,
            node: self.node(node),
            request: 1,
        };
        self.at(at_ms, step);
    }

    fn run(mut self, for_ms: u64) -> String {
        self.session.run_until(FROM + for_ms * MS);
        self.session.transcript(FROM)
    }
}

#[test]
fn plain_read() {
    let mut script = Script::new(3, 1);
    script.read(0, "greenwood-1");
    assert_snapshot!(script.run(100));
}

/// The slow target is the nearest one, so its part is hedged and its loser cancelled.
#[test]
fn straggler() {
    let mut script = Script::new(3, 1);
    let slow = script.replica("shard-3-b");
    script.at(0, Step::Fault(Fault::Slow(slow, 30.0)));
    script.read(1, "greenwood-1");
    assert_snapshot!(script.run(300));
}

#[test]
fn lost_replica() {
    let mut script = Script::new(3, 1);
    let lost = script.replica("shard-3-b");
    script.at(0, Step::Fault(Fault::Lost(lost)));
    script.read(1, "greenwood-1");
    script.read(100, "greenwood-1");
    assert_snapshot!(script.run(200));
}

/// The only replica of a service that takes work restarts. It gets one request at a time
/// and four in a second until its replies show that it bears more.
#[test]
fn cold_target() {
    let mut script = Script::new(3, 1);
    let other = script.replica("shard-3-a");
    let cold = script.replica("shard-3-b");
    let out = Step::Deploy(Edit::Replica(other, true));
    script.session.at(FROM - 1_500 * MS, out);
    script.at(0, Step::Reset(cold));
    for pair in 0..4 {
        script.read(1 + pair * 350, "greenwood-1");
        script.read(1 + pair * 350, "greenwood-1");
    }
    assert_snapshot!(script.run(1_400));
}

/// A target drops the pinned version before its sub-request arrives; the other replica
/// still has it, so the pin stays.
#[test]
fn version_change_pin_kept() {
    let mut script = Script::new(3, 1);
    script.at(0, Step::Fault(Fault::VersionRoll));
    script.at(1_100, Step::Fault(Fault::VersionRoll));
    script.read(1_310, "yazoo-1");
    assert_snapshot!(script.run(1_330));
}

/// The only replica that takes work drops the pinned version, so the whole read starts
/// over at the next one, in which the keys are split differently.
#[test]
fn version_change_restart() {
    let mut script = Script::new(3, 1);
    let out = Step::Deploy(Edit::Replica(script.replica("shard-2-a"), true));
    script.session.at(FROM - 1_500 * MS, out);
    script.at(0, Step::Fault(Fault::VersionRoll));
    script.at(1_100, Step::Fault(Fault::VersionRoll));
    script.read(1_470, "yazoo-1");
    assert_snapshot!(script.run(1_500));
}

#[test]
fn data_centre_out_and_in() {
    let mut script = Script::new(3, 1);
    let greenwood = script.session.catalog().find_data_centre("greenwood");
    let greenwood = greenwood.expect("a data centre of this name");
    script.at(0, Step::Deploy(Edit::DataCentre(greenwood, true)));
    script.read(1_100, "clarksdale-1");
    script.at(1_500, Step::Deploy(Edit::DataCentre(greenwood, false)));
    script.read(2_700, "clarksdale-1");
    assert_snapshot!(script.run(3_000));
}

#[test]
fn write() {
    let mut script = Script::new(3, 1);
    script.write(0, "greenwood-1", true);
    assert_snapshot!(script.run(100));
}

/// The node reads the claim back and finds its own token.
#[test]
fn lost_claim_reply() {
    let mut script = Script::new(3, 1);
    script.at(0, Step::LoseStoreReply);
    script.write(0, "greenwood-1", true);
    assert_snapshot!(script.run(400));
}

/// The target ran the write, but nobody was told. The repeat finds the claim and is not
/// sent.
#[test]
fn lost_target_reply_of_a_write() {
    let mut script = Script::new(3, 1);
    for name in ["shard-1-a", "shard-1-b"] {
        let replica = script.replica(name);
        script.at(0, Step::LoseTargetReply(replica));
    }
    script.write(0, "greenwood-1", true);
    script.write(100, "yazoo-1", false);
    assert_snapshot!(script.run(200));
}

/// A repeat of a write that ran gets the stored answer.
#[test]
fn repeated_write() {
    let mut script = Script::new(3, 1);
    script.write(0, "greenwood-1", true);
    script.write(100, "yazoo-1", false);
    assert_snapshot!(script.run(200));
}

/// More reads at once than one replica of each service can run in time.
#[test]
fn overload() {
    let mut script = Script::new(2, 1);
    for name in ["shard-1-a", "shard-2-b", "shard-3-a"] {
        let out = Step::Deploy(Edit::Replica(script.replica(name), true));
        script.session.at(FROM - 1_500 * MS, out);
    }
    for _ in 0..5 {
        let mut step = script.read_step(script.node("greenwood-1"), CoverageDemand::Full);
        if let Step::Read { deadline_us, .. } = &mut step {
            *deadline_us = 10 * MS;
        }
        script.at(0, step);
    }
    assert_snapshot!(script.run(100));
}

#[test]
fn owner_change() {
    let mut script = Script::new(2, 2);
    let replica = script.replica("shard-1-a");
    let change = Step::Move {
        handed_over: true,
        replica,
        to: script.node("greenwood-2"),
    };
    script.read(0, "greenwood-1");
    script.at(2, change);
    script.read(50, "greenwood-1");
    assert_snapshot!(script.run(100));
}

/// The owner of the only replica that takes work is paused for longer than its lease. On
/// resuming it refuses the sub-request that waited for it, since its lease has ended.
#[test]
fn lapsed_lease() {
    let mut script = Script::new(3, 1);
    let other = script.replica("shard-3-a");
    let out = Step::Deploy(Edit::Replica(other, true));
    script.session.at(FROM - 1_500 * MS, out);
    let node = script.node("greenwood-1");
    script.at(0, Step::Pause(node, 3_500 * MS));
    let mut read = script.read_step(script.node("clarksdale-1"), CoverageDemand::Full);
    if let Step::Read { deadline_us, .. } = &mut read {
        *deadline_us = 5 * SECOND;
    }
    script.at(10, read);
    assert_snapshot!(script.run(5_100));
}

/// Guards against a write that runs again, and against a "not run" of what has run, when
/// the message to the owner arrives a second time after the first one has ended. Found by
/// the fuzz with seed 1.
#[test]
fn doubled_messages() {
    let mut script = Script::new(3, 1);
    let doubled = MessageFaults {
        doubled: 100,
        ..MessageFaults::default()
    };
    script.at(0, Step::MessageFaults(doubled, SECOND));
    script.write(0, "greenwood-1", true);
    assert_snapshot!(script.run(1_000));
}
