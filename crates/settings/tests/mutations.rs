//! Random mutations of a valid deployment text, from fixed seeds.

use wigeonhall_settings::Finding;
use wigeonhall_settings::Place;
use wigeonhall_settings::SettingsError;
use wigeonhall_settings::check;
use wigeonhall_settings::parse;
use wigeonhall_settings::set_out;

const DEMO: &str = include_str!("../../../examples/demo.yaml");
const CASES: u64 = 500;
/// Fragments that change the structure of a text when inserted.
const FRAGMENTS: [&str; 12] = [
    ":", "{", "}", "[", "- ", "#", "\n", "  ", "&a ", "*a", "out", "\"",
];

/// The `splitmix64` random number generator.
struct SplitMix64(u64);

impl SplitMix64 {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) as usize % limit
    }
}

fn mutated(random: &mut SplitMix64) -> String {
    let mut lines = DEMO.lines().map(str::to_owned).collect::<Vec<_>>();
    for _ in 0..=random.below(3) {
        let at = random.below(lines.len());
        let other = random.below(lines.len());
        match random.below(4) {
            0 => drop(lines.remove(at)),
            1 => lines.insert(at, lines[other].clone()),
            2 => lines.swap(at, other),
            _ => {
                let column = random.below(lines[at].len() + 1);
                lines[at].insert_str(column, FRAGMENTS[random.below(FRAGMENTS.len())]);
            }
        }
    }
    lines.join("\n")
}

/// Guards against a panic on any text, against a text that is rejected without an error or
/// accepted with one, and against findings whose line is past the end of the text.
#[test]
fn text_is_rejected_exactly_if_it_has_an_error() {
    let mut accepted = 0;
    for seed in 0..CASES {
        let text = mutated(&mut SplitMix64(seed));
        let findings = check(&text);
        let rejected = findings.iter().any(Finding::is_error);
        assert_eq!(parse(&text).is_err(), rejected, "seed {seed}");
        let last = text.lines().count() as u64 + 1;
        assert!(findings.iter().all(|it| it.line <= last), "seed {seed}");
        accepted += u64::from(!rejected);
    }
    // Both outcomes must occur often; otherwise the mutations do not test anything.
    assert!(
        accepted > CASES / 20 && accepted < CASES - CASES / 20,
        "{accepted}"
    );
}

/// Guards against an edit that changes more than the `out` flag, or that cannot be reverted.
#[test]
fn edit_changes_only_the_flag_or_fails() {
    let mut edited = 0;
    for seed in 0..CASES {
        let text = mutated(&mut SplitMix64(seed));
        let Ok(before) = parse(&text) else {
            continue;
        };
        let edited_text = match set_out(&text, Place::DataCentre("north"), true) {
            Ok(edited_text) => edited_text,
            Err(SettingsError::UnknownName { .. } | SettingsError::EditUnsupported { .. }) => {
                continue;
            }
            Err(error) => panic!("seed {seed}: {error}"),
        };
        let mut after = parse(&edited_text).unwrap();
        assert!(after.data_centres["north"].out, "seed {seed}");
        after.data_centres.get_mut("north").unwrap().out = before.data_centres["north"].out;
        assert_eq!(before, after, "seed {seed}");
        let reverted_text = set_out(&edited_text, Place::DataCentre("north"), false).unwrap();
        assert!(
            !parse(&reverted_text).unwrap().data_centres["north"].out,
            "seed {seed}"
        );
        edited += 1;
    }
    assert!(edited > CASES / 20, "{edited}");
}
