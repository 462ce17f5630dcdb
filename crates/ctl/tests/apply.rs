//! Accepting a text: races, lost replies, history and the wait for nodes.

mod fake;

use crate::fake::Fake;
use crate::fake::PutFate;
use crate::fake::TEXT;
use wigeonhall_ctl::CtlError;
use wigeonhall_ctl::HISTORY_KEPT;
use wigeonhall_ctl::apply;
use wigeonhall_ctl::diff;
use wigeonhall_ctl::history;
use wigeonhall_ctl::show;

/// A second text that is accepted like `TEXT`.
fn slower() -> String {
    TEXT.replace("deadline_ms: 100", "deadline_ms: 200")
}

/// A fake in which `ada` applied `TEXT`.
fn applied() -> Fake {
    let fake = Fake::default();
    apply(&fake.operator("ada"), TEXT, None).unwrap();
    fake.state().puts = 0;
    fake
}

fn change_in_force(fake: &Fake) -> String {
    fake.current().unwrap().0.change_id.to_string()
}

/// Guards against a changed form of what operators and their scripts read.
#[test]
fn accepted_texts_are_reported() {
    let fake = applied();
    let changed = slower().replace("north 127.0.0.1:1\n", "south 127.0.0.1:3\n");
    let report = apply(&fake.operator("ada"), &changed, None)
        .unwrap()
        .report();
    insta::assert_snapshot!(fake.state().said.join("\n"));
    insta::assert_snapshot!(report.text);
    insta::assert_json_snapshot!(report.json);
}

/// Guards against the loser of a race who overwrites the winner or is not told by whom
/// it was overtaken.
#[test]
fn the_loser_of_a_race_is_told_the_winner() {
    let fake = applied();
    let winner = PutFate::After(Box::new(|fake| {
        apply(&fake.operator("bob"), &slower(), None).unwrap();
    }));
    fake.state().fates.push_back(winner);
    let error = apply(&fake.operator("eve"), &slower(), None).unwrap_err();
    assert_eq!(error.exit_code(), 3);
    insta::assert_snapshot!(error);
    assert_eq!(change_in_force(&fake), "bob-1");
}

/// Guards against a change that is applied twice or reported as failed when only its
/// reply, or the request itself, was lost.
#[test]
fn a_lost_reply_is_settled_by_reading_back() {
    for (fate, puts) in [
        (PutFate::ReplyLost, 1),
        (PutFate::RequestLost, 2),
        (PutFate::Late, 2),
    ] {
        let fake = applied();
        fake.state().fates.push_back(fate);
        let applied = apply(&fake.operator("eve"), &slower(), None).unwrap();
        assert_eq!(applied.change_id.as_deref(), Some("eve-1"));
        assert_eq!(change_in_force(&fake), "eve-1");
        assert_eq!(fake.current().unwrap().1, applied.generation);
        assert_eq!(fake.state().puts, puts);
    }
}

/// Guards against an accepted change that is reported as lost because another one was
/// accepted before its author could read it back.
#[test]
fn a_superseded_change_is_found_in_the_history() {
    let fake = applied();
    let next = PutFate::ReplyLostThen(Box::new(|fake| {
        apply(&fake.operator("bob"), TEXT, None).unwrap();
    }));
    fake.state().fates.push_back(next);
    let accepted = apply(&fake.operator("eve"), &slower(), None).unwrap();
    assert_eq!(accepted.change_id.as_deref(), Some("eve-1"));
    assert_eq!(change_in_force(&fake), "bob-1");
    assert!(accepted.generation < fake.current().unwrap().1);
}

/// Guards against a change that is reported as accepted when it lost the race and the
/// reply that says so was lost too.
#[test]
fn a_lost_conflict_is_a_conflict() {
    let fake = applied();
    let winner = PutFate::LostAfter(Box::new(|fake| {
        apply(&fake.operator("bob"), &slower(), None).unwrap();
    }));
    fake.state().fates.push_back(winner);
    let error = apply(
        &fake.operator("eve"),
        TEXT.replace("0.9", "0.8").as_str(),
        None,
    )
    .unwrap_err();
    assert!(matches!(error, CtlError::Conflict { author, .. } if &*author == "bob"));
    assert_eq!(change_in_force(&fake), "bob-1");
}

/// Guards against a guess when the store is down after the reply was lost.
#[test]
fn an_outage_leaves_the_outcome_open() {
    let fake = applied();
    fake.state().fates.push_back(PutFate::ReplyLostThenDown);
    let error = apply(&fake.operator("eve"), &slower(), None).unwrap_err();
    assert_eq!(error.exit_code(), 6);
    insta::assert_snapshot!(error);
    let error = apply(&fake.operator("eve"), &slower(), None).unwrap_err();
    assert_eq!(error.exit_code(), 5);
}

/// Guards against a report of success while a node does not have the change.
#[test]
fn missing_nodes_are_named() {
    let fake = applied();
    fake.state().deaf.push("127.0.0.1:22".parse().unwrap());
    let report = apply(&fake.operator("ada"), &slower(), None)
        .unwrap()
        .report();
    assert_eq!(report.exit_code, 4);
    insta::assert_snapshot!(report.text);
}

/// Guards against a text with mistakes that reaches the store, and a text already in
/// force that makes a new generation.
#[test]
fn nothing_is_written_without_need() {
    let fake = applied();
    let error = apply(&fake.operator("ada"), "vms: 1", None).unwrap_err();
    assert_eq!(error.exit_code(), 2);
    let unchanged = apply(&fake.operator("ada"), TEXT, None).unwrap();
    assert_eq!(unchanged.change_id, None);
    assert_eq!(fake.state().puts, 0);
}

/// Guards against a text that silently reverts a change accepted after it was read.
#[test]
fn a_text_edited_from_an_older_generation_is_refused() {
    let fake = applied();
    let base = fake.current().unwrap().1;
    apply(&fake.operator("bob"), &slower(), Some(base)).unwrap();
    let error = apply(&fake.operator("eve"), TEXT, Some(base)).unwrap_err();
    assert!(matches!(error, CtlError::Conflict { author, .. } if &*author == "bob"));
    assert_eq!(change_in_force(&fake), "bob-1");
}

/// Guards against a gap in the history after its author could not write it: the next
/// change writes the generation that it replaces, or is not made.
#[test]
fn the_next_change_completes_the_history() {
    let fake = Fake::default();
    fake.state().history_fails = true;
    let first = apply(&fake.operator("ada"), TEXT, None).unwrap();
    assert_eq!(first.notes.len(), 1);
    assert!(fake.kept().is_empty());
    let error = apply(&fake.operator("bob"), &slower(), None).unwrap_err();
    assert_eq!(error.exit_code(), 5);
    assert_eq!(change_in_force(&fake), "ada-1");
    fake.state().history_fails = false;
    apply(&fake.operator("bob"), &slower(), None).unwrap();
    insta::assert_snapshot!(fake.kept().join("\n"));
}

/// Guards against a history that fills the store, and against one that is listed or
/// shown wrong.
#[test]
fn the_history_is_bounded_and_readable() {
    let fake = Fake::default();
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
