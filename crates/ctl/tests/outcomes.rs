//! Random losses, delays, outages and races, from fixed seeds, against the record of
//! what took effect.

mod fake;

use crate::fake::Fake;
use crate::fake::PutFate;
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

/// What an operator was told of the change with this id.
#[derive(Debug)]
enum Told {
    Accepted(u64),
    NotAccepted,
    Open,
}

/// Applies a text of its own as `author`.
fn change(fake: &Fake, author: &str, number: u64) -> Told {
    let deadline = format!("deadline_ms: {}", 100 + number);
    let text = TEXT.replace("deadline_ms: 100", &deadline);
    match apply(&fake.operator(author), &text, None) {
        Ok(applied) => {
            assert!(applied.change_id.is_some());
            Told::Accepted(applied.generation)
        }
        Err(CtlError::OutcomeUnknown { .. }) => Told::Open,
        Err(CtlError::Conflict { .. } | CtlError::Store(_) | CtlError::NoConfiguration) => {
            Told::NotAccepted
        }
        Err(error) => panic!("{error}"),
    }
}

fn fate(random: &mut Random, number: u64) -> Option<PutFate> {
    let rival = move |fake: &Fake| {
        let fates = std::mem::take(&mut fake.state().fates);
        change(fake, &format!("rival{number}"), 1_000 + number);
        fake.state().fates = fates;
    };
    match random.below(10) {
        0 => Some(PutFate::After(Box::new(rival))),
        1 => Some(PutFate::Late),
        2 => Some(PutFate::LostAfter(Box::new(rival))),
        3 => Some(PutFate::ReplyLost),
        4 => Some(PutFate::ReplyLostThen(Box::new(rival))),
        5 => Some(PutFate::ReplyLostThenDown),
        6 => Some(PutFate::RequestLost),
        7 => Some(PutFate::Stuck),
        _ => None,
    }
}

/// Guards against a change that is reported as accepted and is not, that is reported as
/// not accepted and takes effect then or later, or that takes effect twice.
#[test]
fn operators_are_told_what_took_effect() {
    let mut seen = [0; 3];
    for seed in 0..CASES {
        let mut random = Random(seed);
        let fake = Fake::default();
        let mut told = Vec::new();
        for number in 0..CHANGES {
            for step in 0..2 {
                if let Some(fate) = fate(&mut random, 10 * number + step) {
                    fake.state().fates.push_back(fate);
                }
            }
            fake.state().failing_reads = random.below(8).saturating_sub(5) as u32;
            fake.state().history_fails = random.below(8) == 0;
            let author = format!("op{number}");
            told.push((format!("{author}-1"), change(&fake, &author, number)));
            fake.state().down = false;
            fake.state().fates.clear();
            if random.below(2) == 0 {
                fake.deliver();
            }
        }
        fake.deliver();
        for (change_id, told) in told {
            let state = fake.state();
            let effects = state.effects.iter().filter(|(_, id)| *id == change_id);
            let versions = effects.map(|(version, _)| *version).collect::<Vec<_>>();
            let (kind, right) = match told {
                Told::Accepted(generation) => (0, versions == [generation]),
                Told::NotAccepted => (1, versions.is_empty()),
                Told::Open => (2, versions.len() <= 1),
            };
            seen[kind] += 1;
            assert!(right, "seed {seed}: {change_id} {told:?} but {versions:?}");
        }
    }
    // Each of the outcomes must occur often, or the losses test nothing.
    assert!(seen.iter().all(|count| *count > 20), "{seen:?}");
}
