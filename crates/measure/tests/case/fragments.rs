//! Short directed sequences that the random generator places at random times.
//!
//! Each brings the system into a state that independent random steps reach too rarely,
//! and varies its times by some milliseconds.

use std::sync::OnceLock;

use proptest::prelude::*;

use super::Call;
use super::random::node;
use super::random::replica;
use crate::common;
use crate::common::MS;
use crate::common::SECOND;
use wigeonhall_measure::Fault;
use wigeonhall_measure::MessageFaults;
use wigeonhall_measure::Site;
use wigeonhall_measure::Step;
use wigeonhall_measure::StoreMode;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// Time that a fragment takes at most.
pub const FRAGMENT_US: u64 = 5 * SECOND;

/// First request id of the fragments; the random writes use lower ones.
const FIRST_REQUEST: u32 = 100;

/// Shards and replicas by key: the two replicas of a shard follow each other.
const SHARDS: u64 = 3;

/// Calls and steps, each at a time from the start of the fragment.
#[derive(Clone, Debug, Default)]
pub struct Fragment {
    pub calls: Vec<(u64, Call)>,
    pub steps: Vec<(u64, Step)>,
}

impl Fragment {
    /// Reads of one shard at every node.
    fn reads(&mut self, at_us: u64, replica: ReplicaKey, count: u8, deadline_us: u64) {
        for key in 0..super::NODES {
            let call = Call::Read {
                count,
                deadline_us,
                node: NodeKey(key),
                partial: false,
                range: shard(replica),
            };
            self.calls.push((at_us, call));
        }
    }

    fn step(&mut self, at_us: u64, step: Step) {
        self.steps.push((at_us, step));
    }

    fn fault(&mut self, at_us: u64, fault: Fault) {
        self.step(at_us, Step::Fault(fault));
    }

    fn write(&mut self, at_us: u64, node: NodeKey, request: u32, deadline_us: u64) {
        let call = Call::Write {
            deadline_us,
            node,
            request: FIRST_REQUEST + request,
        };
        self.calls.push((at_us, call));
    }
}

/// Keys of the shard of a replica.
fn shard(replica: ReplicaKey) -> KeyRange {
    let index = u64::from(replica.0 / 2);
    let end = KeyRange::WHOLE.end;
    KeyRange {
        start: end * index / SHARDS,
        end: end * (index + 1) / SHARDS,
    }
}

/// A request id, of 16 keys, whose key lies in the shard of a replica.
fn request_of(replica: ReplicaKey, index: u32) -> u32 {
    // 100 is key 4 of 16.
    let key = 16 * (replica.0 / 2) / 3 + 1 + index % 4;
    (key + 16 - FIRST_REQUEST % 16) % 16
}

/// Owner of a replica at the start, and the other node of its data centre.
fn owner_and_heir(replica: ReplicaKey) -> (NodeKey, NodeKey) {
    static SITE: OnceLock<Site> = OnceLock::new();
    let deployment = &SITE.get_or_init(|| common::site(2, 2, 4)).deployment;
    let place = deployment.replicas[&replica].data_centre;
    let held = deployment.replicas.range(..replica);
    let index = held.filter(|(_, it)| it.data_centre == place).count();
    let vms = deployment
        .vms
        .iter()
        .filter(|(_, it)| it.data_centre == place);
    let members: Vec<NodeKey> = vms.map(|(&key, _)| key).collect();
    (members[index % 2], members[(index + 1) % 2])
}

/// The replica moves to the other node of its data centre.
fn change(replica: ReplicaKey, handed_over: bool) -> Step {
    Step::Move {
        handed_over,
        replica,
        to: owner_and_heir(replica).1,
    }
}

fn other(replica: ReplicaKey) -> ReplicaKey {
    ReplicaKey(replica.0 ^ 1)
}

/// Any fragment.
pub fn fragment() -> impl Strategy<Value = Fragment> {
    prop_oneof![
        2 => full_hand_over(),
        1 => late_target(),
        2 => unheard_drain(),
        2 => lost_owner(),
        2 => aborted_write(),
        2 => contended_claim(),
        2 => moving_owner(),
        1 => paused_owner(),
        1 => ramp(),
    ]
}

