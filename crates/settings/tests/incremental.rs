//! Compares reading a text in parts with reading the whole text.

use std::sync::Arc;

use wigeonhall_settings::IncrementalReader;
use wigeonhall_settings::MAX_TEXT_BYTES;
use wigeonhall_settings::check;
use wigeonhall_settings::parse;

const TEXTS: [&str; 3] = [
    include_str!("../../../examples/canopy-vending.yaml"),
    include_str!("../../../examples/delta-furrow.yaml"),
    include_str!("../../../examples/demo.yaml"),
];
/// Number of edit sequences. After each edit, the text is read with the parts that are cached
/// from the previous one.
const SEQUENCES: u64 = 100;
const EDITS: usize = 8;
/// Fragments that change the structure of a text when inserted.
const FRAGMENTS: [&str; 20] = [
    ":",
    "{",
    "}",
    "[",
    "]",
    "- ",
    "#",
    " #",
    "\n",
    "  ",
    "&a ",
    "*a",
    "out",
    "\"",
    "'",
    "|\n",
    "\r",
    "\n---\n",
    "x: 1\n",
    "{ out: true,\n  region: r }",
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

/// Applies one random edit: deletes, repeats, swaps, moves or indents lines, replaces names
/// and addresses in a line, or inserts a fragment.
fn edit(lines: &mut Vec<String>, random: &mut SplitMix64) {
    let at = random.below(lines.len());
    let other = random.below(lines.len());
    match random.below(8) {
        0 => drop(lines.remove(at)),
        1 | 2 => lines.insert(at, lines[other].clone()),
        3 => lines.swap(at, other),
        4 => {
            let end = lines.len().min(at + 1 + random.below(12));
            let moved = lines.drain(at..end).collect::<Vec<_>>();
            let to = random.below(lines.len() + 1);
            lines.splice(to..to, moved);
        }
        5 => {
            let content = lines[at].trim_start().to_owned();
            lines[at] = format!("{}{content}", " ".repeat(random.below(7)));
        }
        6 => {
            let moved = lines[at].replace("127.1", "127.2");
            lines[at] = moved.replace("north", "south");
        }
        _ => {
            let column = random.below(lines[at].len() + 1);
            lines[at].insert_str(column, FRAGMENTS[random.below(FRAGMENTS.len())]);
        }
    }
    if lines.is_empty() {
        lines.push(String::new());
    }
}

/// Splits a text before random entries, or with `within_lines` at any character.
fn split(text: &str, within_lines: bool, random: &mut SplitMix64) -> Vec<Arc<str>> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let mut at = 1 + random.below(900);
        while !rest.is_char_boundary(at.min(rest.len())) {
            at += 1;
        }
        let mut at = at.min(rest.len());
        while !within_lines && at < rest.len() && !is_entry(rest, at) {
            at += 1;
        }
        parts.push(Arc::from(&rest[..at]));
        rest = &rest[at..];
    }
    parts
}

/// Returns whether a line that is indented by 0 or 2 spaces, as entries are, starts at `at`.
fn is_entry(text: &str, at: usize) -> bool {
    let bytes = text.as_bytes();
    let content = bytes[at..].iter().position(|it| *it != b' ');
    bytes[at - 1] == b'\n' && matches!(content, Some(0 | 2))
}

/// Asserts that `reader`, which may have parts of other texts cached, returns the result of
/// the whole text. Returns whether the text is accepted.
fn assert_same_as_whole_text(
    reader: &mut IncrementalReader,
    text: &str,
    parts: &[Arc<str>],
    case: &str,
) -> bool {
    assert_eq!(reader.check(parts), check(text), "{case}:\n{text}");
    let whole = parse(text);
    let accepted = whole.is_ok();
    assert!(reader.parse(parts) == whole, "{case}:\n{text}");
    assert!(reader.cached_part_count() <= parts.len(), "{case}");
    accepted
}

