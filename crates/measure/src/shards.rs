use std::sync::Arc;

use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::Row;
use wigeonhall_types::ServedVersion;

/// Number of rows in the fake index.
pub const ROW_COUNT: u64 = 120;

/// Distance between the keys of two neighbouring rows.
const ROW_KEY_STEP: u64 = (KeyRange::WHOLE.end - KeyRange::WHOLE.start) / ROW_COUNT;

/// Returns the key ranges that shard `index` of `count` holds at a version.
///
/// Odd versions shift the shard boundaries by half a shard, so that a change from one
/// version to the next moves keys between all shards.
#[must_use]
pub fn ranges(index: usize, count: usize, version: IndexVersion) -> Vec<KeyRange> {
    let boundary = |position: u64| KeyRange::WHOLE.end / (2 * count as u64) * position;
    let index = index as u64;
    let last = index + 1 == count as u64;
    if version.0.is_multiple_of(2) || count == 1 {
        let end = if last {
            KeyRange::WHOLE.end
        } else {
            boundary(2 * index + 2)
        };
        return vec![KeyRange {
            start: boundary(2 * index),
            end,
        }];
    }
    let shifted_boundary = |index: u64| boundary(2 * index + 1);
    if last {
        let head = KeyRange {
            start: 0,
            end: shifted_boundary(0),
        };
        let tail = KeyRange {
            start: shifted_boundary(index),
            end: KeyRange::WHOLE.end,
        };
        return vec![head, tail];
    }
    vec![KeyRange {
        start: shifted_boundary(index),
        end: shifted_boundary(index + 1),
    }]
}

/// Returns the two versions that a target serves: `newest` and the one before it.
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

/// Returns the rows of the fake index in a range at a version.
#[must_use]
pub fn rows(range: KeyRange, version: IndexVersion) -> Vec<Row> {
    let value: Arc<str> = Arc::from(version.0.to_string());
    let first = range.start.div_ceil(ROW_KEY_STEP);
    let last = range.end.div_ceil(ROW_KEY_STEP).min(ROW_COUNT);
    let keys = (first..last).map(|index| index * ROW_KEY_STEP);
    keys.map(|key| Row {
        key,
        value: Arc::clone(&value),
    })
    .collect()
}