/// The owner changes while a slow target runs as much as it may.
fn full_hand_over() -> impl Strategy<Value = Fragment> {
    let times = (5 * MS..40 * MS, 0..40 * MS);
    (replica(), 15.0..40.0_f64, times).prop_map(|(replica, factor, (move_us, gap))| {
        let mut it = Fragment::default();
        it.fault(0, Fault::Slow(replica, factor));
        it.reads(MS, replica, 4, 500 * MS);
        it.step(4 * MS + move_us, change(replica, true));
        it.reads(4 * MS + move_us + gap, replica, 4, 500 * MS);
        it.fault(SECOND, Fault::Slow(replica, 1.0));
        it
    })
}

/// A target works on after its deadlines, while more work comes and its owner may change.
fn late_target() -> impl Strategy<Value = Fragment> {
    let late = 50 * MS..600 * MS;
    let change_us = prop::option::of(0..300 * MS);
    (replica(), late, 15.0..40.0_f64, change_us).prop_map(
        |(replica, late_us, factor, change_us)| {
            let mut it = Fragment::default();
            it.fault(0, Fault::Slow(replica, factor));
            it.fault(0, Fault::Slow(other(replica), factor));
            it.step(0, Step::Overrun(replica, late_us));
            for round in 0..6 {
                it.reads(MS + round * 50 * MS, replica, 2, 30 * MS);
            }
            if let Some(at_us) = change_us {
                it.step(at_us, change(replica, true));
            }
            it.step(SECOND, Step::Overrun(replica, 0));
            it.fault(SECOND, Fault::Slow(replica, 1.0));
            it.fault(SECOND, Fault::Slow(other(replica), 1.0));
            it
        },
    )
}

/// A target drains, but the news do not reach the entry nodes, or its owner changes.
fn unheard_drain() -> impl Strategy<Value = Fragment> {
    let at_end = 3_080 * MS..3_100 * MS;
    let change_us = prop::option::of(prop_oneof![SECOND..3 * SECOND, at_end]);
    (replica(), 3_050 * MS..3_060 * MS, change_us).prop_map(|(replica, silent_us, change_us)| {
        let mut it = Fragment::default();
        // Entry nodes prefer the replica that they know best.
        it.reads(0, replica, 1, 300 * MS);
        let links = MessageFaults {
            doubled: 0,
            late: 0,
            lost: 100,
        };
        it.step(40 * MS, Step::MessageFaults(links, silent_us));
        it.step(41 * MS, Step::Drain(replica));
        if let Some(at_us) = change_us {
            it.step(at_us, change(replica, true));
        }
        for round in 0..20 {
            it.reads(38 * MS + silent_us + round * 400, replica, 1, 300 * MS);
        }
        it.step(4_500 * MS, Step::Reset(replica));
        it
    })
}

/// An owner ends at the moment at which it has sent a write.
fn lost_owner() -> impl Strategy<Value = Fragment> {
    let times = (3_000..16 * MS, 30 * MS..500 * MS);
    (replica(), node(), node(), 1.0..20.0_f64, times).prop_map(
        |(replica, lost, repeats, factor, (stop_us, repeat_us))| {
            let mut it = Fragment::default();
            it.fault(0, Fault::Slow(replica, factor));
            it.fault(0, Fault::Slow(other(replica), factor));
            for index in 0..4 {
                let from = NodeKey((lost.0 + 1 + index % 3) % super::NODES);
                let request = request_of(replica, index);
                it.write(MS, from, request, 400 * MS);
                it.write(MS + stop_us + repeat_us, repeats, request, 400 * MS);
                it.write(600 * MS, from, request, 400 * MS);
            }
            it.step(MS + stop_us, Step::Stop(lost));
            it.fault(SECOND, Fault::Slow(replica, 1.0));
            it.fault(SECOND, Fault::Slow(other(replica), 1.0));
            it
        },
    )
}

