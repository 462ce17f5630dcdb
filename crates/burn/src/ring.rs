use std::collections::BTreeMap;

use crate::Outcome;

/// Width of a bucket in seconds; a tenth of the shortest window.
pub(crate) const BUCKET_S: u64 = 30;
/// Windows of the burn rates in seconds, rising.
pub(crate) const WINDOWS_S: [u64; 4] = [300, 1_800, 3_600, 21_600];
/// Buckets of the longest window and the one that is being filled.
const BUCKETS: usize = (WINDOWS_S[3] / BUCKET_S) as usize + 1;

/// Counts of requests that spent error budget, by outcome and index of the cause.
pub(crate) type Spent = BTreeMap<(Outcome, u8), u64>;

/// Counts of one class over the longest window.
#[derive(Clone, Debug)]
pub(crate) struct Ring {
    /// Position `n % BUCKETS` holds bucket `n` for the newest `BUCKETS` numbers.
    buckets: Vec<Bucket>,
    /// Number of the bucket that is being filled.
    newest: u64,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    good: u64,
    spent: Spent,
}

impl Ring {
    pub(crate) fn new(now_us: u64) -> Self {
        Self {
            buckets: vec![Bucket::default(); BUCKETS],
            newest: bucket_number(now_us),
        }
    }

    pub(crate) fn add(&mut self, now_us: u64, outcome: Outcome, cause: u8) {
        self.advance(now_us);
        let bucket = &mut self.buckets[position(self.newest)];
        if outcome == Outcome::Good {
            bucket.good += 1;
        } else {
            *bucket.spent.entry((outcome, cause)).or_default() += 1;
        }
    }

    /// Clears the buckets that time has passed over. Time never goes back.
    fn advance(&mut self, now_us: u64) {
        let number = bucket_number(now_us).max(self.newest);
        let passed = (number - self.newest).min(BUCKETS as u64);
        for step in 0..passed {
            self.buckets[position(number - step)] = Bucket::default();
        }
        self.newest = number;
    }

    /// Good requests and spent counts of the last `window_s` seconds and of the
    /// bucket that is being filled.
    pub(crate) fn window(&mut self, now_us: u64, window_s: u64) -> (u64, Spent) {
        self.advance(now_us);
        let mut good = 0;
        let mut spent = Spent::new();
        let oldest = self.newest.saturating_sub(window_s / BUCKET_S);
        for number in oldest..=self.newest {
            let bucket = &self.buckets[position(number)];
            good += bucket.good;
            for (key, count) in &bucket.spent {
                *spent.entry(*key).or_default() += count;
            }
        }
        (good, spent)
    }
}

const fn bucket_number(now_us: u64) -> u64 {
    now_us / (BUCKET_S * 1_000_000)
}

const fn position(number: u64) -> usize {
    (number % BUCKETS as u64) as usize
}
