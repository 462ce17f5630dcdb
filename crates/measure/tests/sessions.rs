//! Snapshot tests of the message transcripts of whole sessions in a small deployment.
//!
//! A change of any message in a session changes its snapshot.

mod common;

use insta::assert_snapshot;

use common::MS;
use common::SECOND;
use wigeonhall_measure::DeploymentChange;
use wigeonhall_measure::Fault;
use wigeonhall_measure::MessageFaults;
use wigeonhall_measure::Session;
use wigeonhall_measure::Step;
use wigeonhall_query::CoverageDemand;
use wigeonhall_types::ClassKey;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// Start of the transcripts. Reads before it give the nodes latency samples of the targets. A
/// deployment change made 1.5 s before it is in force by then, since it reaches every node within
/// 1 s.
const TRANSCRIPT_START_US: u64 = 2 * SECOND;

/// Key of the write.
const WRITE_KEY: u64 = 1 << 20;

struct Script {
    session: Session,
}

impl Script {
    /// Creates a session with warm targets, of two slots each, that every node has read from.
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
        self.session.at(TRANSCRIPT_START_US + at_ms * MS, step);
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
            key: WRITE_KEY,
            node: self.node(node),
            request: 1,
        };
        self.at(at_ms, step);
    }

    fn run(mut self, for_ms: u64) -> String {
        self.session.run_until(TRANSCRIPT_START_US + for_ms * MS);
        self.session.transcript(TRANSCRIPT_START_US)
    }
}

/// Guards against more than one sub-request per shard while all targets are healthy.
#[test]
fn plain_read() {
    let mut script = Script::new(3, 1);
    script.read(0, "greenwood-1");
    assert_snapshot!(script.run(100));
}

/// The slow target is the nearest one, so its sub-request is hedged and cancelled when the
/// hedge answers first.
#[test]
fn straggler() {
    let mut script = Script::new(3, 1);
    let slow = script.replica("shard-3-b");
    script.at(0, Step::Fault(Fault::TargetSlow(slow, 30.0)));
    script.read(1, "greenwood-1");
    assert_snapshot!(script.run(300));
}

/// Guards against a read that fails because one replica is lost, and against sub-requests to that
/// replica after the first failure.
#[test]
fn lost_replica() {
    let mut script = Script::new(3, 1);
    let lost = script.replica("shard-3-b");
    script.at(0, Step::Fault(Fault::TargetLost(lost)));
    script.read(1, "greenwood-1");
    script.read(100, "greenwood-1");
    assert_snapshot!(script.run(200));
}

/// The only replica of a service that accepts requests restarts. It gets one request at a
/// time and four per second until its successful replies raise the cold limits.
#[test]
fn cold_target() {
    let mut script = Script::new(3, 1);
    let other = script.replica("shard-3-a");
    let cold = script.replica("shard-3-b");
    let out = Step::Deploy(DeploymentChange::Replica(other, true));
    script.session.at(TRANSCRIPT_START_US - 1_500 * MS, out);
    script.at(0, Step::RestartTarget(cold));
    for pair in 0..4 {
        script.read(1 + pair * 350, "greenwood-1");
        script.read(1 + pair * 350, "greenwood-1");
    }
    assert_snapshot!(script.run(1_400));
}

/// A target drops the pinned version (the one that the read has chosen for all its sub-requests)
/// just before its sub-request arrives. The other replica still serves it, so the read keeps its
/// pinned version.
#[test]
fn version_change_pin_kept() {
    let mut script = Script::new(3, 1);
    script.at(0, Step::Fault(Fault::VersionRoll));
    script.at(1_100, Step::Fault(Fault::VersionRoll));
    script.read(1_310, "yazoo-1");
    assert_snapshot!(script.run(1_330));
}

/// The only replica of a shard that accepts requests has dropped the pinned version, and no reply
/// or probe has shown the change yet. The whole read restarts at the next version, which
/// partitions the keys differently.
#[test]
fn version_change_restart() {
    let mut script = Script::new(3, 1);
    let out = Step::Deploy(DeploymentChange::Replica(script.replica("shard-2-a"), true));
    script.session.at(TRANSCRIPT_START_US - 1_500 * MS, out);
    script.at(0, Step::Fault(Fault::VersionRoll));
    script.at(1_100, Step::Fault(Fault::VersionRoll));
    script.read(1_470, "yazoo-1");
    assert_snapshot!(script.run(1_500));
}

