use std::collections::BTreeMap;
use std::fmt::Write;

use crate::Comparison;
use crate::LatencyBreakdown;
use crate::MeasuredDeployment;
use crate::latency_breakdown::HedgeOutcome;
use crate::latency_breakdown::ReplicaCondition;

/// Share of the answers, and of the refusals, of a class that the table covers.
const SLOWEST_SHARE: f64 = 0.01;

type GroupKey = (ReplicaCondition, ReplicaCondition, HedgeOutcome);

/// Returns a table of the latency breakdown of the slowest 1% of the answers of each class, and
/// of the slowest 1% of its refusals.
///
/// There is a line for each combination of the condition of the replica whose reply completed the
/// answer, the worst condition of the other replicas of its service (`siblings`) and the outcome
/// of the hedge. Times are means in milliseconds; the fields of [`LatencyBreakdown`] define them.
/// `tries` is the mean number of retries.
#[must_use]
pub fn trace_table(site: &MeasuredDeployment, comparison: &Comparison) -> String {
    let mut text = String::new();
    for &class in site.deployment.classes.keys() {
        let mut all: Vec<LatencyBreakdown> = Vec::new();
        // Runs of the tier, as opposed to those of the baseline and the ideal scheduler.
        for result in &comparison.product {
            all.extend(result.traces.get(&class).into_iter().flatten());
        }
        let (whole, refused): (Vec<_>, Vec<_>) = all.into_iter().partition(|it| it.whole);
        for (kind, breakdowns) in [("answers", whole), ("refusals", refused)] {
            let slow = slowest(breakdowns);
            if slow.is_empty() {
                continue;
            }
            let name = site.catalog.class_name(class);
            let _ = writeln!(
                text,
                "\nslowest 1% of the {kind}: {} {} {name}, {} of them, from {:.1} ms\n{HEADER}",
                site.name,
                comparison.scenario,
                slow.len(),
                slow.last().map_or(0.0, |it| it.total_us as f64 / 1e3),
            );
            text.push_str(&lines(&slow));
        }
    }
    text
}

const HEADER: &str = "replica  siblings hedge    share %  total  start restart  retry tries  hedge network   wait service";

fn slowest(mut breakdowns: Vec<LatencyBreakdown>) -> Vec<LatencyBreakdown> {
    breakdowns.sort_by_key(|it| std::cmp::Reverse(it.total_us));
    let count = (breakdowns.len() as f64 * SLOWEST_SHARE).ceil() as usize;
    breakdowns.truncate(count);
    breakdowns
}

fn lines(slow: &[LatencyBreakdown]) -> String {
    let mut groups: BTreeMap<GroupKey, Vec<&LatencyBreakdown>> = BTreeMap::new();
    for it in slow {
        let key = (it.condition, it.worst_sibling, it.hedge_outcome);
        groups.entry(key).or_default().push(it);
    }
    let mut groups: Vec<_> = groups.into_iter().collect();
    groups.sort_by_key(|(key, group)| (std::cmp::Reverse(group.len()), *key));
    let mut text = String::new();
    for ((condition, worst_sibling, hedge_outcome), group) in groups {
        let [replica, siblings] =
            [condition, worst_sibling].map(|it| format!("{it:?}").to_lowercase());
        let hedge = format!("{hedge_outcome:?}").to_lowercase();
        let head = format!("{replica:<8} {siblings:<8} {hedge:<8}");
        text.push_str(&line(&head, &group, slow.len()));
    }
    text.push_str(&line(
        &format!("{:<26}", "all"),
        &slow.iter().collect::<Vec<_>>(),
        slow.len(),
    ));
    text
}

fn line(head: &str, group: &[&LatencyBreakdown], total_count: usize) -> String {
    let count = group.len() as f64;
    let ms = |field: fn(&LatencyBreakdown) -> u64| {
        group.iter().map(|it| field(it)).sum::<u64>() as f64 / count / 1e3
    };
    let retries = group.iter().map(|it| f64::from(it.retries)).sum::<f64>() / count;
    format!(
        "{head} {:>8.1} {:>6.1} {:>6.1} {:>7.1} {:>6.1} {retries:>5.1} {:>6.1} {:>7.1} {:>6.1} {:>7.1}\n",
        count / total_count as f64 * 100.0,
        ms(|it| it.total_us),
        ms(|it| it.start_us),
        ms(|it| it.restart_us),
        ms(|it| it.retry_us),
        ms(|it| it.hedge_us),
        ms(|it| it.network_us),
        ms(|it| it.wait_us),
        ms(|it| it.service_us),
    )
}
