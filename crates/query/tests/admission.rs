//! Tests that requests are refused early if they cannot be answered in time, if their class
//! is unknown, or if the node is not ready.

mod prelude;

use prelude::*;

/// Reports an expected wait of 300 ms and a service time of 5 ms for the second service.
fn report_long_queues(harness: &mut Harness) {
    let held = [range(1_000, 2_000)];
    for replica in 2..4 {
        harness.report(replica, report(&[(1, &held[..])], 300_000, 5_000));
    }
}

#[test]
fn refuses_on_arrival_when_the_expected_time_exceeds_the_deadline() {
    let mut harness = Harness::new(2);
    report_long_queues(&mut harness);
    let actions = harness.read(1, Full);
    assert!(sub_requests(&actions).is_empty());
    let answer = only_answer(&actions);
    assert_eq!(answer.status, AnswerStatus::Refused(AbsentReason::TooLate));
    assert_eq!(answer.verdict, Verdict::NotRun);
    // The expected time of 305 ms exceeds the deadline in 200 ms by 105 ms.
    assert_eq!(answer.retry_after_ms, Some(105));
}

// A node that received a report of a long queue must not refuse every request until the next
// report arrives: the expected wait shrinks as the report ages.
#[test]
fn subtracts_the_age_of_a_report_from_its_wait() {
    let mut harness = Harness::new(1);
    let held = [range(0, 1_000)];
    let longest_us = deployment(1, 2).classes[&READ_CLASS].longest_wait_us();
    let whole = range(0, 1_000);
    let within_us = 2 * longest_us;
    for replica in 0..2 {
        harness.report(replica, report(&[(1, &held[..])], longest_us + 1_000, 5));
    }
    let answer = only_answer(&harness.read_range(1, Full, whole, within_us));
    assert_eq!(answer.status, AnswerStatus::Refused(AbsentReason::TooLate));
    harness.now_us += 1_000;
    assert_eq!(
        sub_requests(&harness.read_range(2, Full, whole, within_us)).len(),
        1
    );
}

// A request that replicas at their limit refuse one after another must be refused after two
// round trips to owners (the nodes through which all requests to the replicas go). A third or
// fourth sub-request would delay the refusal.
#[test]
fn refuses_after_two_replicas_at_their_limit() {
    let mut harness = Harness::without_reports(1, 8);
    let held = [range(0, 1_000)];
    for replica in 0..8 {
        harness.report(replica, report(&[(1, &held[..])], 0, 5_000));
    }
    let refused_wait_us = deployment(1, 8).classes[&READ_CLASS].longest_wait_us() / 2;
    let refusal = |reason| SubOutcome::Refused {
        reason,
        retry_after_us: refused_wait_us,
    };
    harness.now_us += 100_000;
    let actions = harness.read_range(1, Full, range(0, 1_000), 8 * refused_wait_us);
    let (_, first) = sub_requests(&actions).remove(0);
    assert!(first.start_within_us.is_some());
    harness.now_us += 2_000;
    let (_, last) = sub_requests(&harness.reply(&first, refusal(RefusalReason::Busy))).remove(0);
    assert_eq!(last.start_within_us, None);
    harness.now_us += 2_000;
    let answer = only_answer(&harness.reply(&last, refusal(RefusalReason::Overloaded)));
    let overloaded = AbsentReason::Refused(RefusalReason::Overloaded);
    assert_eq!(answer.status, AnswerStatus::Refused(overloaded));
    assert_eq!(answer.verdict, Verdict::NotRun);
    assert!(answer.retry_after_ms.is_some());
}

// A leg is the share of a read that one shard service answers.
#[test]
fn reads_only_the_legs_that_can_meet_the_deadline() {
    let mut harness = Harness::new(2);
    report_long_queues(&mut harness);
    let subs = sub_requests(&harness.read(1, Partial));
    assert_eq!(subs.len(), 1);
    let answer = only_answer(&harness.reply(&subs[0].1, whole_reply(&subs[0].1)));
    assert_eq!(answer.status, AnswerStatus::Partial);
    assert_eq!(answer.coverage.absent[0].reason, AbsentReason::TooLate);
}

#[test]
fn refuses_unknown_classes_and_passed_deadlines() {
    let cases = [
        (READ_CLASS, 0, AbsentReason::DeadlinePassed),
        (WRITE_CLASS, 1_000_000, AbsentReason::UnknownClass),
        (ClassKey(9), 1_000_000, AbsentReason::UnknownClass),
    ];
    for (class, within_us, reason) in cases {
        let mut harness = Harness::new(1);
        let query = ReadQuery {
            class,
            deadline_us: harness.now_us + within_us,
            demand: Full,
            id: QueryId(1),
            range: range(0, 1_000),
        };
        let answer = only_answer(&harness.event(QueryEvent::Read(query)));
        assert_eq!(answer.status, AnswerStatus::Refused(reason));
        assert_eq!(answer.verdict, Verdict::NotRun);
    }
}

#[test]
fn refuses_before_a_deployment_and_owners_are_known() {
    let config = CoordinatorConfig {
        boot: BOOT,
        data_centre: DataCentreKey(0),
        node: NodeKey(0),
    };
    let coordinator = Coordinator::new(config, 1);
    let mut harness = Harness {
        coordinator,
        now_us: 1,
        services: 1,
    };
    let not_ready = AnswerStatus::Refused(AbsentReason::NotReady);
    assert_eq!(only_answer(&harness.read(1, Full)).status, not_ready);
    let deployment = Arc::new(deployment(1, 2));
    harness.event(QueryEvent::Deployment(deployment));
    assert_eq!(only_answer(&harness.read(2, Full)).status, not_ready);
}