/// Guards against sub-requests to a data centre that is out of service.
#[test]
fn data_centre_out_and_in() {
    let mut script = Script::new(3, 1);
    let greenwood = script.session.catalog().find_data_centre("greenwood");
    let greenwood = greenwood.expect("a data centre of this name");
    script.at(
        0,
        Step::Deploy(DeploymentChange::DataCentre(greenwood, true)),
    );
    // A change reaches every node within 1 s.
    script.read(1_100, "clarksdale-1");
    script.at(
        1_500,
        Step::Deploy(DeploymentChange::DataCentre(greenwood, false)),
    );
    script.read(2_700, "clarksdale-1");
    assert_snapshot!(script.run(3_000));
}

/// Guards against a write that is sent before its claim (the stored record that lets one attempt
/// run it) is created.
#[test]
fn write() {
    let mut script = Script::new(3, 1);
    script.write(0, "greenwood-1", true);
    assert_snapshot!(script.run(100));
}

/// The store's reply to the creation of the claim is lost. The node reads the claim back, finds
/// the token that it has put into it, and sends the write.
#[test]
fn lost_claim_reply() {
    let mut script = Script::new(3, 1);
    script.at(0, Step::LoseStoreReply);
    script.write(0, "greenwood-1", true);
    assert_snapshot!(script.run(400));
}

/// The target runs the write, but its reply is lost. The repeat finds the open claim and is
/// not sent to a target.
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

/// The repeat of a completed write returns the stored answer.
#[test]
fn repeated_write() {
    let mut script = Script::new(3, 1);
    script.write(0, "greenwood-1", true);
    script.write(100, "yazoo-1", false);
    assert_snapshot!(script.run(200));
}

/// More concurrent reads arrive than one replica of each service can run before their
/// deadline.
#[test]
fn overload() {
    let mut script = Script::new(2, 1);
    for name in ["shard-1-a", "shard-2-b", "shard-3-a"] {
        let out = Step::Deploy(DeploymentChange::Replica(script.replica(name), true));
        script.session.at(TRANSCRIPT_START_US - 1_500 * MS, out);
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

/// Guards against a new owner that doesn't learn of a request that runs during the hand-over.
#[test]
fn owner_change() {
    let mut script = Script::new(2, 2);
    let replica = script.replica("shard-1-a");
    let change = Step::MoveReplica {
        handed_over: true,
        replica,
        to: script.node("greenwood-2"),
    };
    script.read(0, "greenwood-1");
    script.at(2, change);
    script.read(50, "greenwood-1");
    assert_snapshot!(script.run(100));
}

/// The owner of the only replica that accepts requests is paused for longer than its lease.
/// On resuming, it refuses the pending sub-request, since its lease has ended.
#[test]
fn lapsed_lease() {
    let mut script = Script::new(3, 1);
    let other = script.replica("shard-3-a");
    let out = Step::Deploy(DeploymentChange::Replica(other, true));
    script.session.at(TRANSCRIPT_START_US - 1_500 * MS, out);
    let node = script.node("greenwood-1");
    // A lease lasts 3 s.
    script.at(0, Step::PauseNode(node, 3_500 * MS));
    let mut read = script.read_step(script.node("clarksdale-1"), CoverageDemand::Full);
    if let Step::Read { deadline_us, .. } = &mut read {
        *deadline_us = 5 * SECOND;
    }
    script.at(10, read);
    assert_snapshot!(script.run(5_100));
}

/// Guards against a write that runs twice, and against a false "not run", when the message
/// to the owner arrives again after the execution has ended, as with fuzz seed 1.
#[test]
fn duplicated_messages() {
    let mut script = Script::new(3, 1);
    let duplicated = MessageFaults {
        duplicated: 100,
        ..MessageFaults::default()
    };
    script.at(0, Step::MessageFaults(duplicated, SECOND));
    script.write(0, "greenwood-1", true);
    assert_snapshot!(script.run(1_000));
}