/// Guards against a cached part that is used after its text changed, against line numbers
/// that omit the lines of earlier parts, and against a part that parses differently alone
/// than between its neighbours.
#[test]
fn parts_give_the_result_of_the_whole_text() {
    let (mut accepted, mut read_in_parts, mut total) = (0, 0, 0);
    for seed in 0..SEQUENCES {
        let mut random = SplitMix64(seed);
        // Mostly the demo, which is the smallest text.
        let text = TEXTS[random.below(9).min(2)];
        let first = text.lines().map(str::to_owned).collect::<Vec<_>>();
        let mut lines = first.clone();
        let mut reader = IncrementalReader::new(MAX_TEXT_BYTES);
        for step in 0..EDITS {
            if random.below(3) == 0 {
                lines.clone_from(&first);
            }
            edit(&mut lines, &mut random);
            let text = lines.join("\n") + ["", "\n"][random.below(2)];
            let within_lines = random.below(5) == 0;
            let parts = split(&text, within_lines, &mut random);
            let whole_texts_before = reader.counts().whole_texts;
            let case = format!("seed {seed}, edit {step}");
            let is_accepted = assert_same_as_whole_text(&mut reader, &text, &parts, &case);
            accepted += u64::from(is_accepted);
            read_in_parts += u64::from(reader.counts().whole_texts == whole_texts_before);
            total += 1;
        }
    }
    // All outcomes must occur often; otherwise the edits do not test anything.
    assert!(
        accepted > total / 10 && accepted < total * 9 / 10,
        "{accepted}"
    );
    assert!(
        read_in_parts > total / 5 && read_in_parts < total * 9 / 10,
        "{read_in_parts} of {total}"
    );
}

/// Guards against a small edit of a valid text that parses more than the changed part, and
/// against parts that stay cached although the latest text doesn't have them.
#[test]
fn edit_parses_only_the_changed_part() {
    for text in TEXTS {
        let parts = split(text, false, &mut SplitMix64(1));
        let mut reader = IncrementalReader::new(MAX_TEXT_BYTES);
        reader.parse(&parts).unwrap();
        let mut edited = parts.clone();
        let last = edited.last_mut().unwrap();
        *last = Arc::from(last.replace(":80", ":90"));
        assert!(reader.parse(&edited).unwrap() == parse(&edited.concat()).unwrap());
        let counts = reader.counts();
        assert_eq!(counts.parsed_parts, parts.len() as u64 + 1);
        assert_eq!(counts.reused_parts, parts.len() as u64 - 1);
        assert_eq!(counts.whole_texts, 0);
        assert_eq!(reader.cached_part_count(), parts.len());
    }
}

/// Guards against parts that are parsed alone although YAML constructs span them, such as
/// anchors, flow style, block scalars and long comments. Such a text must be parsed as a
/// whole.
#[test]
fn parts_that_cannot_stand_alone_are_parsed_as_a_whole() {
    let long_comment = format!("vms:\n{}  a: x\n", "# c\n".repeat(40));
    let cases = [
        ("a: &a\n  x: 1\n", "b: *a\n"),
        ("vms: { a: x,\n", "  b: y }\n"),
        ("vms:\n    a: x\n", "  b: y\n"),
        ("region: a\n", "  b: y\n"),
        ("region: a", "vms:\n  b: y\n"),
        ("vms: { a: x }\n", "  b: y\n"),
        ("vms: ~\n", "  b: y\n"),
        ("region: |\n  a\n", "  b: y\n"),
        ("region: \"a\n", "  b: y\"\n"),
        ("---\nregion: a\n", "vms:\n"),
        // 20 of the 40 comment lines are in each part.
        long_comment.split_at(85),
    ];
    for (first, second) in cases {
        let parts = [Arc::<str>::from(first), Arc::from(second)];
        let mut reader = IncrementalReader::new(MAX_TEXT_BYTES);
        assert_same_as_whole_text(&mut reader, &parts.concat(), &parts, first);
        // One for `check` and one for `parse`.
        assert_eq!(reader.counts().whole_texts, 2, "{first}");
    }
}

/// Guards against parsing the text as a whole when it is split before any of its entries,
/// such as within `defaults` or between a key and its value.
#[test]
fn split_before_any_entry_is_parsed_in_parts() {
    for text in TEXTS {
        let whole = (check(text), parse(text).unwrap());
        for at in (1..text.len()).filter(|at| is_entry(text, *at)) {
            let parts = [Arc::from(&text[..at]), Arc::from(&text[at..])];
            let mut reader = IncrementalReader::new(MAX_TEXT_BYTES);
            let read = (reader.check(&parts), reader.parse(&parts).unwrap());
            assert!(read == whole, "cut at {at}");
            assert_eq!(reader.counts().whole_texts, 0, "cut at {at}");
        }
    }
}
