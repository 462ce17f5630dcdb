//! Tests that a write is executed at most once and that its verdict is correct. A claim is a stored
//! record that gives one attempt the right to run a write; it is settled when its outcome is
//! stored.

mod prelude;

use prelude::*;

/// Query id of the writes that `claim_result` applies to.
const ID: QueryId = QueryId(1);

fn claims(actions: &[QueryAction]) -> Vec<Claim> {
    let claims = actions.iter().filter_map(|action| match action {
        QueryAction::CreateClaim { claim, .. } | QueryAction::UpdateClaim { claim, .. } => {
            Some(claim.clone())
        }
        _ => None,
    });
    claims.collect()
}

fn claim_result(harness: &mut Harness, result: ClaimResult) -> Vec<QueryAction> {
    harness.event(QueryEvent::Claim { id: ID, result })
}

/// Returns a harness with a write that holds its claim, and the sub-request in flight.
fn write_in_flight() -> (Harness, SubRequest) {
    let mut harness = Harness::new(1);
    let claims = claims(&harness.write(1, true));
    assert_eq!(claims[0].outcome, ClaimOutcome::Open);
    let subs = sub_requests(&claim_result(
        &mut harness,
        ClaimResult::Stored { version: 1 },
    ));
    assert_eq!(subs.len(), 1);
    (harness, subs[0].1.clone())
}

fn claim_of_other_attempt(outcome: ClaimOutcome) -> ClaimResult {
    let held = Claim {
        issued_unix_ms: UNIX_MS,
        outcome,
        request_id: "r".into(),
        token: 0,
    };
    ClaimResult::Conflict { held, version: 7 }
}

#[test]
fn stores_the_outcome_in_the_claim() {
    let (mut harness, sub) = write_in_flight();
    let actions = harness.reply(&sub, answered(1, &[range(10, 11)], &[]));
    assert_eq!(
        claims(&actions)[0].outcome,
        ClaimOutcome::Ran(IndexVersion(1))
    );
    assert!(matches!(
        actions[0],
        QueryAction::UpdateClaim { version: 1, .. }
    ));
    let answer = only_answer(&actions);
    assert_eq!(answer.status, AnswerStatus::Whole);
    assert_eq!(answer.verdict, Verdict::Ran);
    assert_eq!(harness.coordinator.open_requests(), 0);
}

// If the reply to a create is lost, reading the claim back returns this attempt's own token.
// The write must then be sent exactly once.
#[test]
fn recognises_its_own_claim_by_the_token_after_a_lost_reply() {
    let mut harness = Harness::new(1);
    let own = claims(&harness.write(1, true)).remove(0);
    let conflict = ClaimResult::Conflict {
        held: own,
        version: 3,
    };
    assert_eq!(
        sub_requests(&claim_result(&mut harness, conflict.clone())).len(),
        1
    );
    assert!(claim_result(&mut harness, conflict).is_empty());
}

#[test]
fn answers_a_repeat_from_its_claim() {
    let cases = [
        (
            ClaimOutcome::Ran(IndexVersion(4)),
            AnswerStatus::Whole,
            Verdict::Ran,
        ),
        (
            ClaimOutcome::Open,
            AnswerStatus::Refused(AbsentReason::ClaimOpen),
            Verdict::MayHaveRun,
        ),
    ];
    for (outcome, status, verdict) in cases {
        // `first_attempt` is wrong here; the claim must take precedence.
        let mut harness = Harness::new(1);
        harness.write(1, true);
        let actions = claim_result(&mut harness, claim_of_other_attempt(outcome));
        let answer = only_answer(&actions);
        assert_eq!((answer.status, answer.verdict), (status, verdict));
        assert!(sub_requests(&actions).is_empty());
    }
}

// A repeated request must find its answer even if no replica accepts writes now.
#[test]
fn reads_the_claim_of_a_repeat_before_choosing_a_replica() {
    let mut harness = Harness::without_reports(1, 2);
    assert_eq!(claims(&harness.write(1, false)).len(), 1);
    let outcome = ClaimOutcome::Ran(IndexVersion(4));
    let answer = only_answer(&claim_result(&mut harness, claim_of_other_attempt(outcome)));
    assert_eq!(answer.verdict, Verdict::Ran);
}

#[test]
fn takes_over_a_released_claim() {
    let mut harness = Harness::new(1);
    let own = claims(&harness.write(1, false)).remove(0);
    let actions = claim_result(&mut harness, claim_of_other_attempt(ClaimOutcome::Released));
    let update = QueryAction::UpdateClaim {
        claim: own,
        id: ID,
        version: 7,
    };
    assert_eq!(actions, [update]);
    let stored = ClaimResult::Stored { version: 8 };
    assert_eq!(sub_requests(&claim_result(&mut harness, stored)).len(), 1);
    assert_eq!(harness.coordinator.counters().claims_taken_over, 1);
}

