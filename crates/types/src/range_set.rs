use crate::KeyRange;

/// Set of keys, stored as a list of ranges.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RangeSet {
    /// Sorted; no range is empty, and no two ranges overlap or are adjacent.
    ranges: Vec<KeyRange>,
}

impl RangeSet {
    /// Returns the set of the keys in any of `ranges`.
    #[must_use]
    pub fn from_ranges(ranges: &[KeyRange]) -> Self {
        let mut set = Self::default();
        for &range in ranges {
            set.insert(range);
        }
        set
    }

    /// Returns whether `key` is in the set.
    #[must_use]
    pub fn contains(&self, key: u64) -> bool {
        let next_index = self.ranges.partition_point(|range| range.start <= key);
        next_index > 0 && self.ranges[next_index - 1].contains(key)
    }

    /// Returns whether every key of `range` is in the set.
    #[must_use]
    pub fn covers(&self, range: KeyRange) -> bool {
        self.gaps(range).is_empty()
    }

    /// Returns the parts of `range` that are not in the set, in order.
    #[must_use]
    pub fn gaps(&self, range: KeyRange) -> Vec<KeyRange> {
        let mut gaps = Vec::new();
        let mut start = range.start;
        for existing in &self.ranges {
            let Some(overlap) = existing.intersection(range) else {
                continue;
            };
            push_if_not_empty(&mut gaps, start, overlap.start);
            start = overlap.end;
        }
        push_if_not_empty(&mut gaps, start, range.end);
        gaps
    }

    /// Adds the keys of `range`.
    pub fn insert(&mut self, range: KeyRange) {
        if range.is_empty() {
            return;
        }
        let first = self
            .ranges
            .partition_point(|existing| existing.end < range.start);
        let last = self
            .ranges
            .partition_point(|existing| existing.start <= range.end);
        let mut merged = range;
        for existing in self.ranges.drain(first..last) {
            merged.start = merged.start.min(existing.start);
            merged.end = merged.end.max(existing.end);
        }
        self.ranges.insert(first, merged);
    }

    /// Returns the ranges of the set in order.
    #[must_use]
    pub fn ranges(&self) -> &[KeyRange] {
        &self.ranges
    }

    /// Returns the number of keys in the set.
    #[must_use]
    pub fn width(&self) -> u64 {
        self.ranges.iter().map(|range| range.width()).sum()
    }
}

fn push_if_not_empty(gaps: &mut Vec<KeyRange>, start: u64, end: u64) {
    let gap = KeyRange { start, end };
    if !gap.is_empty() {
        gaps.push(gap);
    }
}
