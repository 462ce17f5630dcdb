//! Taking places out of service and returning them, with and without the store.

mod fake;

use crate::fake::Fake;
use crate::fake::PutFate;
use crate::fake::TEXT;
use wigeonhall_ctl::CtlError;
use wigeonhall_ctl::apply;
use wigeonhall_ctl::evacuate;
use wigeonhall_ctl::set_place;
use wigeonhall_settings::Place;

const NORTH: Place<'_> = Place::DataCentre("north");

fn applied() -> Fake {
    let fake = Fake::default();
    apply(&fake.operator("ada"), TEXT, None).unwrap();
    fake.state().said.clear();
    fake
}

fn text_in_force(fake: &Fake) -> String {
    fake.text()
}

fn contained(fake: &Fake) -> Vec<String> {
    let contains = fake.current().unwrap().0.contains;
    contains.iter().map(ToString::to_string).collect()
}

/// Guards against an edit that loses the operators' comments, and one that cannot be
/// taken back.
#[test]
fn out_and_in_change_one_flag() {
    let fake = applied();
    let out = set_place(&fake.operator("eve"), NORTH, true).unwrap();
    assert!(text_in_force(&fake).contains("north: { out: true }  # the first one\n"));
    insta::assert_snapshot!(out.report().text);
    set_place(&fake.operator("eve"), NORTH, false).unwrap();
    assert!(text_in_force(&fake).contains("north: { out: false }  # the first one\n"));
    insta::assert_snapshot!(fake.state().said.join("\n"));
}

/// Guards against an evacuation that undoes the change of another operator, or fails
/// because of it.
#[test]
fn a_race_is_won_on_the_newer_text() {
    let fake = applied();
    let other = PutFate::After(Box::new(|fake| {
        let text = TEXT.replace("deadline_ms: 100", "deadline_ms: 200");
        apply(&fake.operator("bob"), &text, None).unwrap();
    }));
    fake.state().fates.push_back(other);
    set_place(&fake.operator("eve"), NORTH, true).unwrap();
    let text = text_in_force(&fake);
    assert!(text.contains("out: true") && text.contains("deadline_ms: 200"));
}

/// Guards against endless tries against other operators.
#[test]
fn races_are_bounded() {
    let fake = applied();
    for round in 1..=20 {
        let other = PutFate::After(Box::new(move |fake| {
            let weight = format!("deadline_ms: {}", 100 + round);
            let fates = std::mem::take(&mut fake.state().fates);
            let text = TEXT.replace("deadline_ms: 100", &weight);
            apply(&fake.operator("bob"), &text, None).unwrap();
            fake.state().fates = fates;
        }));
        fake.state().fates.push_back(other);
    }
    let error = set_place(&fake.operator("eve"), NORTH, true).unwrap_err();
    assert!(matches!(error, CtlError::Conflict { .. }));
    assert_eq!(fake.state().fates.len(), 15);
}

/// Guards against an evacuation without the store that stays in force after the store
/// returned, or ends before the configuration holds it.
#[test]
fn the_next_out_contains_the_evacuation() {
    let fake = applied();
    fake.state().down = true;
    let mut eve = fake.operator("eve");
    assert_eq!(evacuate(&eve, NORTH), Err(CtlError::NoNodes));
    eve.node_addresses = vec!["127.0.0.1:21".parse().unwrap()];
    let report = evacuate(&eve, NORTH).unwrap();
    insta::assert_snapshot!(report.text);
    insta::assert_json_snapshot!(report.json);
    fake.state().down = false;
    let out = set_place(&fake.operator("bob"), NORTH, true).unwrap();
    assert_eq!(out.ended_overrides.len(), 1);
    assert_eq!(contained(&fake), ["eve-1"]);
    set_place(&fake.operator("bob"), NORTH, false).unwrap();
    assert_eq!(contained(&fake), ["eve-1"]);
}

/// Guards against a text, edited before an evacuation, that returns the place to service
/// unnoticed; `in` ends the evacuation on purpose.
#[test]
fn an_unrelated_apply_leaves_the_evacuation_in_force() {
    let fake = applied();
    let mut eve = fake.operator("eve");
    eve.node_addresses = vec!["127.0.0.1:21".parse().unwrap()];
    evacuate(&eve, NORTH).unwrap();
    let text = TEXT.replace("deadline_ms: 100", "deadline_ms: 200");
    let applied = apply(&fake.operator("bob"), &text, None).unwrap();
    assert!(applied.ended_overrides.is_empty());
    insta::assert_snapshot!(applied.report().text);
    set_place(&fake.operator("bob"), NORTH, false).unwrap();
    assert_eq!(contained(&fake), ["eve-1"]);
    assert_eq!(text_in_force(&fake), text);
    let out = text.replace("north:", "north: { out: true }");
    evacuate(&eve, NORTH).unwrap();
    apply(&fake.operator("bob"), &out, None).unwrap();
    assert_eq!(contained(&fake), ["eve-1", "eve-2"]);
}

/// Guards against an evacuation that is reported as done when no node took it.
#[test]
fn an_evacuation_that_no_node_took_fails() {
    let fake = applied();
    let mut eve = fake.operator("eve");
    eve.node_addresses = vec!["127.0.0.1:21".parse().unwrap()];
    fake.state().deaf = eve.node_addresses.clone();
    let error = evacuate(&eve, NORTH).unwrap_err();
    insta::assert_snapshot!(error);
    let error = set_place(&eve, Place::Vm("n-2"), true).unwrap_err();
    assert_eq!(error.exit_code(), 2);
    insta::assert_snapshot!(error);
}
