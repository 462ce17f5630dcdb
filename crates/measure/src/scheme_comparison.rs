use std::collections::BTreeMap;
use std::fmt::Write;

use crate::ClassStats;
use crate::Fault;
use crate::LimitScheme;
use crate::MeasuredDeployment;
use crate::RunPlan;
use crate::RunResult;
use crate::Scenario;
use crate::Traffic;
use crate::comparison::run_seeds;
use crate::comparison::scenarios;
use crate::fake_target::LimitViolations;
use wigeonhall_types::ClassKey;

/// Names of the scenarios that are shared with the comparison with the baseline.
const SHARED_SCENARIOS: [&str; 7] = [
    "steady",
    "steady 0.6",
    "straggler",
    "capacity",
    "overload 1.5",
    "cold restart",
    "data centre out",
];

/// Results of all schemes in one scenario.
#[derive(Clone, Debug)]
pub struct LimitSchemeComparison {
    /// Results of each scheme, one entry per seed.
    pub results: Vec<(LimitScheme, Vec<RunResult>)>,
    /// Name of the scenario.
    pub scenario: &'static str,
}

impl LimitSchemeComparison {
    /// Returns the results of a class in each scheme, merged over all seeds.
    #[must_use]
    pub fn of_class(&self, class: ClassKey) -> Vec<(LimitScheme, ClassStats)> {
        let schemes = self.results.iter().map(|(scheme, results)| {
            let mut sum = ClassStats::default();
            for stats in results.iter().filter_map(|it| it.classes.get(&class)) {
                sum.merge(stats);
            }
            (*scheme, sum)
        });
        schemes.collect()
    }
}

/// Returns the scenarios in which the schemes are compared.
#[must_use]
pub fn limit_scheme_scenarios(site: &MeasuredDeployment, plan: &RunPlan) -> Vec<Scenario> {
    let mut all = scenarios(site, plan);
    all.retain(|it| SHARED_SCENARIOS.contains(&it.name));
    let counted_us = (plan.run_ms - plan.warm_up_ms) * 1_000;
    let at_us = |percent: u64| plan.warm_up_ms * 1_000 + counted_us * percent / 100;
    if let Some(&node) = site.deployment.vms.keys().next() {
        let faults = vec![
            (at_us(10), Fault::NodeLost(node)),
            (at_us(75), Fault::NodeReplaced(node)),
        ];
        let load = all.first().map_or(0.0, |steady| steady.load);
        all.push(Scenario {
            faults,
            load,
            name: "node replaced",
        });
    }
    all
}

/// Runs one scenario with every scheme.
#[must_use]
pub fn compare_limit_schemes(
    site: &MeasuredDeployment,
    scenario: &Scenario,
    plan: &RunPlan,
) -> LimitSchemeComparison {
    let (warm_up_us, run_us) = (plan.warm_up_ms * 1_000, plan.run_ms * 1_000);
    let run = |scheme: LimitScheme| {
        let run = |seed| scheme.run(site, scenario, seed, warm_up_us, run_us);
        (scheme, run_seeds(&plan.seeds, run))
    };
    LimitSchemeComparison {
        results: LimitScheme::ALL.into_iter().map(run).collect(),
        scenario: scenario.name,
    }
}

/// Header of the per-class lines of [`limit_scheme_table`].
pub const LIMIT_SCHEME_HEADER: &str = "site             scenario         service        way               p50 ms   p99 ms p99.9 ms  whole %  goodput/s  refused refusal ms  sent/query  endings";

/// Returns the table of one comparison: a line per class and scheme, then a line per scheme.
#[must_use]
pub fn limit_scheme_table(
    site: &MeasuredDeployment,
    comparison: &LimitSchemeComparison,
    plan: &RunPlan,
) -> String {
    let mut text = String::new();
    let scenario = comparison.scenario;
    for &class in site.deployment.classes.keys() {
        for (scheme, sum) in comparison.of_class(class) {
            if sum.offered > 0 {
                let (site, name) = (site.name, site.catalog.class_name(class));
                let scheme = scheme.name();
                let line = class_line(&sum, plan);
                let _ = writeln!(
                    text,
                    "{site:<16} {scenario:<16} {name:<14} {scheme:<16}{line}"
                );
            }
        }
    }
    for (scheme, results) in &comparison.results {
        let (site, scheme, line) = (site.name, scheme.name(), scheme_line(results));
        let _ = writeln!(text, "{site:<16} {scenario:<16} all {scheme}: {line}");
    }
    text
}

fn class_line(sum: &ClassStats, plan: &RunPlan) -> String {
    let ms = |share| sum.quantile_us(share) as f64 / 1e3;
    let counted_s = (plan.run_ms - plan.warm_up_ms) as f64 / 1e3 * plan.seeds.len() as f64;
    let mut line = format!(
        " {:>7.1} {:>8.1} {:>8.1} {:>8.3} {:>10.1} {:>8} {:>10.1} {:>11.3} ",
        ms(0.5),
        ms(0.99),
        ms(0.999),
        sum.whole_share() * 100.0,
        sum.latencies_us.len() as f64 / counted_s,
        refused(&sum.endings),
        sum.max_refusal_us as f64 / 1e3,
        sum.sent_per_query(),
    );
    for (ending, count) in &sum.endings {
        let _ = write!(line, " {ending}={count}");
    }
    line
}

/// Returns the number of refused queries among the endings.
fn refused(endings: &BTreeMap<String, u64>) -> u64 {
    let refusals = endings
        .iter()
        .filter(|(ending, _)| ending.to_lowercase().starts_with("refused"));
    refusals.map(|(_, count)| count).sum()
}

fn scheme_line(results: &[RunResult]) -> String {
    let mut violations = LimitViolations::default();
    let mut traffic = Traffic::default();
    let mut sent = 0;
    for it in results {
        violations.slots += it.limit_violations.slots;
        violations.connections += it.limit_violations.connections;
        violations.cold += it.limit_violations.cold;
        traffic.merge(it.traffic);
        sent += it.classes.values().map(|it| it.sent).sum::<u64>();
    }
    let messages = traffic.messages as f64 / sent.max(1) as f64;
    format!(
        "over slots {}, connections {}, cold bound {}; connections opened {}, most at a target {}; messages a sub-request {messages:.2}",
        violations.slots,
        violations.connections,
        violations.cold,
        traffic.connections_opened,
        traffic.max_target_connections,
    )
}
