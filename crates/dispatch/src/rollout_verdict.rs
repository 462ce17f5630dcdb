//! Compares the versions of a rollout.
//!
//! Three kinds of sets of responses are tested: all, those of each route, and those of the later
//! half of the rollout. Let `n` requests to the target version have `f` failures, and let `q` be
//! the share of failures of the earlier version, by Laplace's rule.
//!
//! - Bad at once, by failures: the likelihood of the failures, averaged over a uniform prior of the
//!   target version's rate, is [`FAILURE_BAYES_FACTOR`] times their likelihood at rate `q`. This ratio
//!   is a nonnegative martingale while the rate is `q`, so that by Ville's inequality any number of
//!   looks errs with a probability of at most one in [`FAILURE_BAYES_FACTOR`] for each set.
//! - Bad at once, by latency: van Elteren's statistic, the rank sum over strata of one route each, is
//!   at least [`SLOW_Z`] (3 in a million for one look), and a response of the target version is slower
//!   than one of the earlier version with a probability of at least [`SLOW_PROBABILITY`].
//! - Acceptable: for `X` binomial with `n` and the rate `q` plus a margin, `P(X <= f)` is at most
//!   [`ACCEPT_ERROR`]; the rank statistic is below [`ACCEPT_Z`], or the probability below
//!   [`SLOW_PROBABILITY`]; the probability is below [`SLOW_PROBABILITY_MAX`] by two standard errors;
//!   and the same as for failures holds for responses that are slower than all but a share [`TAIL`]
//!   of the earlier version's, with [`TAIL_MARGIN`]. One look accepts a version whose failures exceed
//!   `q` by the margin with at most [`ACCEPT_ERROR`]. With too few responses, no version is
//!   acceptable.
//!
//! Rates over the looks of whole rollouts, by traffic, stand in `docs/design/rollouts.md`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::RolloutTotals;
use crate::VersionPair;
use crate::VersionSample;
use crate::rollout_evidence::ROLLOUT_EPOCHS;

/// Ratio of the likelihoods from which failures show that the target version is bad.
const FAILURE_BAYES_FACTOR: f64 = 2_000.0;

/// Rank statistic from which a target version is slow at any look.
const SLOW_Z: f64 = 4.5;

/// Rank statistic from which a target version is not accepted: 5 in a thousand equally fast
/// versions for each set.
const ACCEPT_Z: f64 = 2.6;

/// Probability that a response of the target version is slower than one of the earlier version,
/// from which the difference counts; smaller differences hardly delay callers.
const SLOW_PROBABILITY: f64 = 0.65;

/// Highest such probability, two standard errors above the observed one, of an accepted version.
/// A version that is three times slower is at 0.9 if the logarithms of latencies deviate by 0.6.
const SLOW_PROBABILITY_MAX: f64 = 0.85;

/// The same for the later half and for one route, one standard error above the observed one.
const PART_SLOW_PROBABILITY_MAX: f64 = 0.95;

/// Probability to accept a version that exceeds the failures of the earlier one by the margin.
const ACCEPT_ERROR: f64 = 0.01;

/// The same for the later half and for one route; the test of all responses holds as well.
const PART_ACCEPT_ERROR: f64 = 0.03;

/// Margin of all responses.
const MARGIN: f64 = 0.2;

/// Margin of the responses of the later half or of one route, which are fewer.
const PART_MARGIN: f64 = 0.4;

/// Share of the responses of the earlier version that are slow by definition.
const TAIL: f64 = 0.05;

/// Slow responses of the target version above those of the earlier one, as a share, that are
/// accepted with [`ACCEPT_ERROR`]: a version may be slow only under load.
const TAIL_MARGIN: f64 = 0.35;

/// Share of the requests to the target version from which a route must have evidence of its own.
const ROUTE_SHARE_MIN: f64 = 0.15;

/// Fewest responses of each version for a rank statistic.
const RANKED_MIN: u64 = 3;

/// Route and part of the rollout of some responses.
type Stratum = (Arc<str>, u8);

/// What the responses show about the target version.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RolloutVerdict {
    /// Whether the target version may be accepted.
    pub acceptable: bool,
    /// Whether the target version is bad whatever further responses show.
    pub bad: bool,
    /// The set of responses and the figures that decided it.
    pub reason: String,
}

/// Compares the versions of a rollout.
#[must_use]
pub(crate) fn judge(totals: &RolloutTotals) -> RolloutVerdict {
    let sets = sets(totals);
    for (name, set) in &sets {
        if let Some(reason) = shows_bad(set) {
            return RolloutVerdict {
                acceptable: false,
                bad: true,
                reason: format!("{name}: {reason}"),
            };
        }
    }
    let lacking = sets.iter().find_map(|(name, set)| {
        let reason = lacks(set, sets[0].1.new.total())?;
        Some(format!("{name}: {reason}"))
    });
    RolloutVerdict {
        acceptable: lacking.is_none(),
        bad: false,
        reason: lacking.unwrap_or_else(|| sets[0].1.describe()),
    }
}

