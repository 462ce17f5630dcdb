//! Short directed sequences of calls and faults, placed at random times in random cases.
//!
//! Each leads to a state that independent random steps reach too rarely, and varies its
//! times by some milliseconds.

use std::sync::OnceLock;

use proptest::prelude::*;

use super::Call;
use super::random::node;
use super::random::replica;
use crate::common;
use crate::common::MS;
use crate::common::SECOND;
use wigeonhall_measure::Fault;
use wigeonhall_measure::MeasuredDeployment;
use wigeonhall_measure::MessageFaults;
use wigeonhall_measure::Step;
use wigeonhall_measure::StoreMode;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// Maximum duration of a fragment.
pub const MAX_FRAGMENT_US: u64 = 5 * SECOND;

/// Lowest request number of the fragments; random writes use lower ones.
const MIN_REQUEST: u32 = 100;

/// Number of shards. The two replicas of a shard have consecutive keys.
const SHARDS: u64 = 3;

/// Calls and steps, each with its offset from the start of the fragment.
#[derive(Clone, Debug, Default)]
pub struct Fragment {
    pub calls: Vec<(u64, Call)>,
    pub steps: Vec<(u64, Step)>,
}

impl Fragment {
    /// Adds reads of the replica's shard at every node.
    fn reads(&mut self, at_us: u64, replica: ReplicaKey, count: u8, deadline_us: u64) {
        for key in 0..super::NODES {
            let call = Call::Read {
                count,
                deadline_us,
                node: NodeKey(key),
                partial: false,
                range: shard_range(replica),
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
            request: MIN_REQUEST + request,
        };
        self.calls.push((at_us, call));
    }
}

/// Returns the key range of the shard of a replica.
fn shard_range(replica: ReplicaKey) -> KeyRange {
    let index = u64::from(replica.0 / 2);
    let end = KeyRange::WHOLE.end;
    KeyRange {
        start: end * index / SHARDS,
        end: end * (index + 1) / SHARDS,
    }
}

/// Returns a request number, relative to the fragments' lowest one, whose key (one of 16)
/// lies in the shard of a replica.
fn request_in_shard(replica: ReplicaKey, index: u32) -> u32 {
    // The key of request n is number n % 16 of 16 keys spread evenly over the key space, so that
    // each of the 3 shards holds at least 5 of them.
    let key = 16 * (replica.0 / 2) / 3 + 1 + index % 4;
    (key + 16 - MIN_REQUEST % 16) % 16
}

/// Returns the initial owner of a replica and the other node of its data centre.
fn owner_and_other_node(replica: ReplicaKey) -> (NodeKey, NodeKey) {
    static SITE: OnceLock<MeasuredDeployment> = OnceLock::new();
    // The deployment of all cases.
    let deployment = &SITE.get_or_init(|| common::site(2, 2, 4)).deployment;
    let data_centre = deployment.replicas[&replica].data_centre;
    let earlier_replicas = deployment.replicas.range(..replica);
    let index = earlier_replicas
        .filter(|(_, it)| it.data_centre == data_centre)
        .count();
    let vms = deployment
        .vms
        .iter()
        .filter(|(_, it)| it.data_centre == data_centre);
    let members: Vec<NodeKey> = vms.map(|(&key, _)| key).collect();
    (members[index % 2], members[(index + 1) % 2])
}

/// Moves the ownership of a replica to the other node of its data centre.
fn move_to_other_node(replica: ReplicaKey, handed_over: bool) -> Step {
    Step::MoveReplica {
        handed_over,
        replica,
        to: owner_and_other_node(replica).1,
    }
}

fn other_replica(replica: ReplicaKey) -> ReplicaKey {
    ReplicaKey(replica.0 ^ 1)
}

/// Generates any of the fragments.
pub fn any_fragment() -> impl Strategy<Value = Fragment> {
    prop_oneof![
        2 => owner_change_at_full_load(),
        1 => target_past_deadlines(),
        2 => drain_with_lost_messages(),
        2 => owner_stop_during_write(),
        2 => abort_during_write(),
        2 => competing_claims(),
        2 => reads_during_owner_change(),
        1 => paused_owner(),
        1 => overloaded_cold_start(),
    ]
}

/// Changes the owner while a slow target runs as many requests as its limit allows.
fn owner_change_at_full_load() -> impl Strategy<Value = Fragment> {
    let times = (5 * MS..40 * MS, 0..40 * MS);
    (replica(), 15.0..40.0_f64, times).prop_map(|(replica, factor, (move_us, gap_us))| {
        let mut it = Fragment::default();
        it.fault(0, Fault::TargetSlow(replica, factor));
        it.reads(MS, replica, 4, 500 * MS);
        it.step(4 * MS + move_us, move_to_other_node(replica, true));
        it.reads(4 * MS + move_us + gap_us, replica, 4, 500 * MS);
        it.fault(SECOND, Fault::TargetSlow(replica, 1.0));
        it
    })
}

/// Lets a target run requests past their deadlines while more requests arrive and its owner
/// may change.
fn target_past_deadlines() -> impl Strategy<Value = Fragment> {
    let overrun_us = 50 * MS..600 * MS;
    let change_us = prop::option::of(0..300 * MS);
    (replica(), overrun_us, 15.0..40.0_f64, change_us).prop_map(
        |(replica, overrun_us, factor, change_us)| {
            let mut it = Fragment::default();
            it.fault(0, Fault::TargetSlow(replica, factor));
            it.fault(0, Fault::TargetSlow(other_replica(replica), factor));
            it.step(0, Step::Overrun(replica, overrun_us));
            for round in 0..6 {
                it.reads(MS + round * 50 * MS, replica, 2, 30 * MS);
            }
            if let Some(at_us) = change_us {
                it.step(at_us, move_to_other_node(replica, true));
            }
            it.step(SECOND, Step::Overrun(replica, 0));
            it.fault(SECOND, Fault::TargetSlow(replica, 1.0));
            it.fault(SECOND, Fault::TargetSlow(other_replica(replica), 1.0));
            it
        },
    )
}

/// Drains a target while messages between nodes are lost, so that the entry nodes do not
/// learn of the drain; its owner may change meanwhile.
fn drain_with_lost_messages() -> impl Strategy<Value = Fragment> {
    // Around the end of the message loss, which starts at 40 ms.
    let near_loss_end = 3_080 * MS..3_100 * MS;
    let change_us = prop::option::of(prop_oneof![SECOND..3 * SECOND, near_loss_end]);
    (replica(), 3_050 * MS..3_060 * MS, change_us).prop_map(|(replica, loss_us, change_us)| {
        let mut it = Fragment::default();
        // Entry nodes prefer a replica that they have read from.
        it.reads(0, replica, 1, 300 * MS);
        let message_faults = MessageFaults {
            duplicated: 0,
            late: 0,
            lost: 100,
        };
        it.step(40 * MS, Step::MessageFaults(message_faults, loss_us));
        it.step(41 * MS, Step::Drain(replica));
        if let Some(at_us) = change_us {
            it.step(at_us, move_to_other_node(replica, true));
        }
        for round in 0..20 {
            it.reads(38 * MS + loss_us + round * 400, replica, 1, 300 * MS);
        }
        it.step(4_500 * MS, Step::RestartTarget(replica));
        it
    })
}

/// Stops a node around the time at which it sends a write as an owner.
fn owner_stop_during_write() -> impl Strategy<Value = Fragment> {
    let times = (3_000..16 * MS, 30 * MS..500 * MS);
    (replica(), node(), node(), 1.0..20.0_f64, times).prop_map(
        |(replica, stopped_node, repeat_node, factor, (stop_us, repeat_us))| {
            let mut it = Fragment::default();
            it.fault(0, Fault::TargetSlow(replica, factor));
            it.fault(0, Fault::TargetSlow(other_replica(replica), factor));
            for index in 0..4 {
                let from = NodeKey((stopped_node.0 + 1 + index % 3) % super::NODES);
                let request = request_in_shard(replica, index);
                it.write(MS, from, request, 400 * MS);
                it.write(MS + stop_us + repeat_us, repeat_node, request, 400 * MS);
                it.write(600 * MS, from, request, 400 * MS);
            }
            it.step(MS + stop_us, Step::StopNode(stopped_node));
            it.fault(SECOND, Fault::TargetSlow(replica, 1.0));
            it.fault(SECOND, Fault::TargetSlow(other_replica(replica), 1.0));
            it
        },
    )
}

/// Aborts the running requests of a target shortly before they finish.
fn abort_during_write() -> impl Strategy<Value = Fragment> {
    (replica(), node(), 1.0..20.0_f64, 3_000..30 * MS).prop_map(
        |(replica, from, factor, abort_us)| {
            let mut it = Fragment::default();
            it.fault(0, Fault::TargetSlow(replica, factor));
            it.fault(0, Fault::TargetSlow(other_replica(replica), factor));
            for index in 0..4 {
                let request = request_in_shard(replica, index);
                it.write(MS, from, request, 300 * MS);
                it.write(MS + 2 * abort_us + 10 * MS, from, request, 300 * MS);
            }
            it.step(MS + abort_us, Step::AbortRequests(replica));
            it.step(MS + abort_us, Step::AbortRequests(other_replica(replica)));
            it.fault(SECOND, Fault::TargetSlow(replica, 1.0));
            it.fault(SECOND, Fault::TargetSlow(other_replica(replica), 1.0));
            it
        },
    )
}

/// Lets two attempts of a write compete for its released claim (the stored record that lets one
/// attempt run it) while the store is slow: a repeat, and the first attempt, resent by a load
/// balancer to another node.
fn competing_claims() -> impl Strategy<Value = Fragment> {
    let nodes = (node(), 1..super::NODES, 1..super::NODES);
    let resend = (0.2..0.9_f64, 0.5..0.98_f64);
    (replica(), nodes, 40 * MS..150 * MS, resend).prop_map(
        |(replica, (first, second, third), slow_us, (resend_share, deadline_share))| {
            let mut it = Fragment::default();
            let node = |offset| NodeKey((first.0 + offset) % super::NODES);
            let request = request_in_shard(replica, 0);
            it.reads(0, replica, 1, 300 * MS);
            it.step(50 * MS, Step::Drain(replica));
            it.step(50 * MS, Step::Drain(other_replica(replica)));
            it.write(48 * MS, first, request, 300 * MS);
            it.step(500 * MS, Step::RestartTarget(replica));
            it.step(500 * MS, Step::RestartTarget(other_replica(replica)));
            it.step(2_900 * MS, Step::Store(StoreMode::Slow(slow_us)));
            let repeat_us = 3_000 * MS;
            it.write(repeat_us, node(second), request, 900 * MS);
            let slow = slow_us as f64;
            let resend_us = (slow * resend_share) as u64;
            // The deadline lies between the execution of the repeat and the end of the resent
            // attempt's second store call.
            let earliest_us = 2 * slow_us - resend_us + 15 * MS;
            let deadline_us = earliest_us + (resend_us as f64 * deadline_share) as u64;
            let resend = Call::Resend {
                deadline_us,
                node: node(third),
                request: MIN_REQUEST + request,
            };
            it.calls.push((repeat_us + resend_us, resend));
            it.step(3_900 * MS, Step::Store(StoreMode::Up));
            it
        },
    )
}

/// Sends reads to the old owner until the new one takes over.
fn reads_during_owner_change() -> impl Strategy<Value = Fragment> {
    (replica(), any::<bool>(), 0..600_u64).prop_map(|(replica, handed_over, offset_us)| {
        let mut it = Fragment::default();
        // Slows the other replica, so that routing prefers the one whose owner changes.
        it.fault(0, Fault::TargetSlow(other_replica(replica), 20.0));
        it.reads(MS, replica, 4, 500 * MS);
        it.step(300 * MS, move_to_other_node(replica, handed_over));
        for round in 0..40 {
            it.reads(295 * MS + offset_us + round * 400, replica, 1, 300 * MS);
        }
        it.fault(SECOND, Fault::TargetSlow(other_replica(replica), 1.0));
        it
    })
}

/// Pauses an owner beyond its lease while another node takes over without a hand-over.
fn paused_owner() -> impl Strategy<Value = Fragment> {
    (replica(), 3_400 * MS..4_800 * MS).prop_map(|(replica, pause_us)| {
        let (owner, _) = owner_and_other_node(replica);
        let mut it = Fragment::default();
        it.step(0, Step::PauseNode(owner, pause_us));
        it.step(MS, move_to_other_node(replica, false));
        it.reads(3_350 * MS, replica, 2, 300 * MS);
        it.reads(pause_us, replica, 2, 300 * MS);
        it
    })
}

/// Restarts both replicas of a shard cold under more load than their cold limits allow; the
/// owner of one may change meanwhile.
fn overloaded_cold_start() -> impl Strategy<Value = Fragment> {
    let change_us = prop::option::of(500 * MS..3 * SECOND);
    (replica(), 1..4_u8, change_us).prop_map(|(replica, count, change_us)| {
        let mut it = Fragment::default();
        it.step(0, Step::RestartTarget(replica));
        it.step(0, Step::RestartTarget(other_replica(replica)));
        for round in 0..30 {
            it.reads(100 * MS + round * 120 * MS, replica, count, 400 * MS);
        }
        if let Some(at_us) = change_us {
            it.step(at_us, move_to_other_node(replica, true));
        }
        it
    })
}
