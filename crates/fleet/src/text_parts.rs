//! Cuts a text into parts at places that depend on the content near them only.

use std::sync::Arc;

use crate::rendezvous;

/// Mean length of a part in bytes.
pub const PART_MEAN_BYTES: usize = 4_096;
/// Largest length of a part in bytes; a unit ends within so many bytes without a cut
/// in 7 of 1,000 parts (e^-5).
pub const PART_MAX_BYTES: usize = 16_384;
/// Smallest length of a part in bytes, except for the last part of a text. It bounds
/// the number of parts of any text.
pub const PART_MIN_BYTES: usize = 1_024;

/// Cuts a text into parts of 1 to [`PART_MAX_BYTES`] bytes, whose concatenation is the
/// text. All but the last have at least [`PART_MIN_BYTES`].
///
/// A cut falls after an entry whose own content says so, so that an edit moves no cut
/// but those next to it. An entry begins at a line of indentation 0 or 2.
#[must_use]
pub fn cut(text: &str) -> Vec<Arc<str>> {
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

/// Whether the content of a unit asks for a cut after it. The chance grows with the
/// length, so that the length of parts does not depend on that of entries.
fn ends_part(unit: &str) -> bool {
    let hash = rendezvous::rank(rendezvous::name_hash(unit), 0);
    hash % ((PART_MEAN_BYTES - PART_MIN_BYTES) as u64) < unit.len() as u64
}

/// Pieces of the text that are not cut: its entries, the lines of an entry that is
/// longer than a part, and the items of such a line.
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
