//! Tests of the burn report over the samples of many nodes.

use std::sync::Arc;

use wigeonhall_burn::BurnReport;
use wigeonhall_burn::BurnSample;
use wigeonhall_burn::ClassSample;
use wigeonhall_burn::Outcome;
use wigeonhall_burn::SpentCount;
use wigeonhall_burn::WindowSample;

/// Returns the counts of one window on a node that started two hours ago.
fn window(window_s: u64, good: u64, spent: &[(Outcome, &str, u64)]) -> WindowSample {
    WindowSample {
        covered_s: window_s.min(7_200),
        good,
        spent: spent
            .iter()
            .map(|(outcome, cause, count)| SpentCount {
                cause: Arc::from(*cause),
                count: *count,
                outcome: *outcome,
            })
            .collect(),
        window_s,
    }
}

fn sample(node: &str, objective_ppm: u32, windows: Vec<WindowSample>) -> BurnSample {
    BurnSample {
        classes: vec![ClassSample {
            class: Arc::from("search"),
            latency_ms: 200,
            objective_ppm,
            windows,
        }],
        node: Arc::from(node),
        uncounted: 0,
    }
}

/// Returns a sample that fires the alert over 5 minutes and 1 hour, whose threshold is 14.4: its
/// burn rates are 20 and 16.
fn fast_burn(node: &str) -> BurnSample {
    let windows = vec![
        window(300, 80, &[(Outcome::Refused, "overloaded", 20)]),
        window(1_800, 580, &[(Outcome::Refused, "overloaded", 20)]),
        window(
            3_600,
            840,
            &[
                (Outcome::Refused, "overloaded", 140),
                (Outcome::Partial, "no_replica", 19),
                (Outcome::Slow, "latency", 1),
            ],
        ),
        window(
            21_600,
            9_990,
            &[
                (Outcome::Refused, "overloaded", 140),
                (Outcome::Partial, "no_replica", 19),
                (Outcome::Slow, "latency", 1),
            ],
        ),
    ];
    sample(node, 990_000, windows)
}

/// Guards against wrong sums over nodes, wrong burn rates and counting a node twice.
#[test]
fn report_sums_counts_of_nodes() {
    let samples = [fast_burn("a"), fast_burn("b"), fast_burn("a")];
    let report = BurnReport::new(&samples);
    assert!(report.is_firing());
    insta::assert_snapshot!(report);
    insta::assert_json_snapshot!(report);
}

/// Guards against an alert that keeps firing after its cause ended: the long window alone
/// must not fire.
#[test]
fn alert_needs_both_windows() {
    let mut recovered = fast_burn("a");
    recovered.classes[0].windows[0] = window(300, 100, &[]);
    recovered.classes[0].windows[1] = window(1_800, 600, &[]);
    assert!(!BurnReport::new(&[recovered]).is_firing());
}

/// Guards against a division by zero when there are no requests, and against a report
/// that mixes different service levels without saying so.
#[test]
fn empty_samples_and_differing_service_levels() {
    let empty = sample("a", 990_000, vec![window(300, 0, &[])]);
    let strict = sample(
        "b",
        999_000,
        vec![window(300, 9, &[(Outcome::Failed, "x", 1)])],
    );
    assert!(!BurnReport::new(std::slice::from_ref(&empty)).is_firing());
    assert!(BurnReport::new(&[]).classes.is_empty());
    insta::assert_snapshot!(BurnReport::new(&[empty, strict]));
}

/// Guards against a sample that the operators' command `burn` cannot deserialize.
#[test]
fn sample_round_trips_through_json() {
    let sample = fast_burn("a");
    let text = serde_json::to_string(&sample).unwrap();
    assert_eq!(serde_json::from_str::<BurnSample>(&text).unwrap(), sample);
}
