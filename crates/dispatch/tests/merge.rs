//! Guards against answers whose records are not the greatest of their parts.

use wigeonhall_dispatch::RECORD_BYTES;
use wigeonhall_dispatch::merge_records;

fn record(first: u8, last: u8) -> [u8; RECORD_BYTES] {
    let mut record = [0; RECORD_BYTES];
    record[0] = first;
    record[RECORD_BYTES - 1] = last;
    record
}

#[test]
fn greatest_records_come_first_and_equal_records_are_all_kept() {
    let one = [record(3, 0), record(9, 1)].concat();
    let two = [record(9, 2), record(9, 1), record(1, 0)].concat();
    let merged = merge_records(&[&one, &two], 4);
    let expected = [record(9, 2), record(9, 1), record(9, 1), record(3, 0)].concat();
    assert_eq!(merged, expected);
}

#[test]
fn remainder_shorter_than_a_record_is_ignored() {
    let mut part = record(5, 0).to_vec();
    part.extend([255; RECORD_BYTES - 1]);
    assert_eq!(merge_records(&[&part], 10), record(5, 0));
}

#[test]
fn merge_of_no_records_is_empty() {
    assert!(merge_records(&[&record(1, 1)], 0).is_empty());
    assert!(merge_records(&[], 3).is_empty());
    assert!(merge_records(&[&[]], 3).is_empty());
}

/// Compares the result with a sort of all records of random parts.
#[test]
fn merge_equals_a_sort_of_all_records() {
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..200 {
        let parts: Vec<Vec<u8>> = (0..rng.usize(1..8))
            .map(|_| {
                let count = rng.usize(0..30);
                (0..count)
                    .flat_map(|_| record(rng.u8(0..6), rng.u8(0..6)))
                    .collect()
            })
            .collect();
        let top = rng.usize(1..60);
        let slices: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
        let mut all: Vec<&[u8]> = slices
            .iter()
            .flat_map(|part| part.chunks(RECORD_BYTES))
            .collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.truncate(top);
        assert_eq!(merge_records(&slices, top), all.concat());
    }
}
