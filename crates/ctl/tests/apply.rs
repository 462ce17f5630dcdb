//! Tests of `apply`: conflicts, lost replies, the history and the wait for nodes.

mod fake;

use crate::fake::FakeCluster;
use crate::fake::PutFault;
use crate::fake::TEXT;
use wigeonhall_ctl::CtlError;
use wigeonhall_ctl::HISTORY_KEPT;
use wigeonhall_ctl::apply;
use wigeonhall_ctl::diff;
use wigeonhall_ctl::history;
use wigeonhall_ctl::show;

/// A valid text that differs from `TEXT` in one deadline.
fn text_with_other_deadline() -> String {
    TEXT.replace("deadline_ms: 100", "deadline_ms: 200")
}

/// A cluster in which `ada` applied `TEXT`.
fn applied() -> FakeCluster {
    let fake = FakeCluster::default();
    apply(&fake.operator("ada"), TEXT, None).unwrap();
    fake.state().puts = 0;
    fake
}

fn change_in_force(fake: &FakeCluster) -> String {
    fake.current().unwrap().0.change_id.to_string()
}

/// Guards against changes to the output that operators and their scripts read.
#[test]
fn apply_reports_changes_and_generation() {
    let fake = applied();
    let changed = text_with_other_deadline().replace("north 127.0.0.1:1\n", "south 127.0.0.1:3\n");
    let report = apply(&fake.operator("ada"), &changed, None)
        .unwrap()
        .report();
    insta::assert_snapshot!(fake.state().said.join("\n"));
    insta::assert_snapshot!(report.text);
    insta::assert_json_snapshot!(report.json);
}

/// Guards against a change that overwrites one accepted just before it, and against a
/// conflict error that does not name the accepted change.
#[test]
fn conflict_names_the_accepted_change() {
    let fake = applied();
    let fault = PutFault::OtherChangeFirst(Box::new(|fake| {
        apply(&fake.operator("bob"), &text_with_other_deadline(), None).unwrap();
    }));
    fake.state().put_faults.push_back(fault);
    let error = apply(&fake.operator("eve"), &text_with_other_deadline(), None).unwrap_err();
    assert_eq!(error.exit_code(), 3);
    insta::assert_snapshot!(error);
    assert_eq!(change_in_force(&fake), "bob-1");
}

/// Guards against a change that is applied twice, or reported as failed, after its request
/// or only its reply was lost.
#[test]
fn lost_reply_is_resolved_by_reading_back() {
    for (fault, puts) in [
        (PutFault::ReplyLost, 1),
        (PutFault::RequestLost, 2),
        (PutFault::AppliedAfterNextRead, 2),
    ] {
        let fake = applied();
        fake.state().put_faults.push_back(fault);
        let applied = apply(&fake.operator("eve"), &text_with_other_deadline(), None).unwrap();
        assert_eq!(applied.change_id.as_deref(), Some("eve-1"));
        assert_eq!(change_in_force(&fake), "eve-1");
        assert_eq!(fake.current().unwrap().1, applied.generation);
        assert_eq!(fake.state().puts, puts);
    }
}

/// Guards against an accepted change that is reported as rejected because another one was
/// accepted before the command read the object back.
#[test]
fn superseded_change_is_found_in_history() {
    let fake = applied();
    let fault = PutFault::ReplyLostThen(Box::new(|fake| {
        apply(&fake.operator("bob"), TEXT, None).unwrap();
    }));
    fake.state().put_faults.push_back(fault);
    let accepted = apply(&fake.operator("eve"), &text_with_other_deadline(), None).unwrap();
    assert_eq!(accepted.change_id.as_deref(), Some("eve-1"));
    assert_eq!(change_in_force(&fake), "bob-1");
    assert!(accepted.generation < fake.current().unwrap().1);
}

/// Guards against a change that is reported as accepted when it met a conflict and the
/// reply with the conflict was lost.
#[test]
fn conflict_with_lost_reply_is_reported() {
    let fake = applied();
    let fault = PutFault::OtherChangeThenReplyLost(Box::new(|fake| {
        apply(&fake.operator("bob"), &text_with_other_deadline(), None).unwrap();
    }));
    fake.state().put_faults.push_back(fault);
    let error = apply(
        &fake.operator("eve"),
        TEXT.replace("0.9", "0.8").as_str(),
        None,
    )
    .unwrap_err();
    assert!(matches!(error, CtlError::Conflict { author, .. } if &*author == "bob"));
    assert_eq!(change_in_force(&fake), "bob-1");
}

