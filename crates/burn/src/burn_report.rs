use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::BurnSample;
use crate::ClassSample;
use crate::Outcome;
use crate::WindowSample;

/// Short window and long window in seconds, and the burn rate at which the alert fires, in
/// thousandths.
///
/// With an error budget over 30 days, a burn rate of 14.4 for one hour spends 2% of the
/// budget, and a burn rate of 6 for six hours spends 5%. As the short window must burn too, the
/// alert ends soon after its cause.
const ALERT_RULES: [(u64, u64, u64); 2] = [(300, 3_600, 14_400), (1_800, 21_600, 6_000)];

/// Error-budget burn over the nodes of a fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BurnReport {
    /// Classes, sorted by name.
    pub classes: Vec<ClassReport>,
    /// Nodes whose counts are in the report, sorted by name.
    pub nodes: Vec<Arc<str>>,
}

/// Error-budget burn of one class.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClassReport {
    /// One alert per pair of windows.
    pub alerts: Vec<AlertReport>,
    /// Name of the class.
    pub class: Arc<str>,
    /// Longest latency of a good request, in milliseconds.
    pub latency_ms: u64,
    /// Whether nodes use different service levels, which happens while a new configuration
    /// reaches the nodes. The report uses the strictest one.
    pub levels_differ: bool,
    /// Share of requests that must be good, in parts per million.
    pub objective_ppm: u32,
    /// Counts per window, shortest window first.
    pub windows: Vec<WindowReport>,
}

/// Alert on the burn rate over a pair of windows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AlertReport {
    /// Whether the burn rates of both windows are at least the threshold.
    pub firing: bool,
    /// Burn rate over the long window, in thousandths.
    pub long_burn_milli: u64,
    /// Length of the long window in seconds.
    pub long_s: u64,
    /// Burn rate over the short window, in thousandths.
    pub short_burn_milli: u64,
    /// Length of the short window in seconds.
    pub short_s: u64,
    /// Burn rate at which the alert fires, in thousandths.
    pub threshold_milli: u64,
}

/// Counts of all nodes over one window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowReport {
    /// Burn rate in thousandths: the share of requests that spent error budget,
    /// divided by the share that the objective allows. 1000 spends the error budget exactly.
    pub burn_milli: u64,
    /// Causes that spent the error budget, highest count first.
    pub causes: Vec<CauseReport>,
    /// Longest uptime of any node within the window, in seconds.
    pub covered_s: u64,
    /// Requests that met the service level.
    pub good: u64,
    /// All requests in the window.
    pub requests: u64,
    /// Length of the window in seconds.
    pub window_s: u64,
}

/// Share of the error budget that one cause spent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CauseReport {
    /// Share of the window's error budget, in thousandths. Above 1000, the cause alone
    /// spent more than the budget.
    pub budget_milli: u64,
    /// Name of the cause.
    pub cause: Arc<str>,
    /// Number of requests.
    pub count: u64,
    /// Outcome of the requests.
    pub outcome: Outcome,
}

/// Sums from which a `WindowReport` is computed.
#[derive(Default)]
struct WindowTotals {
    covered_s: u64,
    good: u64,
    spent: BTreeMap<(Outcome, Arc<str>), u64>,
}

impl BurnReport {
    /// Sums the samples of many nodes. If `samples` holds a node twice, only its last
    /// sample counts.
    #[must_use]
    pub fn new(samples: &[BurnSample]) -> Self {
        let by_node = samples.iter().map(|sample| (&sample.node, sample));
        let by_node = by_node.collect::<BTreeMap<_, _>>();
        let mut by_class = BTreeMap::<&Arc<str>, Vec<&ClassSample>>::new();
        for class in by_node.values().flat_map(|sample| &sample.classes) {
            by_class.entry(&class.class).or_default().push(class);
        }
        Self {
            classes: by_class.values().map(|it| class_report(it)).collect(),
            nodes: by_node.into_keys().cloned().collect(),
        }
    }

    /// Returns whether an alert of any class fires.
    #[must_use]
    pub fn is_firing(&self) -> bool {
        let mut alerts = self.classes.iter().flat_map(|class| &class.alerts);
        alerts.any(|alert| alert.firing)
    }
}

/// Sums the samples of one class.
///
/// `samples` must not be empty and must all belong to the same class.
fn class_report(samples: &[&ClassSample]) -> ClassReport {
    let first = samples[0];
    let level = |it: &ClassSample| (it.objective_ppm, Reverse(it.latency_ms));
    let strictest = samples.iter().copied().max_by_key(|it| level(it));
    let strictest = strictest.unwrap_or(first);
    let mut totals = BTreeMap::<u64, WindowTotals>::new();
    for window in samples.iter().flat_map(|sample| &sample.windows) {
        add_window(totals.entry(window.window_s).or_default(), window);
    }
    let windows = totals
        .into_iter()
        .map(|(window_s, totals)| window_report(window_s, totals, strictest.objective_ppm))
        .collect::<Vec<_>>();
    let alerts = ALERT_RULES.map(|rule| alert_report(rule, &windows));
    ClassReport {
        alerts: alerts.into(),
        class: Arc::clone(&first.class),
        latency_ms: strictest.latency_ms,
        levels_differ: samples.iter().any(|it| level(it) != level(first)),
        objective_ppm: strictest.objective_ppm,
        windows,
    }
}

fn add_window(totals: &mut WindowTotals, window: &WindowSample) {
    totals.covered_s = totals.covered_s.max(window.covered_s);
    totals.good += window.good;
    for spent in &window.spent {
        let key = (spent.outcome, Arc::clone(&spent.cause));
        *totals.spent.entry(key).or_default() += spent.count;
    }
}

fn window_report(window_s: u64, totals: WindowTotals, objective_ppm: u32) -> WindowReport {
    let total_spent = totals.spent.values().sum::<u64>();
    let requests = totals.good + total_spent;
    let burn_milli_of = |count| burn_milli(count, requests, objective_ppm);
    let mut causes = totals
        .spent
        .into_iter()
        .map(|((outcome, cause), count)| CauseReport {
            budget_milli: burn_milli_of(count),
            cause,
            count,
            outcome,
        })
        .collect::<Vec<_>>();
    causes.sort_by_key(|it| Reverse(it.count));
    WindowReport {
        burn_milli: burn_milli_of(total_spent),
        causes,
        covered_s: totals.covered_s,
        good: totals.good,
        requests,
        window_s,
    }
}

/// Returns the share of `spent` in `requests`, divided by the share that the objective
/// allows, in thousandths.
fn burn_milli(spent: u64, requests: u64, objective_ppm: u32) -> u64 {
    let allowed_ppm = 1_000_000_u128.saturating_sub(objective_ppm.into()).max(1);
    let spent = u128::from(spent) * 1_000 * 1_000_000;
    let burn = spent / (u128::from(requests.max(1)) * allowed_ppm);
    u64::try_from(burn).unwrap_or(u64::MAX)
}

fn alert_report(
    (short_s, long_s, threshold_milli): (u64, u64, u64),
    windows: &[WindowReport],
) -> AlertReport {
    let burn = |window_s| {
        let window = windows.iter().find(|it| it.window_s == window_s);
        window.map_or(0, |it| it.burn_milli)
    };
    let (short_burn_milli, long_burn_milli) = (burn(short_s), burn(long_s));
    AlertReport {
        firing: short_burn_milli.min(long_burn_milli) >= threshold_milli,
        long_burn_milli,
        long_s,
        short_burn_milli,
        short_s,
        threshold_milli,
    }
}
