use serde::Deserialize;
use serde::Serialize;

/// Half-open range of keys `[start, end)`; empty if `start >= end`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyRange {
    /// First key of the range.
    pub start: u64,
    /// Key after the last key of the range.
    pub end: u64,
}

impl KeyRange {
    /// The whole key space.
    pub const WHOLE: Self = Self {
        start: 0,
        end: 1 << 32,
    };

    /// Returns whether `key` is in the range.
    #[must_use]
    pub const fn contains(self, key: u64) -> bool {
        self.start <= key && key < self.end
    }

    /// Returns the keys that are in both ranges, if there are any.
    #[must_use]
    pub fn intersection(self, other: Self) -> Option<Self> {
        let overlap = Self {
            start: self.start.max(other.start),
            end: self.end.min(other.end),
        };
        (!overlap.is_empty()).then_some(overlap)
    }

    /// Returns whether the range contains no key.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.start >= self.end
    }

    /// Returns the number of keys in the range.
    #[must_use]
    pub const fn width(self) -> u64 {
        self.end.saturating_sub(self.start)
    }
}
