//! Tests of the window counts and of their memory bounds.

use std::sync::Arc;

use wigeonhall_burn::BurnRecorder;
use wigeonhall_burn::BurnSample;
use wigeonhall_burn::MAX_CAUSES;
use wigeonhall_burn::MAX_CLASSES;
use wigeonhall_burn::Outcome;
use wigeonhall_types::ClassKey;
use wigeonhall_types::ClassKind;
use wigeonhall_types::Deployment;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::QueryClass;
use wigeonhall_types::ServiceLevel;

const MINUTE_US: u64 = 60_000_000;

fn deployment(catalog: &mut NameCatalog, count: usize) -> Deployment {
    let mut deployment = Deployment::default();
    for index in 0..count {
        let class = QueryClass {
            deadline_ms: 1_000,
            depends_on: Vec::new(),
            kind: ClassKind::Read,
            level: ServiceLevel {
                latency_ms: 200,
                objective_ppm: 990_000,
            },
            slot_share_percent: 100,
            weight: 1,
        };
        let key = catalog.class(&format!("class-{index}"));
        deployment.classes.insert(key, class);
    }
    deployment
}

fn recorder(now_us: u64) -> (BurnRecorder, NameCatalog, ClassKey) {
    let mut catalog = NameCatalog::default();
    let mut recorder = BurnRecorder::new(now_us);
    recorder.set_deployment(now_us, &deployment(&mut catalog, 1));
    let class = catalog.class("class-0");
    (recorder, catalog, class)
}

fn sample(recorder: &mut BurnRecorder, now_us: u64, catalog: &NameCatalog) -> BurnSample {
    recorder.sample(now_us, &Arc::from("node"), catalog)
}

/// Returns the counts of good requests and of requests that spent error budget in each
/// window.
fn counts(sample: &BurnSample) -> Vec<(u64, u64)> {
    let windows = sample.classes[0].windows.iter();
    windows
        .map(|it| (it.good, it.spent.iter().map(|spent| spent.count).sum()))
        .collect()
}

/// Guards against requests that are counted in a window for too long or too short a time. They
/// leave it up to one bucket late: 30 s, or 5 minutes in the window of 6 hours.
#[test]
fn requests_expire_from_each_window() {
    let (mut recorder, catalog, class) = recorder(0);
    recorder.record_answer(0, class, 200_000);
    recorder.record_answer(0, class, 200_001);
    let mut at = |minute: u64| counts(&sample(&mut recorder, minute * MINUTE_US, &catalog));
    let all = (1, 1);
    let none = (0, 0);
    assert_eq!(at(4), [all, all, all, all]);
    assert_eq!(at(6), [none, all, all, all]);
    assert_eq!(at(31), [none, none, all, all]);
    assert_eq!(at(61), [none, none, none, all]);
    assert_eq!(at(364), [none, none, none, all]);
    assert_eq!(at(366), [none, none, none, none]);
}

/// Guards against a reused bucket that still holds the counts of six hours ago, and
/// against wrong counts for a timestamp that is older than the newest bucket. There is one
/// request every 30 s, and a window also contains the newest bucket.
#[test]
fn counts_are_right_after_gaps_and_late_timestamps() {
    let (mut recorder, catalog, class) = recorder(0);
    for step in 0..2_000_u64 {
        recorder.record(step * 30_000_000, class, Outcome::Good, "");
    }
    let end = 1_999 * 30_000_000;
    recorder.record(end - MINUTE_US, class, Outcome::Failed, "late");
    let windows = counts(&sample(&mut recorder, end, &catalog));
    assert_eq!(windows, [(11, 1), (61, 1), (121, 1), (730, 1)]);
    let later = end + 1_000 * MINUTE_US;
    assert_eq!(counts(&sample(&mut recorder, later, &catalog)), [(0, 0); 4]);
}

/// Guards against memory that grows with the number of causes or classes in requests.
#[test]
fn causes_and_classes_are_bounded() {
    let (mut recorder, mut catalog, class) = recorder(0);
    for index in 0..1_000 {
        recorder.record(0, class, Outcome::Refused, &format!("cause-{index}"));
    }
    let unknown = catalog.class("unknown");
    recorder.record(0, unknown, Outcome::Good, "");
    let counted = sample(&mut recorder, 0, &catalog);
    let spent = &counted.classes[0].windows[0].spent;
    assert_eq!(spent.len(), MAX_CAUSES);
    assert_eq!(&*spent[MAX_CAUSES - 1].cause, "other");
    assert_eq!(spent[MAX_CAUSES - 1].count, 1_000 - MAX_CAUSES as u64 + 1);
    assert_eq!(counted.uncounted, 1);
    recorder.set_deployment(0, &deployment(&mut catalog, 2 * MAX_CLASSES));
    assert_eq!(
        sample(&mut recorder, 0, &catalog).classes.len(),
        MAX_CLASSES
    );
}

/// Guards against losing the counts of a class that a new deployment keeps.
#[test]
fn counts_survive_a_new_deployment() {
    let (mut recorder, mut catalog, class) = recorder(0);
    recorder.record(0, class, Outcome::Good, "");
    let mut next = deployment(&mut catalog, 2);
    next.classes.get_mut(&class).unwrap().level.latency_ms = 300;
    recorder.set_deployment(MINUTE_US, &next);
    let counted = sample(&mut recorder, MINUTE_US, &catalog);
    assert_eq!(counted.classes[0].latency_ms, 300);
    assert_eq!(counts(&counted), [(1, 0); 4]);
    recorder.set_deployment(MINUTE_US, &Deployment::default());
    assert!(
        sample(&mut recorder, MINUTE_US, &catalog)
            .classes
            .is_empty()
    );
}
