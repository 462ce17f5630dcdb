//! Guards against requests that a stopping node sends to a replica although it ends before their
//! answer.

use wigeonhall_dispatch::StopLimit;

const MS: u64 = 1_000;

#[test]
fn a_request_is_accepted_only_if_its_target_latency_ends_before_the_last_answers() {
    let limit = StopLimit {
        ends_us: 5_600 * MS,
    };
    assert_eq!(limit.answers_due_us(), 5_400 * MS);
    assert!(limit.accepts(4_900 * MS, 500));
    assert!(!limit.accepts(4_901 * MS, 500));
}

#[test]
fn a_grace_period_of_nothing_accepts_nothing() {
    let limit = StopLimit { ends_us: 0 };
    assert_eq!(limit.answers_due_us(), 0);
    assert!(!limit.accepts(1, 500));
}
