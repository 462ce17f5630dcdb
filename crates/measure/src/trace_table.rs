use std::collections::BTreeMap;
use std::fmt::Write;

use crate::Comparison;
use crate::Site;
use crate::TimeParts;
use crate::time_parts::Condition;
use crate::time_parts::Hedging;

/// Share of the answers of a class that the table is about.
const SLOWEST: f64 = 0.01;

type Key = (Condition, Condition, Hedging);

/// What the time of the slowest 1% of the answers of each class was spent on, and of the
/// slowest 1% of its refusals: a line for each state of the last replica, worst state of
/// its siblings and outcome of the hedge. Times are means in milliseconds.
#[must_use]
pub fn trace_table(site: &Site, comparison: &Comparison) -> String {
    let mut text = String::new();
    for &class in site.deployment.classes.keys() {
        let mut all: Vec<TimeParts> = Vec::new();
        for result in &comparison.product {
            all.extend(result.traces.get(&class).into_iter().flatten());
        }
        let (whole, refused): (Vec<_>, Vec<_>) = all.into_iter().partition(|it| it.whole);
        for (what, parts) in [("answers", whole), ("refusals", refused)] {
            let slow = slowest(parts);
            if slow.is_empty() {
                continue;
            }
            let name = site.catalog.class_name(class);
            let _ = writeln!(
                text,
                "\nslowest 1% of the {what}: {} {} {name}, {} of them, from {:.1} ms\n{HEADER}",
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

fn slowest(mut parts: Vec<TimeParts>) -> Vec<TimeParts> {
    parts.sort_by_key(|it| std::cmp::Reverse(it.total_us));
    let count = (parts.len() as f64 * SLOWEST).ceil() as usize;
    parts.truncate(count);
    parts
}

fn lines(slow: &[TimeParts]) -> String {
    let mut groups: BTreeMap<Key, Vec<&TimeParts>> = BTreeMap::new();
    for it in slow {
        let key = (it.condition, it.sibling, it.hedging);
        groups.entry(key).or_default().push(it);
    }
    let mut groups: Vec<_> = groups.into_iter().collect();
    groups.sort_by_key(|(key, group)| (std::cmp::Reverse(group.len()), *key));
    let mut text = String::new();
    for ((condition, sibling, hedging), group) in groups {
        let [replica, siblings] = [condition, sibling].map(|it| format!("{it:?}").to_lowercase());
        let hedge = format!("{hedging:?}").to_lowercase();
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

fn line(head: &str, group: &[&TimeParts], of: usize) -> String {
    let count = group.len() as f64;
    let ms = |part: fn(&TimeParts) -> u64| {
        group.iter().map(|it| part(it)).sum::<u64>() as f64 / count / 1e3
    };
    let tries = group.iter().map(|it| f64::from(it.retries)).sum::<f64>() / count;
    format!(
        "{head} {:>8.1} {:>6.1} {:>6.1} {:>7.1} {:>6.1} {tries:>5.1} {:>6.1} {:>7.1} {:>6.1} {:>7.1}\n",
        count / of as f64 * 100.0,
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
