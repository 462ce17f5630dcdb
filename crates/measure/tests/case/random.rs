//! Generators of random cases.

use proptest::prelude::*;

use super::Call;
use super::Case;
use super::NODES;
use super::REPLICAS;
use super::SPAN_US;
use super::fragments::MAX_FRAGMENT_US;
use super::fragments::any_fragment;
use crate::common::MS;
use crate::common::SECOND;
use wigeonhall_measure::DeploymentChange;
use wigeonhall_measure::Fault;
use wigeonhall_measure::MessageFaults;
use wigeonhall_measure::Step;
use wigeonhall_measure::StoreMode;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// Length of the burst of calls around a fault.
const BURST_US: u64 = 60 * MS;

pub fn node() -> impl Strategy<Value = NodeKey> {
    (0..NODES).prop_map(NodeKey)
}

pub fn replica() -> impl Strategy<Value = ReplicaKey> {
    (0..REPLICAS).prop_map(ReplicaKey)
}

fn range() -> impl Strategy<Value = KeyRange> {
    let end = KeyRange::WHOLE.end;
    let sub_range = (0..end - 1)
        .prop_flat_map(move |start| (start + 1..=end).prop_map(move |end| KeyRange { start, end }));
    prop_oneof![2 => Just(KeyRange::WHOLE), 1 => sub_range]
}

fn call() -> impl Strategy<Value = Call> {
    let deadline_us = || prop_oneof![10 * MS..60 * MS, 60 * MS..900 * MS];
    let count = prop_oneof![3 => 1..3_u8, 1 => 3..16_u8];
    prop_oneof![
        3 => (count, deadline_us(), node(), any::<bool>(), range()).prop_map(
            |(count, deadline_us, node, partial, range)| Call::Read {
                count,
                deadline_us,
                node,
                partial,
                range,
            }
        ),
        2 => (deadline_us(), node(), 0..12_u32).prop_map(|(deadline_us, node, request)| {
            Call::Write {
                deadline_us,
                node,
                request,
            }
        }),
    ]
}

fn deployment_change() -> impl Strategy<Value = DeploymentChange> {
    let out = || prop::bool::weighted(0.6);
    prop_oneof![
        ((0..2_u32), out())
            .prop_map(|(key, out)| DeploymentChange::DataCentre(DataCentreKey(key), out)),
        (replica(), out()).prop_map(|(key, out)| DeploymentChange::Replica(key, out)),
    ]
}

fn fault() -> impl Strategy<Value = Step> {
    let slow = (replica(), 2.0..40.0_f64);
    let message_faults = (0..30_u8, 0..30_u8, 0..30_u8, 0..4 * SECOND);
    let store = prop_oneof![
        Just(StoreMode::Up),
        Just(StoreMode::Down),
        (0..600 * MS).prop_map(StoreMode::Slow),
    ];
    prop_oneof![
        2 => slow.prop_map(|(key, factor)| Step::Fault(Fault::TargetSlow(key, factor))),
        1 => replica().prop_map(|key| Step::Fault(Fault::TargetLost(key))),
        1 => replica().prop_map(|key| Step::Fault(Fault::TargetRestart(key))),
        3 => replica().prop_map(Step::RestartTarget),
        2 => Just(Step::Fault(Fault::VersionRoll)),
        2 => store.prop_map(Step::Store),
        2 => Just(Step::LoseStoreReply),
        2 => replica().prop_map(Step::LoseTargetReply),
        2 => (node(), 0..5 * SECOND).prop_map(|(key, us)| Step::WithholdLeases(key, us)),
        3 => (node(), 0..5 * SECOND).prop_map(|(key, us)| Step::PauseNode(key, us)),
        2 => deployment_change().prop_map(Step::Deploy),
        1 => (deployment_change(), deployment_change()).prop_map(|(one, other)| Step::Conflict(one, other)),
        2 => replica().prop_map(Step::Drain),
        1 => replica().prop_map(Step::AbortRequests),
        1 => (replica(), 0..500 * MS).prop_map(|(key, us)| Step::Overrun(key, us)),
        3 => (any::<bool>(), replica(), node()).prop_map(|(handed_over, replica, to)| {
            Step::MoveReplica {
                handed_over,
                replica,
                to,
            }
        }),
        1 => node().prop_map(Step::StopNode),
        3 => message_faults.prop_map(|(duplicated, late, lost, us)| {
            Step::MessageFaults(
                MessageFaults {
                    duplicated,
                    late,
                    lost,
                },
                us,
            )
        }),
    ]
}

/// Generates the calls around a fault, each with its offset from the start of the burst.
fn burst() -> impl Strategy<Value = Vec<(u64, Call)>> {
    prop::collection::vec((0..BURST_US, call()), 0..8)
}

/// Generates a case: calls, faults and sometimes a directed fragment, at random times.
pub fn case() -> impl Strategy<Value = Case> {
    let at_us = || 0..SPAN_US;
    let calls = prop::collection::vec((at_us(), call()), 10..60);
    // Single faults, pairs of faults and larger numbers of them.
    let count = prop_oneof![2 => 1..2_usize, 4 => 2..3_usize, 4 => 3..9_usize];
    let faults = count.prop_flat_map(move |count| {
        prop::collection::vec((0..SPAN_US, fault(), burst()), 0..=count)
    });
    // Index version changes in such quick succession that targets drop the version that a read has
    // pinned for all its sub-requests.
    let gaps = prop::collection::vec(200 * MS..1_500 * MS, 2..6);
    let rolls = prop::option::weighted(0.3, (0..SPAN_US / 2, gaps));
    let plain = (calls, faults, rolls, Just(None));
    // A case with a fragment has fewer other steps, since they could undo the state that the
    // fragment leads to.
    let calls = prop::collection::vec((0..SPAN_US, call()), 0..20);
    let faults = prop::collection::vec((0..SPAN_US, fault(), burst()), 0..3);
    let placed = (0..SPAN_US - MAX_FRAGMENT_US, any_fragment()).prop_map(Some);
    let directed = (calls, faults, Just(None), placed);
    let parts = prop_oneof![plain.boxed(), directed.boxed()];
    (parts, any::<u64>()).prop_map(|((mut calls, faults, rolls, placed), seed)| {
        for (at_us, _, burst) in &faults {
            let burst_start_us = at_us.saturating_sub(BURST_US / 2);
            let burst = burst
                .iter()
                .map(|(after_us, it)| (burst_start_us + after_us, *it));
            calls.extend(burst);
        }
        let faults = faults.into_iter().map(|(at_us, step, _)| (at_us, step));
        let mut faults: Vec<(u64, Step)> = faults.collect();
        let (mut at_us, gaps) = rolls.unwrap_or_default();
        for gap_us in gaps {
            at_us += gap_us;
            faults.push((at_us, Step::Fault(Fault::VersionRoll)));
        }
        let (at_us, fragment) = placed.unwrap_or_default();
        calls.extend(fragment.calls.iter().map(|(us, it)| (at_us + us, *it)));
        faults.extend(fragment.steps.iter().map(|(us, it)| (at_us + us, *it)));
        Case {
            calls,
            faults,
            seed,
        }
    })
}