/// Responses that are tested together.
struct ResponseSet {
    /// Probability to accept a version that exceeds the failures by the margin.
    accept_error: f64,
    /// Failures above those of the earlier version from which the target version is bad.
    margin: f64,
    /// Whether the set must have enough responses even if they are a small share of all.
    is_required: bool,
    new: VersionSample,
    old: VersionSample,
    strata: Vec<VersionPair>,
}

impl ResponseSet {
    fn all(strata: Vec<VersionPair>) -> Self {
        Self {
            accept_error: ACCEPT_ERROR,
            is_required: true,
            margin: MARGIN,
            ..Self::part(strata)
        }
    }

    fn part(strata: Vec<VersionPair>) -> Self {
        let (mut new, mut old) = (VersionSample::default(), VersionSample::default());
        for pair in &strata {
            new.add(&pair.new);
            old.add(&pair.old);
        }
        Self {
            accept_error: PART_ACCEPT_ERROR,
            margin: PART_MARGIN,
            is_required: false,
            new,
            old,
            strata,
        }
    }

    /// Share of failures of the earlier version.
    fn old_rate(&self) -> f64 {
        (self.old.bad as f64 + 1.0) / (self.old.total() as f64 + 2.0)
    }

    fn describe(&self) -> String {
        let Slowness { probability, z, .. } = slowness(&self.strata);
        format!(
            "{} of {} failed, before {} of {}; slower with probability {probability:.2}, z {z:.1}",
            self.new.bad,
            self.new.total(),
            self.old.bad,
            self.old.total()
        )
    }
}

/// Returns the sets of responses with their names; the first one holds all.
fn sets(totals: &RolloutTotals) -> Vec<(String, ResponseSet)> {
    let strata = |keep: &dyn Fn(&Stratum) -> bool| -> Vec<VersionPair> {
        let mut by_route: BTreeMap<&Arc<str>, VersionPair> = BTreeMap::new();
        for (key, pair) in totals.by_stratum.iter().filter(|(key, _)| keep(key)) {
            let sum = by_route.entry(&key.0).or_default();
            sum.new.add(&pair.new);
            sum.old.add(&pair.old);
        }
        by_route.into_values().collect()
    };
    let all = ResponseSet::all(strata(&|_| true));
    let later = |(_, epoch): &Stratum| *epoch >= ROLLOUT_EPOCHS / 2;
    let later = ResponseSet::part(strata(&later));
    let mut sets = vec![("all".to_owned(), all), ("later half".to_owned(), later)];
    let routes: BTreeSet<&Arc<str>> = totals.by_stratum.keys().map(|(route, _)| route).collect();
    if routes.len() > 1 {
        for route in routes {
            let of_route = strata(&|(other, _)| other == route);
            let set = ResponseSet::part(of_route);
            sets.push((format!("route {route}"), set));
        }
    }
    sets
}

/// Returns why the target version is bad, if the set shows it.
fn shows_bad(set: &ResponseSet) -> Option<String> {
    let slow = slowness(&set.strata).exceeds(SLOW_Z);
    let bad = set.new.bad as f64;
    let good = set.new.total() as f64 - bad;
    let old_rate = set.old_rate();
    let averaged = ln_beta(bad + 1.0, good + 1.0);
    let at_old_rate = bad * old_rate.ln() + good * (1.0 - old_rate).ln();
    let higher = bad > old_rate * (bad + good);
    let failing = higher && averaged - at_old_rate >= FAILURE_BAYES_FACTOR.ln();
    (slow || failing).then(|| set.describe())
}

/// Returns why the target version cannot be accepted by a set of responses; `total` is the number
/// of all requests to it.
fn lacks(set: &ResponseSet, total: u64) -> Option<String> {
    let requests = set.new.total();
    let slowness = slowness(&set.strata);
    if slowness.exceeds(ACCEPT_Z) {
        return Some(set.describe());
    }
    if !set.is_required && (requests as f64) < total as f64 * ROUTE_SHARE_MIN {
        // Too few requests for evidence of their own; more failures than before still count.
        let rate = set.old_rate();
        let unlikely = set.new.bad > 1 && 1.0 - at_most(set.new.bad - 1, requests, rate) < 0.01;
        return unlikely.then(|| set.describe());
    }
    let may_be_slow = if set.is_required {
        slowness.probability + 2.0 * slowness.error > SLOW_PROBABILITY_MAX
            || may_be_slow_at_times(&set.strata)
    } else {
        slowness.probability + slowness.error > PART_SLOW_PROBABILITY_MAX
    };
    let rate = (set.old_rate() + set.margin).min(0.95);
    let may_fail = at_most(set.new.bad, requests, rate) > set.accept_error;
    (may_be_slow || may_fail).then(|| format!("too little evidence, {}", set.describe()))
}

