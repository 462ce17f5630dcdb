//! Tests that an answer never mixes index versions, and that reads restart when their version
//! is gone. The snapshot of a read is the index version that all its sub-requests are pinned to.

mod prelude;

use prelude::*;

// During a rolling update, preferring the newest version alone would send every query to the
// first replica that has it.
#[test]
fn pins_the_version_that_most_replicas_serve() {
    let mut harness = Harness::without_reports(1, 3);
    let held = [range(0, 1_000)];
    let old = [(1, &held[..]), (2, &held[..])];
    let new = [(2, &held[..]), (3, &held[..])];
    for replica in 0..2 {
        harness.report(replica, report(&old, 0, 5_000));
    }
    harness.report(2, report(&new, 0, 5_000));
    let (_, sub) = sub_requests(&harness.read(1, Full)).remove(0);
    assert_eq!(sub.version, Some(IndexVersion(2)));
    for replica in 0..2 {
        harness.report(replica, report(&new, 0, 5_000));
    }
    let (_, sub) = sub_requests(&harness.read(2, Full)).remove(0);
    assert_eq!(sub.version, Some(IndexVersion(3)));
}

// A version that only some shards serve would leave part of the range unread.
#[test]
fn pins_the_newest_version_that_every_shard_serves() {
    let mut harness = Harness::new(2);
    harness.report_all(&[1, 2]);
    let held = [range(0, 1_000)];
    let served = [(1, &held[..]), (2, &held[..]), (3, &held[..])];
    harness.report(0, report(&served, 0, 5_000));
    let subs = sub_requests(&harness.read(1, Full));
    assert_eq!(subs.len(), 2);
    assert!(
        subs.iter()
            .all(|(_, sub)| sub.version == Some(IndexVersion(2)))
    );
}

#[test]
fn pins_the_version_with_the_most_keys_if_none_covers_the_range() {
    let mut harness = Harness::new(2);
    let held = [range(0, 1_000)];
    for replica in 0..2 {
        harness.report(replica, report(&[(1, &held[..]), (2, &held[..])], 0, 5_000));
    }
    let other = [range(1_000, 1_500)];
    for replica in 2..4 {
        harness.report(replica, report(&[(1, &other[..])], 0, 5_000));
    }
    let subs = sub_requests(&harness.read(1, Partial));
    assert!(
        subs.iter()
            .all(|(_, sub)| sub.version == Some(IndexVersion(1)))
    );
    harness.reply(&subs[0].1, whole_reply(&subs[0].1));
    let reply = answered(1, &[range(1_000, 1_500)], &[]);
    let answer = only_answer(&harness.reply(&subs[1].1, reply));
    assert_eq!(answer.status, AnswerStatus::Partial);
    assert_eq!(answer.coverage.read, [range(0, 1_500)]);
    assert_eq!(answer.coverage.absent[0].range, range(1_500, 2_000));
}

// A reply at another version must not be merged, even if the shard has no other replica.
#[test]
fn never_merges_a_reply_of_another_version() {
    let mut harness = Harness::new(2);
    let subs = sub_requests(&harness.read(1, Partial));
    harness.reply(&subs[0].1, whole_reply(&subs[0].1));
    let newer = answered(2, &[range(1_000, 2_000)], &[row(1_000, "new")]);
    let retry = sub_requests(&harness.reply(&subs[1].1, newer.clone()));
    assert_eq!(retry.len(), 1);
    let mut actions = harness.reply(&retry[0].1, newer);
    actions.extend(harness.run_to(1_200_000));
    let answer = only_answer(&actions);
    assert_eq!(answer.coverage.read, [range(0, 1_000)]);
    assert_eq!(answer.rows, [row(0, "x")]);
    assert_eq!(harness.coordinator.counters().replies_wrong_version, 2);
}

// Rows read at the old version must not remain in the answer at the newer version.
#[test]
fn restarts_as_a_whole_when_the_pinned_version_is_gone() {
    let mut harness = Harness::new(2);
    let subs = sub_requests(&harness.read(1, Full));
    harness.reply(
        &subs[0].1,
        answered(1, &[range(0, 1_000)], &[row(5, "old")]),
    );
    harness.report_all(&[2]);
    let actions = harness.reply(&subs[1].1, SubOutcome::VersionGone);
    let restarted = sub_requests(&actions);
    assert_eq!(restarted.len(), 2);
    assert!(answers(&actions).is_empty());
    for (_, sub) in &restarted {
        assert_eq!(sub.version, Some(IndexVersion(2)));
    }
    harness.reply(&restarted[0].1, whole_reply(&restarted[0].1));
    let answer = only_answer(&harness.reply(&restarted[1].1, whole_reply(&restarted[1].1)));
    assert_eq!(answer.status, AnswerStatus::Whole);
    assert_eq!(answer.snapshot, Some(IndexVersion(2)));
    assert_eq!(answer.rows, [row(0, "x"), row(1_000, "x")]);
    assert_eq!(harness.coordinator.counters().restarts, 1);
}

#[test]
fn cancels_open_sub_requests_on_a_restart() {
    let mut harness = Harness::new(2);
    let subs = sub_requests(&harness.read(1, Full));
    harness.report_all(&[2]);
    let actions = harness.reply(&subs[1].1, SubOutcome::VersionGone);
    assert_eq!(cancels(&actions), [subs[0].1.attempt]);
}

// Reports of the newer version may arrive after the refusals, so the read must wait for them.
#[test]
fn waits_for_reports_of_a_newer_version() {
    let mut harness = Harness::new(1);
    let subs = sub_requests(&harness.read(1, Full));
    let retry = sub_requests(&harness.reply(&subs[0].1, SubOutcome::VersionGone));
    let actions = harness.reply(&retry[0].1, SubOutcome::VersionGone);
    assert!(answers(&actions).is_empty());
    harness.report_all(&[2]);
    let restarted = sub_requests(&harness.run_to(1_002_000));
    assert_eq!(restarted[0].1.version, Some(IndexVersion(2)));
}

#[test]
fn refuses_when_the_pinned_version_is_gone_and_no_newer_one_is_reported() {
    let mut harness = Harness::new(1);
    let subs = sub_requests(&harness.read(1, Full));
    let retry = sub_requests(&harness.reply(&subs[0].1, SubOutcome::VersionGone));
    harness.reply(&retry[0].1, SubOutcome::VersionGone);
    let answer = only_answer(&harness.run_to(1_100_000));
    assert_eq!(answer.verdict, Verdict::NotRun);
    assert!(answer.retry_after_ms.is_some());
}

// Sub-requests that a restart cancels may have run. The newer version may have no leg for
// their shard, because the shard was merged into another.
#[test]
fn verdict_is_may_have_run_after_a_restart_cancelled_sub_requests() {
    let mut harness = Harness::new(2);
    let subs = sub_requests(&harness.read(1, Full));
    for replica in 0..4 {
        let held = [range(0, if replica < 2 { 2_000 } else { 0 })];
        harness.report(replica, report(&[(2, &held[..])], 0, 5_000));
    }
    let actions = harness.reply(&subs[1].1, SubOutcome::VersionGone);
    assert_eq!(cancels(&actions), [subs[0].1.attempt]);
    let restarted = sub_requests(&actions);
    assert_eq!(restarted.len(), 1);
    let refusal = refused(RefusalReason::Overloaded);
    let retry = sub_requests(&harness.reply(&restarted[0].1, refusal.clone()));
    let answer = only_answer(&harness.reply(&retry[0].1, refusal));
    assert_eq!(answer.verdict, Verdict::MayHaveRun);
}