// A node that was paused past the deadline processes the claim result and the deadline timer
// together. The result shows that another attempt has used the request id, so "not run" may be
// wrong.
#[test]
fn processes_a_claim_conflict_before_a_passed_deadline() {
    for outcome in [ClaimOutcome::Open, ClaimOutcome::Released] {
        let mut harness = Harness::new(1);
        harness.write(1, true);
        harness.now_us = harness.write_query(1, true).deadline_us + 1;
        let actions = claim_result(&mut harness, claim_of_other_attempt(outcome));
        let answer = only_answer(&actions);
        assert_eq!(answer.verdict, Verdict::MayHaveRun);
        assert!(sub_requests(&actions).is_empty());
    }
}

// With equal tokens, two nodes would each mistake the other's claim for their own.
#[test]
fn nodes_with_the_same_seed_draw_different_tokens() {
    let tokens = [1, 2].map(|boot| {
        let mut harness = Harness::with_boot(1, 2, boot);
        claims(&harness.write(1, false)).remove(0).token
    });
    assert_ne!(tokens[0], tokens[1]);
}

// If another attempt takes over the released claim first, this attempt must not send the
// write.
#[test]
fn does_not_send_after_a_failed_takeover() {
    let mut harness = Harness::new(1);
    harness.write(1, false);
    claim_result(&mut harness, claim_of_other_attempt(ClaimOutcome::Released));
    let actions = claim_result(&mut harness, claim_of_other_attempt(ClaimOutcome::Open));
    assert_eq!(only_answer(&actions).verdict, Verdict::MayHaveRun);
    assert!(sub_requests(&actions).is_empty());
}

#[test]
fn refuses_while_the_store_is_down() {
    for (first, verdict) in [(true, Verdict::NotRun), (false, Verdict::MayHaveRun)] {
        let mut harness = Harness::new(1);
        harness.write(1, first);
        let answer = only_answer(&claim_result(&mut harness, ClaimResult::Unknown));
        assert_eq!(
            answer.status,
            AnswerStatus::Refused(AbsentReason::StoreDown)
        );
        assert_eq!(answer.verdict, verdict);
    }
}

// A claim of another attempt disproves the caller's assertion that this is the first attempt.
#[test]
fn verdict_is_may_have_run_after_another_attempt_was_seen() {
    let mut harness = Harness::new(1);
    harness.write(1, true);
    claim_result(&mut harness, claim_of_other_attempt(ClaimOutcome::Released));
    let answer = only_answer(&claim_result(&mut harness, ClaimResult::Unknown));
    assert_eq!(answer.verdict, Verdict::MayHaveRun);
}

#[test]
fn refuses_issue_times_outside_the_claim_retention() {
    // Claims are kept for 24 h, and the caller's clock may lead by 5 minutes.
    let cases = [
        (UNIX_MS - 24 * HOUR_MS, None),
        (UNIX_MS - 24 * HOUR_MS - 1, Some(Verdict::MayHaveRun)),
        (UNIX_MS + HOUR_MS / 12, None),
        (UNIX_MS + HOUR_MS / 12 + 1, Some(Verdict::NotRun)),
    ];
    for (issued_unix_ms, verdict) in cases {
        let mut harness = Harness::new(1);
        let mut query = harness.write_query(1, true);
        query.issued_unix_ms = issued_unix_ms;
        let actions = harness.event(QueryEvent::Write(query));
        let answer = answers(&actions).pop();
        assert_eq!(answer.map(|it| it.verdict), verdict);
        assert_eq!(claims(&actions).len(), usize::from(verdict.is_none()));
    }
}

// After these outcomes the target may have run the write, so sending it again might run it
// twice.
#[test]
fn does_not_resend_a_write_that_may_have_run() {
    let reasons = [
        FailureReason::BadReply,
        FailureReason::Cancelled,
        FailureReason::ConnectionLost,
        FailureReason::DeadlineExceeded,
        FailureReason::OwnerLost,
    ];
    for reason in reasons {
        let (mut harness, sub) = write_in_flight();
        let mut actions = harness.reply(&sub, SubOutcome::Failed { reason });
        actions.extend(harness.run_to(1_300_000));
        let answer = only_answer(&actions);
        assert_eq!(answer.status, AnswerStatus::Failed(reason));
        assert_eq!(answer.verdict, Verdict::MayHaveRun);
        assert!(sub_requests(&actions).is_empty() && claims(&actions).is_empty());
    }
}