/// Latencies of the target version relative to those of the earlier one.
#[derive(Clone, Copy, Debug)]
struct Slowness {
    /// Standard error of the probability if the versions are equally fast.
    error: f64,
    /// Probability that a response of the target version is slower than one of the earlier version
    /// to a request of the same stratum.
    probability: f64,
    /// Van Elteren's rank statistic, standard normal if the versions are equally fast.
    z: f64,
}

impl Slowness {
    /// Whether the difference counts, with a rank statistic of at least `z`.
    fn exceeds(self, z: f64) -> bool {
        self.z >= z && self.probability >= SLOW_PROBABILITY
    }
}

/// Compares the latencies of the strata.
fn slowness(strata: &[VersionPair]) -> Slowness {
    let (mut excess, mut variance, mut pairs, mut slower) = (0.0, 0.0, 0.0, 0.0);
    let (mut new_ranked, mut old_ranked) = (0, 0);
    for VersionPair { new, old } in strata {
        let (n, m) = (new.ranked(), old.ranked());
        if n == 0 || m == 0 {
            continue;
        }
        new_ranked += n;
        old_ranked += m;
        let (n, m) = (n as f64, m as f64);
        let wins = pairs_slower(new, old);
        let weight = 1.0 / (n + m + 1.0);
        excess += weight * (wins - n * m / 2.0);
        variance += weight * n * m / 12.0;
        pairs += weight * n * m;
        slower += weight * wins;
    }
    if new_ranked < RANKED_MIN || old_ranked < RANKED_MIN {
        return Slowness {
            error: 1.0,
            probability: 0.5,
            z: 0.0,
        };
    }
    let deviation = f64::sqrt(variance);
    Slowness {
        error: deviation / pairs,
        probability: slower / pairs,
        z: excess / deviation,
    }
}

/// Whether a part of the responses of the target version may be slow.
fn may_be_slow_at_times(strata: &[VersionPair]) -> bool {
    let (mut new_slow, mut new_total, mut expected) = (0, 0, 0.0);
    for VersionPair { new, old } in strata {
        let limit = tail_limit(old);
        let slow = |sample: &VersionSample| -> u64 {
            let above = sample.good.iter().filter(|(bucket, _)| **bucket > limit);
            above.map(|(_, count)| count).sum()
        };
        new_slow += slow(new);
        new_total += new.ranked();
        // Of equally fast versions, one response in `m + 1` is slower than `m` others.
        let share = (slow(old) as f64 + 1.0) / (old.ranked() as f64 + 1.0);
        expected += new.ranked() as f64 * share;
    }
    let rate = expected / new_total.max(1) as f64 + TAIL_MARGIN;
    at_most(new_slow, new_total, rate.min(0.95)) > ACCEPT_ERROR
}

/// Returns the lowest bucket above which at most a share [`TAIL`] of the responses is.
fn tail_limit(old: &VersionSample) -> u8 {
    let mut left = old.ranked() as f64 * TAIL;
    for (bucket, count) in old.good.iter().rev() {
        left -= *count as f64;
        if left < 0.0 {
            return *bucket;
        }
    }
    0
}

/// Returns the number of pairs in which the response of the target version is slower; half for
/// pairs in one bucket.
fn pairs_slower(new: &VersionSample, old: &VersionSample) -> f64 {
    let mut wins = 0.0;
    for (bucket, count) in &new.good {
        let faster: u64 = old.good.range(..bucket).map(|(_, old)| old).sum();
        let equal = old.good.get(bucket).copied().unwrap_or(0);
        wins += *count as f64 * (faster as f64 + equal as f64 / 2.0);
    }
    wins
}

/// Returns the probability of at most `failures` of `requests` at a rate of failures.
fn at_most(failures: u64, requests: u64, rate: f64) -> f64 {
    let n = requests as f64;
    let term = |k: u64| {
        let k = k as f64;
        let ln_choose = -ln_beta(k + 1.0, n - k + 1.0) - (n + 1.0).ln();
        (ln_choose + k * rate.ln() + (n - k) * (1.0 - rate).ln()).exp()
    };
    (0..=failures.min(requests)).map(term).sum::<f64>().min(1.0)
}

/// Logarithm of the beta function.
fn ln_beta(a: f64, b: f64) -> f64 {
    ln_gamma(a) + ln_gamma(b) - ln_gamma(a + b)
}

/// Logarithm of the gamma function for positive values, by Stirling's series.
fn ln_gamma(value: f64) -> f64 {
    const SERIES_FROM: f64 = 8.0;
    let mut shifted = value;
    let mut product = 1.0;
    while shifted < SERIES_FROM {
        product *= shifted;
        shifted += 1.0;
    }
    let inverse = 1.0 / shifted;
    let series = inverse / 12.0 - inverse.powi(3) / 360.0 + inverse.powi(5) / 1_260.0;
    let half_ln_tau = 0.5 * std::f64::consts::TAU.ln();
    (shifted - 0.5) * shifted.ln() - shifted + half_ln_tau + series - product.ln()
}