/// A target gives up what it runs while it is about to finish.
fn aborted_write() -> impl Strategy<Value = Fragment> {
    (replica(), node(), 1.0..20.0_f64, 3_000..30 * MS).prop_map(
        |(replica, from, factor, abort_us)| {
            let mut it = Fragment::default();
            it.fault(0, Fault::Slow(replica, factor));
            it.fault(0, Fault::Slow(other(replica), factor));
            for index in 0..4 {
                let request = request_of(replica, index);
                it.write(MS, from, request, 300 * MS);
                it.write(MS + 2 * abort_us + 10 * MS, from, request, 300 * MS);
            }
            it.step(MS + abort_us, Step::Abort(replica));
            it.step(MS + abort_us, Step::Abort(other(replica)));
            it.fault(SECOND, Fault::Slow(replica, 1.0));
            it.fault(SECOND, Fault::Slow(other(replica), 1.0));
            it
        },
    )
}

/// Two attempts meet at a claim that was given back, while the store is slow: a repeat,
/// and a copy of the first attempt that a load balancer sends to another node.
fn contended_claim() -> impl Strategy<Value = Fragment> {
    let nodes = (node(), 1..super::NODES, 1..super::NODES);
    let copy = (0.2..0.9_f64, 0.5..0.98_f64);
    (replica(), nodes, 40 * MS..150 * MS, copy).prop_map(
        |(replica, (first, second, third), slow_us, (after, within))| {
            let mut it = Fragment::default();
            let node = |offset| NodeKey((first.0 + offset) % super::NODES);
            let request = request_of(replica, 0);
            it.reads(0, replica, 1, 300 * MS);
            it.step(50 * MS, Step::Drain(replica));
            it.step(50 * MS, Step::Drain(other(replica)));
            it.write(48 * MS, first, request, 300 * MS);
            it.step(500 * MS, Step::Reset(replica));
            it.step(500 * MS, Step::Reset(other(replica)));
            it.step(2_900 * MS, Step::Store(StoreMode::Slow(slow_us)));
            let repeat_us = 3_000 * MS;
            it.write(repeat_us, node(second), request, 900 * MS);
            let slow = slow_us as f64;
            let copy_us = (slow * after) as u64;
            // Between the run of the repeat and the end of the copy's second call.
            let early_us = 2 * slow_us - copy_us + 15 * MS;
            let deadline_us = early_us + (copy_us as f64 * within) as u64;
            let copy = Call::Resend {
                deadline_us,
                node: node(third),
                request: FIRST_REQUEST + request,
            };
            it.calls.push((repeat_us + copy_us, copy));
            it.step(3_900 * MS, Step::Store(StoreMode::Up));
            it
        },
    )
}

/// Reads leave for the old owner up to the moment at which the new one takes over.
fn moving_owner() -> impl Strategy<Value = Fragment> {
    (replica(), any::<bool>(), 0..600_u64).prop_map(|(replica, handed_over, offset_us)| {
        let mut it = Fragment::default();
        // The other replica is slow, so that routing prefers the one that moves.
        it.fault(0, Fault::Slow(other(replica), 20.0));
        it.reads(MS, replica, 4, 500 * MS);
        it.step(300 * MS, change(replica, handed_over));
        for round in 0..40 {
            it.reads(295 * MS + offset_us + round * 400, replica, 1, 300 * MS);
        }
        it.fault(SECOND, Fault::Slow(other(replica), 1.0));
        it
    })
}

/// An owner is paused beyond its lease, and another node takes over without a word.
fn paused_owner() -> impl Strategy<Value = Fragment> {
    (replica(), 3_400 * MS..4_800 * MS).prop_map(|(replica, pause_us)| {
        let (owner, _) = owner_and_heir(replica);
        let mut it = Fragment::default();
        it.step(0, Step::Pause(owner, pause_us));
        it.step(MS, change(replica, false));
        it.reads(3_350 * MS, replica, 2, 300 * MS);
        it.reads(pause_us, replica, 2, 300 * MS);
        it
    })
}

/// Both replicas of a shard start cold under more load than they may take, and the owner
/// of one may change meanwhile.
fn ramp() -> impl Strategy<Value = Fragment> {
    let change_us = prop::option::of(500 * MS..3 * SECOND);
    (replica(), 1..4_u8, change_us).prop_map(|(replica, count, change_us)| {
        let mut it = Fragment::default();
        it.step(0, Step::Reset(replica));
        it.step(0, Step::Reset(other(replica)));
        for round in 0..30 {
            it.reads(100 * MS + round * 120 * MS, replica, count, 400 * MS);
        }
        if let Some(at_us) = change_us {
            it.step(at_us, change(replica, true));
        }
        it
    })
}