#[test]
fn resends_after_a_refusal_and_releases_the_claim_when_all_refuse() {
    for reason in [RefusalReason::Shed, RefusalReason::Leaving] {
        let (mut harness, sub) = write_in_flight();
        let again = sub_requests(&harness.reply(&sub, refused(reason)));
        assert_eq!(again.len(), 1);
        assert_ne!(again[0].1.replica, sub.replica);
        let mut actions = harness.reply(&again[0].1, refused(reason));
        actions.extend(harness.run_to(1_300_000));
        let answer = only_answer(&actions);
        assert_eq!(answer.verdict, Verdict::NotRun);
        assert_eq!(
            claims(&actions).pop().expect("release").outcome,
            ClaimOutcome::Released
        );
    }
}

#[test]
fn never_hedges_writes() {
    let (mut harness, _) = write_in_flight();
    assert!(sub_requests(&harness.run_to(1_199_999)).is_empty());
}

// A repeated request must find the outcome in the claim although the first answer was "may
// have run".
#[test]
fn settles_the_claim_with_a_late_reply() {
    for lose_node in [false, true] {
        for ran in [true, false] {
            let (mut harness, sub) = write_in_flight();
            let actions = if lose_node {
                let owner = NodeKey(sub.replica.0 % 2);
                harness.event(QueryEvent::NodeLost(owner))
            } else {
                harness.run_to(1_200_000)
            };
            assert_eq!(only_answer(&actions).verdict, Verdict::MayHaveRun);
            assert_eq!(harness.coordinator.open_requests(), 0);
            let (outcome, settled) = if ran {
                let outcome = answered(1, &[range(10, 11)], &[]);
                (outcome, ClaimOutcome::Ran(IndexVersion(1)))
            } else {
                let outcome = refused(RefusalReason::DeadlinePassed);
                (outcome, ClaimOutcome::Released)
            };
            let actions = harness.reply(&sub, outcome.clone());
            assert!(answers(&actions).is_empty());
            assert_eq!(claims(&actions)[0].outcome, settled);
            assert!(harness.reply(&sub, outcome).is_empty());
        }
    }
}

#[test]
fn releases_a_claim_that_is_stored_after_the_deadline() {
    let mut harness = Harness::new(1);
    harness.write(1, true);
    let answer = only_answer(&harness.run_to(1_200_000));
    assert_eq!(answer.verdict, Verdict::NotRun);
    let actions = claim_result(&mut harness, ClaimResult::Stored { version: 1 });
    assert!(sub_requests(&actions).is_empty());
    assert_eq!(claims(&actions)[0].outcome, ClaimOutcome::Released);
}

// After the caller disconnects, a repeated request must still find the outcome, and nothing
// new may be sent.
#[test]
fn settles_the_claim_after_the_caller_disconnected() {
    let (mut harness, sub) = write_in_flight();
    assert!(harness.event(QueryEvent::CallerDisconnected(ID)).is_empty());
    let actions = harness.reply(&sub, answered(1, &[range(10, 11)], &[]));
    assert!(answers(&actions).is_empty());
    assert_eq!(claims(&actions).len(), 1);

    let mut harness = Harness::new(1);
    harness.write(1, true);
    harness.event(QueryEvent::CallerDisconnected(ID));
    let actions = claim_result(&mut harness, ClaimResult::Stored { version: 1 });
    assert!(sub_requests(&actions).is_empty());
    assert_eq!(claims(&actions)[0].outcome, ClaimOutcome::Released);
}

// While shards are repartitioned, two services may hold the key at different versions.
#[test]
fn sends_to_the_service_at_the_newest_version_that_all_report() {
    let mut harness = Harness::new(2);
    let (low, high) = ([range(0, 1_000)], [range(1_000, 2_000)]);
    let (new_low, new_high) = ([range(0, 5)], [range(5, 2_000)]);
    for replica in 0..2 {
        let served = [(1, &low[..]), (2, &new_low[..]), (3, &low[..])];
        harness.report(replica, report(&served, 0, 5_000));
    }
    for replica in 2..4 {
        let served = [(1, &high[..]), (2, &new_high[..])];
        harness.report(replica, report(&served, 0, 5_000));
    }
    harness.write(1, true);
    let subs = sub_requests(&claim_result(
        &mut harness,
        ClaimResult::Stored { version: 1 },
    ));
    assert_eq!(subs[0].1.version, Some(IndexVersion(2)));
    assert_eq!(subs[0].1.replica.0 / 2, 1);
}
