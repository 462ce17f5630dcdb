//! Tests that answers report their coverage correctly and contain each row once.

mod prelude;

use prelude::*;

// While a shard is split, the old and the new service may both report the moved keys; the
// answer must not repeat their rows.
#[test]
fn reads_keys_held_by_two_services_only_once() {
    let mut harness = Harness::new(2);
    for replica in 2..4 {
        harness.report(replica, report(&[(1, &[range(500, 2_000)])], 0, 5_000));
    }
    let subs = sub_requests(&harness.read(1, Full));
    let first = answered(1, &[range(0, 1_000)], &[row(600, "a")]);
    harness.reply(&subs[0].1, first);
    let rows = [row(600, "a"), row(1_500, "b")];
    let second = answered(1, &[range(500, 2_000)], &rows);
    let answer = only_answer(&harness.reply(&subs[1].1, second));
    assert_eq!(answer.rows, [row(600, "a"), row(1_500, "b")]);
    assert_eq!(answer.coverage.read, [range(0, 2_000)]);
    assert_eq!(harness.coordinator.counters().rows_dropped, 1);
}

// A row outside the ranges of its reply may belong to a shard that has been moved since, so it
// must be dropped.
#[test]
fn drops_rows_outside_the_ranges_of_their_reply() {
    let mut harness = Harness::new(1);
    let subs = sub_requests(&harness.read(1, Full));
    let rows = [row(10, "a"), row(10, "a"), row(1_700, "stray")];
    let reply = answered(1, &[range(0, 1_000), range(100, 200)], &rows);
    let answer = only_answer(&harness.reply(&subs[0].1, reply));
    assert_eq!(answer.rows, [row(10, "a")]);
    assert_eq!(harness.coordinator.counters().rows_dropped, 2);
}

// If a reply covers fewer keys than requested, the missing keys must be read from another
// replica.
#[test]
fn retries_the_keys_that_a_short_reply_lacks() {
    let mut harness = Harness::new(1);
    let subs = sub_requests(&harness.read(1, Full));
    let short = answered(1, &[range(0, 400), range(700, 1_000)], &[row(1, "a")]);
    let retry = sub_requests(&harness.reply(&subs[0].1, short));
    assert_eq!(retry.len(), 1);
    assert_ne!(retry[0].1.replica, subs[0].1.replica);
    let rows = [row(1, "a"), row(500, "b")];
    let reply = answered(1, &[range(0, 1_000)], &rows);
    let answer = only_answer(&harness.reply(&retry[0].1, reply));
    assert_eq!(answer.status, AnswerStatus::Whole);
    assert_eq!(answer.rows, rows);
}

#[test]
fn reports_keys_that_no_replica_returns_as_absent() {
    let mut harness = Harness::new(1);
    let subs = sub_requests(&harness.read(1, Partial));
    let short = answered(1, &[range(0, 400)], &[]);
    let retry = sub_requests(&harness.reply(&subs[0].1, short.clone()));
    let answer = only_answer(&harness.reply(&retry[0].1, short));
    assert_eq!(answer.status, AnswerStatus::Partial);
    assert_eq!(answer.coverage.absent[0].range, range(400, 1_000));
}

#[test]
fn answers_part_of_the_range_at_the_deadline() {
    let mut harness = Harness::new(2);
    let subs = sub_requests(&harness.read(1, Partial));
    harness.reply(&subs[0].1, whole_reply(&subs[0].1));
    // The read was sent at 1 s with a deadline in 200 ms.
    let actions = harness.run_to(1_200_000);
    let answer = only_answer(&actions);
    assert_eq!(answer.status, AnswerStatus::Partial);
    assert_eq!(answer.verdict, Verdict::Ran);
    assert_eq!(answer.coverage.read, [range(0, 1_000)]);
    let absent = answer.coverage.absent[0];
    assert_eq!(absent.range, range(1_000, 2_000));
    assert_eq!(absent.reason, AbsentReason::DeadlinePassed);
}

// A read that requires full coverage must fail as soon as a shard cannot be read, not at the
// deadline.
#[test]
fn fails_a_full_read_as_soon_as_a_shard_cannot_be_read() {
    let mut harness = Harness::new(2);
    let subs = sub_requests(&harness.read(1, Full));
    let reason = FailureReason::ConnectionLost;
    let retry = sub_requests(&harness.reply(&subs[1].1, SubOutcome::Failed { reason }));
    let actions = harness.reply(&retry[0].1, SubOutcome::Failed { reason });
    let answer = only_answer(&actions);
    assert_eq!(answer.status, AnswerStatus::Failed(reason));
    assert_eq!(answer.verdict, Verdict::MayHaveRun);
    assert_eq!(cancels(&actions), [subs[0].1.attempt]);
}

// The verdict "not run" is wrong as soon as one sub-request is in flight or has run.
#[test]
fn verdict_is_not_run_only_if_every_sub_request_was_refused() {
    for (services, verdict) in [(1, Verdict::NotRun), (2, Verdict::MayHaveRun)] {
        let mut harness = Harness::new(services);
        let subs = sub_requests(&harness.read(1, Full));
        let refusal = refused(RefusalReason::Overloaded);
        let retry = sub_requests(&harness.reply(&subs[0].1, refusal.clone()));
        let answer = only_answer(&harness.reply(&retry[0].1, refusal));
        let reason = AbsentReason::Refused(RefusalReason::Overloaded);
        assert_eq!(answer.status, AnswerStatus::Refused(reason));
        assert_eq!(answer.verdict, verdict);
        assert!(answer.retry_after_ms.is_some());
    }
}
