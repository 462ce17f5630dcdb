//! Compares the reported outcome of changes with the updates that took effect, under
//! random losses, delays, outages and conflicts from fixed seeds.

mod fake;

use crate::fake::FakeCluster;
use crate::fake::PutFault;
use crate::fake::TEXT;
use wigeonhall_ctl::CtlError;
use wigeonhall_ctl::apply;

const CASES: u64 = 100;
const CHANGES: u64 = 5;

/// The splitmix64 generator.
#[derive(Clone)]
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }
}

/// Outcome of a change as reported to its operator.
#[derive(Debug)]
enum ReportedOutcome {
    Accepted(u64),
    NotAccepted,
    Unknown,
}

/// Applies, as `author`, a text whose deadline depends on `number`.
fn apply_change(fake: &FakeCluster, author: &str, number: u64) -> ReportedOutcome {
    let deadline = format!("deadline_ms: {}", 100 + number);
    let text = TEXT.replace("deadline_ms: 100", &deadline);
    match apply(&fake.operator(author), &text, None) {
        Ok(applied) => {
            assert!(applied.change_id.is_some());
            ReportedOutcome::Accepted(applied.generation)
        }
        Err(CtlError::OutcomeUnknown { .. }) => ReportedOutcome::Unknown,
        Err(CtlError::Conflict { .. } | CtlError::Store(_) | CtlError::NoConfiguration) => {
            ReportedOutcome::NotAccepted
        }
        Err(error) => panic!("{error}"),
    }
}

/// Draws the fault of an update, if any.
fn random_fault(random: &mut Random, number: u64) -> Option<PutFault> {
    let other_change = move |fake: &FakeCluster| {
        let put_faults = std::mem::take(&mut fake.state().put_faults);
        apply_change(fake, &format!("other{number}"), 1_000 + number);
        fake.state().put_faults = put_faults;
    };
    match random.below(10) {
        0 => Some(PutFault::OtherChangeFirst(Box::new(other_change))),
        1 => Some(PutFault::AppliedAfterNextRead),
        2 => Some(PutFault::OtherChangeThenReplyLost(Box::new(other_change))),
        3 => Some(PutFault::ReplyLost),
        4 => Some(PutFault::ReplyLostThen(Box::new(other_change))),
        5 => Some(PutFault::ReplyLostThenDown),
        6 => Some(PutFault::RequestLost),
        7 => Some(PutFault::Held),
        _ => None,
    }
}

/// Guards against a change that is reported as accepted but is not, that is reported as
/// not accepted but takes effect then or later, or that takes effect twice.
#[test]
fn reported_outcomes_match_stored_changes() {
    let mut counts = [0; 3];
    for seed in 0..CASES {
        let mut random = Random(seed);
        let fake = FakeCluster::default();
        let mut reported = Vec::new();
        for number in 0..CHANGES {
            for step in 0..2 {
                if let Some(fault) = random_fault(&mut random, 10 * number + step) {
                    fake.state().put_faults.push_back(fault);
                }
            }
            fake.state().failing_reads = random.below(8).saturating_sub(5) as u32;
            fake.state().history_fails = random.below(8) == 0;
            let author = format!("op{number}");
            reported.push((format!("{author}-1"), apply_change(&fake, &author, number)));
            fake.state().down = false;
            fake.state().put_faults.clear();
            if random.below(2) == 0 {
                fake.deliver();
            }
        }
        fake.deliver();
        for (change_id, reported) in reported {
            let state = fake.state();
            let effects = state.effects.iter().filter(|(_, id)| *id == change_id);
            let versions = effects.map(|(version, _)| *version).collect::<Vec<_>>();
            let (kind, matches_store) = match reported {
                ReportedOutcome::Accepted(generation) => (0, versions == [generation]),
                ReportedOutcome::NotAccepted => (1, versions.is_empty()),
                ReportedOutcome::Unknown => (2, versions.len() <= 1),
            };
            counts[kind] += 1;
            assert!(
                matches_store,
                "seed {seed}: {change_id} {reported:?} but {versions:?}"
            );
        }
    }
    // Each outcome must occur often; otherwise the faults are not exercised.
    assert!(counts.iter().all(|count| *count > 20), "{counts:?}");
}
