//! Runs random sessions and checks every action against an oracle that knows the contents of
//! every shard.
//!
//! Detects answers that mix versions, wrong coverage, repeated rows, wrong "not run" verdicts,
//! missing or repeated answers, writes sent again without proof that they did not run, and
//! sub-requests to replicas that are out of service. `WIGEONHALL_FUZZ_CASES` sets the number
//! of cases.

mod oracle;
mod prelude;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use oracle::KEYS;
use oracle::Oracle;
use oracle::REPLICAS;
use oracle::StoreBehaviour;
use oracle::TargetBehaviour;
use prelude::*;

/// One step of a session; `run` names the values of each variant. `Roll` adds the newest
/// index version to those that a replica serves, or drops its oldest one.
#[derive(Clone, Copy, Debug)]
enum Step {
    Advance(u64),
    CallerDisconnected(usize),
    DataCentreOut(u32, bool),
    DeliverReports(usize),
    NodeLost(u32),
    ReplicaOut(u32, bool),
    Owners(u32, u32),
    Read(u64, u64, bool, u64),
    Repartition(u64, u64, u64),
    Reply(usize, TargetBehaviour, usize, bool),
    Report(u32),
    Roll(u32, bool, u64),
    RollAll(bool),
    ReplicaState(u32, ReplicaState),
    StoreResult(usize, StoreBehaviour),
    UnexpectedReply(usize, bool),
    Write(u8, u64, u64),
}

fn target_behaviour() -> impl Strategy<Value = TargetBehaviour> {
    prop_oneof![
        8 => Just(TargetBehaviour::Answer),
        1 => any::<bool>().prop_map(|ran| TargetBehaviour::Fail { ran }),
        1 => Just(TargetBehaviour::VersionGone),
        1 => Just(TargetBehaviour::OtherVersion),
        2 => Just(TargetBehaviour::Refuse),
        1 => Just(TargetBehaviour::Short),
    ]
}

fn store_behaviour() -> impl Strategy<Value = StoreBehaviour> {
    prop_oneof![
        8 => Just(StoreBehaviour::Apply),
        2 => Just(StoreBehaviour::ApplyLoseReply),
        1 => Just(StoreBehaviour::ApplyUnknown),
        1 => Just(StoreBehaviour::Drop),
    ]
}

fn state() -> impl Strategy<Value = ReplicaState> {
    prop_oneof![
        4 => Just(ReplicaState::Warm),
        1 => Just(ReplicaState::Cold),
        1 => Just(ReplicaState::Leaving),
        1 => Just(ReplicaState::Out),
        1 => Just(ReplicaState::Unreachable),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let replica = 0..REPLICAS;
    let index = any::<usize>();
    prop_oneof![
        6 => prop_oneof![0..2_000_u64, 0..150_000_u64].prop_map(Step::Advance),
        1 => index.prop_map(Step::CallerDisconnected),
        1 => (0..2_u32, prop::bool::weighted(0.3)).prop_map(|(a, b)| Step::DataCentreOut(a, b)),
        4 => (1..6_usize).prop_map(Step::DeliverReports),
        1 => (0..4_u32).prop_map(Step::NodeLost),
        1 => (replica.clone(), prop::bool::weighted(0.4)).prop_map(|(a, b)| Step::ReplicaOut(a, b)),
        1 => (0..2_u32, 0..4_u32).prop_map(|(a, b)| Step::Owners(a, b)),
        6 => (0..KEYS, 1..=KEYS, any::<bool>(), 1_000..300_000_u64)
            .prop_map(|(start, width, full, within)| Step::Read(start, width, full, within)),
        1 => (0..KEYS, 0..KEYS, prop_oneof![Just(0_u64), 0..16_u64])
            .prop_map(|(a, b, c)| Step::Repartition(a, b, c)),
        20 => (index, target_behaviour(), index, prop::bool::weighted(0.05))
            .prop_map(|(a, b, c, d)| Step::Reply(a, b, c, d)),
        3 => replica.clone().prop_map(Step::Report),
        2 => (replica.clone(), any::<bool>(), prop_oneof![3 => Just(0_u64), 1 => 0..20_u64])
            .prop_map(|(a, b, c)| Step::Roll(a, b, c)),
        2 => any::<bool>().prop_map(Step::RollAll),
        1 => (replica, state()).prop_map(|(a, b)| Step::ReplicaState(a, b)),
        8 => (index, store_behaviour()).prop_map(|(a, b)| Step::StoreResult(a, b)),
        2 => (index, any::<bool>()).prop_map(|(a, b)| Step::UnexpectedReply(a, b)),
        3 => (0..3_u8, 0..KEYS, 1_000..300_000_u64).prop_map(|(a, b, c)| Step::Write(a, b, c)),
    ]
}

fn run(oracle: &mut Oracle, step: Step) {
    match step {
        Step::Advance(by_us) => oracle.advance(by_us),
        Step::CallerDisconnected(index) => oracle.caller_disconnected(index),
        Step::DataCentreOut(data_centre, out) => oracle.set_data_centre_out(data_centre, out),
        Step::DeliverReports(count) => oracle.deliver_reports(count),
        Step::NodeLost(node) => oracle.node_lost(node),
        Step::ReplicaOut(replica, out) => oracle.set_out(replica, out),
        Step::Owners(data_centre, shift) => oracle.change_owners(data_centre, shift),
        Step::Read(start, width, full, within_us) => {
            let demand = if full {
                CoverageDemand::Full
            } else {
                CoverageDemand::Partial
            };
            oracle.read(start, (start + width).min(KEYS), demand, within_us);
        }
        Step::Repartition(first, second, overlap) => oracle.repartition(first, second, overlap),
        Step::Reply(index, behaviour, case, lose) => oracle.reply(index, behaviour, case, lose),
        Step::Report(replica) => oracle.report(replica),
        Step::Roll(replica, drop_oldest, missing) => oracle.roll(replica, drop_oldest, missing),
        Step::RollAll(drop_oldest) => {
            for replica in 0..REPLICAS {
                oracle.roll(replica, drop_oldest, 0);
                oracle.report(replica);
            }
        }
        Step::ReplicaState(replica, state) => oracle.set_state(replica, state),
        Step::StoreResult(index, behaviour) => oracle.store(index, behaviour),
        Step::UnexpectedReply(index, misdirect) => oracle.unexpected_reply(index, misdirect),
        Step::Write(request, key, within_us) => oracle.write(request, key, within_us),
    }
}

fn cases() -> u32 {
    let cases = std::env::var("WIGEONHALL_FUZZ_CASES");
    cases.map_or(300, |it| {
        it.parse().expect("WIGEONHALL_FUZZ_CASES is a number")
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    #[test]
    fn agrees_with_the_oracle(seed in any::<u64>(), steps in prop::collection::vec(step(), 1..150)) {
        let mut oracle = Oracle::new(seed);
        for step in steps {
            run(&mut oracle, step);
        }
        oracle.finish();
    }
}
