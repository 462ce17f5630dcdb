use std::collections::BTreeMap;

use crate::Outcome;

/// Windows of the burn rates in seconds, shortest first.
pub(crate) const WINDOWS_S: [u64; 4] = [300, 1_800, 3_600, 21_600];
/// Width of a bucket for the windows up to `FINE_WINDOW_S`: a tenth of the shortest
/// window.
const FINE_BUCKET_S: u64 = 30;
/// Longest window that uses fine buckets.
const FINE_WINDOW_S: u64 = WINDOWS_S[2];
/// Width of a bucket for the longest window. With it, a class has 121 fine and 73 coarse
/// buckets; fine ones alone would be 721.
const COARSE_BUCKET_S: u64 = 300;

/// Number of requests that spent error budget, by outcome and index of the cause.
pub(crate) type SpentByCause = BTreeMap<(Outcome, u8), u64>;

/// Outcome counts of one class, in one ring of fine and one of coarse buckets.
#[derive(Clone, Debug)]
pub(crate) struct ClassRings {
    coarse: BucketRing,
    fine: BucketRing,
}

impl ClassRings {
    pub(crate) fn new(now_us: u64) -> Self {
        Self {
            coarse: BucketRing::new(now_us, COARSE_BUCKET_S, WINDOWS_S[3]),
            fine: BucketRing::new(now_us, FINE_BUCKET_S, FINE_WINDOW_S),
        }
    }

    pub(crate) fn add(&mut self, now_us: u64, outcome: Outcome, cause: u8) {
        self.coarse.add(now_us, outcome, cause);
        self.fine.add(now_us, outcome, cause);
    }

    /// Returns the number of good requests, and the counts of those that spent error budget, in
    /// the last `window_s` seconds and the newest bucket, which is still being filled.
    pub(crate) fn window(&mut self, now_us: u64, window_s: u64) -> (u64, SpentByCause) {
        if window_s <= FINE_WINDOW_S {
            return self.fine.window(now_us, window_s);
        }
        self.coarse.window(now_us, window_s)
    }
}

/// Ring buffer of buckets of equal width.
#[derive(Clone, Debug)]
struct BucketRing {
    bucket_s: u64,
    /// The newest `buckets.len()` buckets; bucket number `n` is at position
    /// `n % buckets.len()`.
    buckets: Vec<Bucket>,
    /// Number of the newest bucket, which is still being filled.
    newest: u64,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    good: u64,
    spent: SpentByCause,
}

impl BucketRing {
    /// Creates a ring for the buckets of `window_s` seconds and the newest bucket.
    fn new(now_us: u64, bucket_s: u64, window_s: u64) -> Self {
        let count = (window_s / bucket_s) as usize + 1;
        Self {
            bucket_s,
            buckets: vec![Bucket::default(); count],
            newest: bucket_number(now_us, bucket_s),
        }
    }

    fn position(&self, number: u64) -> usize {
        (number % self.buckets.len() as u64) as usize
    }

    fn add(&mut self, now_us: u64, outcome: Outcome, cause: u8) {
        self.advance(now_us);
        let bucket = {
            let position = self.position(self.newest);
            &mut self.buckets[position]
        };
        if outcome == Outcome::Good {
            bucket.good += 1;
        } else {
            *bucket.spent.entry((outcome, cause)).or_default() += 1;
        }
    }

    /// Moves on to the bucket of `now_us` and clears the buckets that are reused. A time
    /// before the newest bucket changes nothing.
    fn advance(&mut self, now_us: u64) {
        let number = bucket_number(now_us, self.bucket_s).max(self.newest);
        let passed = (number - self.newest).min(self.buckets.len() as u64);
        for step in 0..passed {
            let position = self.position(number - step);
            self.buckets[position] = Bucket::default();
        }
        self.newest = number;
    }

    fn window(&mut self, now_us: u64, window_s: u64) -> (u64, SpentByCause) {
        self.advance(now_us);
        let mut good = 0;
        let mut spent = SpentByCause::new();
        let oldest = self.newest.saturating_sub(window_s / self.bucket_s);
        for number in oldest..=self.newest {
            let bucket = &self.buckets[self.position(number)];
            good += bucket.good;
            for (key, count) in &bucket.spent {
                *spent.entry(*key).or_default() += count;
            }
        }
        (good, spent)
    }
}

const fn bucket_number(now_us: u64, bucket_s: u64) -> u64 {
    now_us / (bucket_s * 1_000_000)
}
