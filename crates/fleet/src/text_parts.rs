//! Splits a text into parts at boundaries that depend only on nearby content.

use std::sync::Arc;

use crate::rendezvous;

/// Mean length of a part in bytes.
pub const PART_MEAN_BYTES: usize = 4_096;
/// Largest length of a part in bytes. Only 7 of 1,000 parts are cut because of it: lengths above
/// the minimum are exponentially distributed, and the range is 5 times their mean (e^-5).
pub const PART_MAX_BYTES: usize = 16_384;
/// Smallest length of a part in bytes, except for the last part of a text, so that the
/// number of parts of any text is bounded.
pub const PART_MIN_BYTES: usize = 1_024;

/// Splits a text into parts of 1 to [`PART_MAX_BYTES`] bytes, whose concatenation is the
/// text. All but the last have at least [`PART_MIN_BYTES`].
///
/// Whether a part ends after an entry depends on the content of that entry, so an edit
/// moves only the boundaries next to it. An entry begins at a line of indentation 0 or 2.
#[must_use]
pub fn split_text(text: &str) -> Vec<Arc<str>> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut end = 0;
    for unit in units(text) {
        if end - start >= PART_MIN_BYTES && end - start + unit.len() > PART_MAX_BYTES {
            parts.push(text[start..end].into());
            start = end;
        }
        end += unit.len();
        while end - start > PART_MAX_BYTES {
            let middle = text.floor_char_boundary(start + PART_MAX_BYTES);
            parts.push(text[start..middle].into());
            start = middle;
        }
        if end - start >= PART_MIN_BYTES && ends_part(unit) {
            parts.push(text[start..end].into());
            start = end;
        }
    }
    if start < end {
        parts.push(text[start..end].into());
    }
    parts
}

/// Returns whether a part ends after the unit, by a hash of its content. The probability
/// grows with the length of the unit, so that the length of parts does not depend on that
/// of entries.
fn ends_part(unit: &str) -> bool {
    let hash = rendezvous::rank(rendezvous::name_hash(unit), 0);
    hash % ((PART_MEAN_BYTES - PART_MIN_BYTES) as u64) < unit.len() as u64
}

/// Splits the text into units that stay whole where possible: its entries, the lines of an
/// entry longer than a part, and the items of a line longer than a part.
fn units(text: &str) -> Vec<&str> {
    let long = |piece: &&str| piece.len() > PART_MAX_BYTES;
    let mut units = Vec::new();
    for entry in entries(text) {
        if !long(&entry) {
            units.push(entry);
            continue;
        }
        for line in entry.split_inclusive('\n') {
            if long(&line) {
                units.extend(line.split_inclusive(','));
            } else {
                units.push(line);
            }
        }
    }
    units
}

fn entries(text: &str) -> Vec<&str> {
    let mut entries = Vec::new();
    let (mut start, mut end) = (0, 0);
    for line in text.split_inclusive('\n') {
        if start < end && begins_entry(line) {
            entries.push(&text[start..end]);
            start = end;
        }
        end += line.len();
    }
    if start < end {
        entries.push(&text[start..end]);
    }
    entries
}

fn begins_entry(line: &str) -> bool {
    let content = line.trim_start_matches(' ');
    matches!(line.len() - content.len(), 0 | 2) && !content.starts_with(['\n', '\r', '\t'])
}
