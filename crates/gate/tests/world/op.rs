//! Random operations on the gates and targets. Gates and replicas are given by index.

use proptest::prelude::*;

use crate::common::MS;
use crate::common::SECOND;

#[derive(Clone, Copy, Debug)]
pub enum Op {
    /// Whether ticks are handled on the way, and the time to advance.
    Advance(bool, u64),
    /// Index among the open sub-requests.
    Cancel(usize),
    SetDraining(usize, bool),
    /// Index among the running requests, and a number that selects the reply.
    Finish(usize, usize),
    /// Gate, and time from now to the end of its lease.
    Lease(usize, u64),
    /// Replica, and whether its owner is lost without a hand-over.
    MoveOwner(usize, bool),
    SetOut(usize, bool),
    /// Gate and replica, as `2 * gate + replica`.
    Probe(usize),
    SetReachable(usize, bool),
    Restart(usize),
    /// Reply to a request that was never sent.
    StrayReply(usize),
    /// Class, whether to submit to the owner (0: to the other gate), replica, time to the
    /// deadline and index version.
    Submit(u32, usize, usize, u64, u64),
}

/// Generates any operation.
pub fn op() -> impl Strategy<Value = Op> {
    let submit = (0..2_u32, 0..8_usize, 0..2_usize, 0..400 * MS, 0..30_u64);
    let advance = |us| (prop::bool::weighted(0.8), 0..us);
    let rarely = || (0..2_usize, prop::bool::weighted(0.3));
    prop_oneof![
        // Targets serve version 7; 1 of 30 sub-requests asks for version 8.
        160 => submit.prop_map(|(class, gate, replica, us, version)| {
            Op::Submit(class, gate, replica, us, 7 + u64::from(version == 0))
        }),
        140 => (0..64_usize, 0..60_usize).prop_map(|(index, choice)| Op::Finish(index, choice)),
        80 => advance(40 * MS).prop_map(|(ticks, us)| Op::Advance(ticks, us)),
        10 => advance(2 * SECOND).prop_map(|(ticks, us)| Op::Advance(ticks, us)),
        40 => (0..4_usize).prop_map(Op::Probe),
        15 => (0..64_usize).prop_map(Op::Cancel),
        5 => (0..64_usize).prop_map(Op::StrayReply),
        12 => (0..2_usize, 0..8 * SECOND).prop_map(|(gate, us)| Op::Lease(gate, us)),
        4 => rarely().prop_map(|(replica, owner_lost)| Op::MoveOwner(replica, owner_lost)),
        5 => rarely().prop_map(|(replica, on)| Op::SetDraining(replica, on)),
        5 => rarely().prop_map(|(replica, on)| Op::SetReachable(replica, !on)),
        5 => rarely().prop_map(|(replica, on)| Op::SetOut(replica, on)),
        2 => (0..2_usize).prop_map(Op::Restart),
    ]
}
