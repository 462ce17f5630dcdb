use serde::Deserialize;
use serde::Serialize;

/// Half-open range of keys `[start, end)`; empty if `start >= end`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyRange {
    /// First key.
    pub start: u64,
    /// Key after the last one.
    pub end: u64,
}

impl KeyRange {
    /// The whole key space.
    pub const WHOLE: Self = Self {
        start: 0,
        end: 1 << 32,
    };

    /// Whether `key` lies in the range.
    #[must_use]
    pub const fn contains(self, key: u64) -> bool {
        self.start <= key && key < self.end
    }

    /// The keys in both ranges, if there are any.
    #[must_use]
    pub fn intersection(self, other: Self) -> Option<Self> {
        let both = Self {
            start: self.start.max(other.start),
            end: self.end.min(other.end),
        };
        (!both.is_empty()).then_some(both)
    }

    /// Whether the range holds no key.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.start >= self.end
    }

    /// Number of keys.
    #[must_use]
    pub const fn width(self) -> u64 {
        self.end.saturating_sub(self.start)
    }
}
