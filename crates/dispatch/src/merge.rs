/// Length of a record; a shorter remainder at the end of a part, a replica's response body, is
/// ignored.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of `parts` in descending order, compared byte by byte.
///
/// Equal records are all kept.
#[must_use]
pub fn merge_records(parts: &[&[u8]], top: usize) -> Vec<u8> {
    let mut records: Vec<&[u8; RECORD_BYTES]> = parts
        .iter()
        .flat_map(|part| part.as_chunks::<RECORD_BYTES>().0)
        .collect();
    if top == 0 {
        return Vec::new();
    }
    if records.len() > top {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
        records.truncate(top);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.into_iter().flatten().copied().collect()
}