/// Guards against a change that is reported as accepted or rejected when the reply was
/// lost and the store is down.
#[test]
fn outage_after_lost_reply_leaves_outcome_unknown() {
    let fake = applied();
    fake.state()
        .put_faults
        .push_back(PutFault::ReplyLostThenDown);
    let error = apply(&fake.operator("eve"), &text_with_other_deadline(), None).unwrap_err();
    assert_eq!(error.exit_code(), 6);
    insta::assert_snapshot!(error);
    let error = apply(&fake.operator("eve"), &text_with_other_deadline(), None).unwrap_err();
    assert_eq!(error.exit_code(), 5);
}

/// Guards against a report of success while a node lacks the generation.
#[test]
fn nodes_without_the_generation_are_reported() {
    let fake = applied();
    fake.state()
        .unreachable_nodes
        .push("127.0.0.1:22".parse().unwrap());
    let report = apply(&fake.operator("ada"), &text_with_other_deadline(), None)
        .unwrap()
        .report();
    assert_eq!(report.exit_code, 4);
    insta::assert_snapshot!(report.text);
}

/// Guards against writing a text with errors, and against a new generation for a text that
/// is already in force.
#[test]
fn invalid_or_unchanged_text_is_not_written() {
    let fake = applied();
    let error = apply(&fake.operator("ada"), "vms: 1", None).unwrap_err();
    assert_eq!(error.exit_code(), 2);
    let unchanged = apply(&fake.operator("ada"), TEXT, None).unwrap();
    assert_eq!(unchanged.change_id, None);
    assert_eq!(fake.state().puts, 0);
}

/// Guards against a text that silently reverts a change that was accepted after the text
/// was read.
#[test]
fn stale_base_generation_is_rejected() {
    let fake = applied();
    let base = fake.current().unwrap().1;
    apply(
        &fake.operator("bob"),
        &text_with_other_deadline(),
        Some(base),
    )
    .unwrap();
    let error = apply(&fake.operator("eve"), TEXT, Some(base)).unwrap_err();
    assert!(matches!(error, CtlError::Conflict { author, .. } if &*author == "bob"));
    assert_eq!(change_in_force(&fake), "bob-1");
}

/// Guards against a gap in the history after a command could not write its generation
/// there. The next change writes the generation that it replaces, or fails.
#[test]
fn next_change_writes_missing_history_entry() {
    let fake = FakeCluster::default();
    fake.state().history_fails = true;
    let first = apply(&fake.operator("ada"), TEXT, None).unwrap();
    assert_eq!(first.notes.len(), 1);
    assert!(fake.kept().is_empty());
    let error = apply(&fake.operator("bob"), &text_with_other_deadline(), None).unwrap_err();
    assert_eq!(error.exit_code(), 5);
    assert_eq!(change_in_force(&fake), "ada-1");
    fake.state().history_fails = false;
    apply(&fake.operator("bob"), &text_with_other_deadline(), None).unwrap();
    insta::assert_snapshot!(fake.kept().join("\n"));
}

/// Guards against a history that grows without bound, and against wrong lists, texts and
/// differences of old generations.
#[test]
fn history_is_bounded_and_readable() {
    let fake = FakeCluster::default();
    let operator = fake.operator("ada");
    for round in 0..HISTORY_KEPT + 10 {
        let deadline = format!("deadline_ms: {}", 100 + round);
        apply(
            &operator,
            &TEXT.replace("deadline_ms: 100", &deadline),
            None,
        )
        .unwrap();
    }
    assert_eq!(fake.kept().len(), HISTORY_KEPT);
    let list = history(&operator, 3).unwrap();
    insta::assert_snapshot!(list.text);
    let generation = list.json[2]["generation"].as_u64().unwrap();
    let text = show(&operator, generation).unwrap().text;
    assert!(text.contains("deadline_ms: 307"));
    assert_eq!(show(&operator, 1), Err(CtlError::UnknownGeneration(1)));
    let changes = diff(&operator, TEXT, Some(generation)).unwrap();
    insta::assert_snapshot!(changes.text);
}
