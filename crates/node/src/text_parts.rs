use std::sync::Arc;

/// Size from which a part may end, so that parts are neither many nor large.
const LEAST_BYTES: usize = 1_024;
/// Size from which a part ends before the next entry, whatever that is.
const MOST_BYTES: usize = 8_192;
/// A part ends before one in this many entries.
const ENDS_EVERY: u32 = 8;

/// Cuts a text before entries (lines at indentation 0 or 2), so that an edit changes few
/// parts. Stands in until a configuration arrives in parts.
pub(crate) fn text_parts(text: &str) -> Vec<Arc<str>> {
    let mut parts = Vec::new();
    let (mut start, mut at) = (0, 0);
    for line in text.split_inclusive('\n') {
        let indent = line.bytes().take_while(|it| *it == b' ').count();
        let size = at - start;
        let ends =
            size >= MOST_BYTES || size >= LEAST_BYTES && hash(line).is_multiple_of(ENDS_EVERY);
        if matches!(indent, 0 | 2) && ends {
            parts.push(Arc::from(&text[start..at]));
            start = at;
        }
        at += line.len();
    }
    parts.push(Arc::from(&text[start..]));
    parts
}

/// The 32-bit FNV-1a hash.
fn hash(line: &str) -> u32 {
    line.bytes().fold(0x811c_9dc5, |hash, it| {
        (hash ^ u32::from(it)).wrapping_mul(0x0100_0193)
    })
}
