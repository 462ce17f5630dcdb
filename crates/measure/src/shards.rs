use std::sync::Arc;

use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::Row;
use wigeonhall_types::ServedVersion;

/// Keys at which the fake index holds a row.
pub const ROWS: u64 = 120;

/// Distance between two rows in the key space.
const ROW_STEP: u64 = (KeyRange::WHOLE.end - KeyRange::WHOLE.start) / ROWS;

/// Ranges that shard `index` of `count` holds at a version.
///
/// Every other version cuts the key space half a shard further on, so that a roll
/// from one version to the next moves keys between all shards.
#[must_use]
pub fn ranges(index: usize, count: usize, version: IndexVersion) -> Vec<KeyRange> {
    let cut = |position: u64| KeyRange::WHOLE.end / (2 * count as u64) * position;
    let index = index as u64;
    let last = index + 1 == count as u64;
    if version.0.is_multiple_of(2) || count == 1 {
        let end = if last {
            KeyRange::WHOLE.end
        } else {
            cut(2 * index + 2)
        };
        return vec![KeyRange {
            start: cut(2 * index),
            end,
        }];
    }
    let shifted = |index: u64| cut(2 * index + 1);
    if last {
        let head = KeyRange {
            start: 0,
            end: shifted(0),
        };
        let tail = KeyRange {
            start: shifted(index),
            end: KeyRange::WHOLE.end,
        };
        return vec![head, tail];
    }
    vec![KeyRange {
        start: shifted(index),
        end: shifted(index + 1),
    }]
}

/// The two versions that a target serves: `newest` and the one before.
#[must_use]
pub fn served(index: usize, count: usize, newest: IndexVersion) -> Vec<ServedVersion> {
    let versions = [IndexVersion(newest.0 - 1), newest];
    versions
        .into_iter()
        .map(|version| ServedVersion {
            ranges: ranges(index, count, version),
            version,
        })
        .collect()
}

/// Rows of the fake index in a range at a version.
#[must_use]
pub fn rows(range: KeyRange, version: IndexVersion) -> Vec<Row> {
    let value: Arc<str> = Arc::from(version.0.to_string());
    let first = range.start.div_ceil(ROW_STEP);
    let last = range.end.div_ceil(ROW_STEP).min(ROWS);
    let keys = (first..last).map(|index| index * ROW_STEP);
    keys.map(|key| Row {
        key,
        value: Arc::clone(&value),
    })
    .collect()
}
