//! Tests how a configuration text is split into parts.

use std::collections::BTreeSet;
use std::fmt::Write;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use wigeonhall_fleet::PART_MAX_BYTES;
use wigeonhall_fleet::PART_MEAN_BYTES;
use wigeonhall_fleet::PART_MIN_BYTES;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::split_text;

/// Splits a text, checks the properties that hold for every text and returns the hashes of
/// its parts.
fn checked_split(text: &str) -> Vec<PartHash> {
    let parts = split_text(text);
    assert_eq!(parts.concat(), text);
    let (last, others) = parts
        .split_last()
        .map_or((0, &[][..]), |it| (it.0.len(), it.1));
    assert!(last <= PART_MAX_BYTES && (last > 0 || text.is_empty()));
    for part in others {
        assert!((PART_MIN_BYTES..=PART_MAX_BYTES).contains(&part.len()));
    }
    parts.iter().map(|it| PartHash::of(it)).collect()
}

/// Returns a line of an entry, of `length` bytes or a little more.
fn line(rng: &mut fastrand::Rng, indent: usize, length: usize) -> String {
    let mut line = " ".repeat(indent);
    while line.len() < length {
        write!(line, "r{}: north 10.0.0.1:80, ", rng.u32(..)).unwrap();
    }
    line + "\n"
}

fn max_changed_parts(lines: &[String], separator: &str, seed: u64) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let before: BTreeSet<_> = checked_split(&lines.join(separator)).into_iter().collect();
    let edit = |_| {
        let mut edited = lines.to_vec();
        let at = rng.usize(..lines.len());
        match rng.u8(..3) {
            0 => drop(edited.remove(at)),
            1 => edited.insert(at, line(&mut rng, 2, 60)),
            _ => edited[at] = line(&mut rng, 2, 60),
        }
        let after = checked_split(&edited.join(separator));
        after.iter().filter(|it| !before.contains(it)).count()
    };
    (0..20).map(edit).max().unwrap()
}

/// Guards against an edit that changes the parts after it: each change would then send much
/// of the text to every node.
#[test]
fn an_edit_of_one_line_changes_few_parts() {
    for seed in 0..3 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let entries: Vec<_> = (0..12_000).map(|_| line(&mut rng, 2, 100)).collect();
        let parts = checked_split(&entries.concat()).len();
        let expected = entries.concat().len() / PART_MEAN_BYTES;
        assert!((expected / 2..expected * 2).contains(&parts), "{parts}");
        // An edit may change a few parts next to it.
        assert!(max_changed_parts(&entries, "", seed) <= 6);
        // One entry that is longer than a part, and one long line in YAML flow style.
        let nested: Vec<_> = (0..2_000).map(|_| line(&mut rng, 6, 100)).collect();
        assert!(max_changed_parts(&nested, "", seed) <= 6);
        let flow: Vec<_> = nested.iter().map(|it| it.trim().to_owned()).collect();
        assert!(max_changed_parts(&flow, ", ", seed) <= 6);
    }
}

/// Guards against a split that loses bytes, cuts within a character or exceeds the length
/// bounds of parts.
#[test]
fn concatenated_parts_equal_the_text() {
    for text in ["", "a", "\n", "  \r\n", "é"] {
        checked_split(text);
    }
    checked_split(&"é".repeat(50_000));
    checked_split(&"  x: 1\n".repeat(20_000));
    checked_split(&",".repeat(100_000));
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let piece = prop_oneof![
        " {0,6}[a-zé,:]{0,40}(\r)?\n",
        "[a-z ]{0,9}",
        "\\PC{1,300}",
        "[é,]{600}"
    ];
    let texts = proptest::collection::vec((piece, 1..200_usize), 0..40);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&texts, |pieces| {
        let text = pieces
            .iter()
            .map(|it| it.0.repeat(it.1))
            .collect::<String>();
        checked_split(&text);
        Ok(())
    });
    assert_eq!(result, Ok(()));
}

/// Guards against a hash that differs between releases or does not parse back.
#[test]
fn hashes_are_stable() {
    let hash = PartHash::of("abc");
    assert_eq!(hash.to_string(), "ba7816bf8f01cfea414140de5dae2223");
    assert_eq!(hash.to_string().parse(), Ok(hash));
    assert!(
        "BA7816BF8F01CFEA414140DE5DAE2223"
            .parse::<PartHash>()
            .is_err()
    );
    assert!(
        "+a7816bf8f01cfea414140de5dae2223"
            .parse::<PartHash>()
            .is_err()
    );
}
