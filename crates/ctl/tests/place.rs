//! Tests of taking data centres and VMs out of service and returning them, with and without
//! the store.

mod fake;

use crate::fake::FakeCluster;
use crate::fake::PutFault;
use crate::fake::TEXT;
use wigeonhall_ctl::CtlError;
use wigeonhall_ctl::apply;
use wigeonhall_ctl::evacuate;
use wigeonhall_ctl::set_place_out;
use wigeonhall_settings::Place;

const NORTH: Place<'_> = Place::DataCentre("north");

fn applied() -> FakeCluster {
    let fake = FakeCluster::default();
    apply(&fake.operator("ada"), TEXT, None).unwrap();
    fake.state().said.clear();
    fake
}

fn text_in_force(fake: &FakeCluster) -> String {
    fake.text()
}

/// Returns the change ids of the evacuations that the accepted configuration ends.
fn ended_overrides(fake: &FakeCluster) -> Vec<String> {
    let contains = fake.current().unwrap().0.contains;
    contains.iter().map(ToString::to_string).collect()
}

/// Guards against an edit that loses comments in the text, and against one that cannot be
/// reverted.
#[test]
fn set_place_changes_only_the_out_flag() {
    let fake = applied();
    let out = set_place_out(&fake.operator("eve"), NORTH, true).unwrap();
    assert!(text_in_force(&fake).contains("north: { out: true }  # the first one\n"));
    insta::assert_snapshot!(out.report().text);
    set_place_out(&fake.operator("eve"), NORTH, false).unwrap();
    assert!(text_in_force(&fake).contains("north: { out: false }  # the first one\n"));
    insta::assert_snapshot!(fake.state().said.join("\n"));
}

/// Guards against taking a place out of service in a way that reverts a change that
/// another operator made meanwhile, or that fails because of it.
#[test]
fn set_place_retries_on_the_newer_text() {
    let fake = applied();
    let other = PutFault::OtherChangeFirst(Box::new(|fake| {
        let text = TEXT.replace("deadline_ms: 100", "deadline_ms: 200");
        apply(&fake.operator("bob"), &text, None).unwrap();
    }));
    fake.state().put_faults.push_back(other);
    set_place_out(&fake.operator("eve"), NORTH, true).unwrap();
    let text = text_in_force(&fake);
    assert!(text.contains("out: true") && text.contains("deadline_ms: 200"));
}

/// Guards against endless attempts while other operators keep changing the text.
#[test]
fn set_place_limits_its_attempts() {
    let fake = applied();
    for round in 1..=20 {
        let other = PutFault::OtherChangeFirst(Box::new(move |fake| {
            let deadline = format!("deadline_ms: {}", 100 + round);
            let put_faults = std::mem::take(&mut fake.state().put_faults);
            let text = TEXT.replace("deadline_ms: 100", &deadline);
            apply(&fake.operator("bob"), &text, None).unwrap();
            fake.state().put_faults = put_faults;
        }));
        fake.state().put_faults.push_back(other);
    }
    let error = set_place_out(&fake.operator("eve"), NORTH, true).unwrap_err();
    assert!(matches!(error, CtlError::Conflict { .. }));
    assert_eq!(fake.state().put_faults.len(), 15);
}

/// Guards against an evacuation override that stays in force after the configuration contains
/// it, or that ends before.
#[test]
fn next_out_ends_the_evacuation_override() {
    let fake = applied();
    fake.state().down = true;
    let mut eve = fake.operator("eve");
    assert_eq!(evacuate(&eve, NORTH), Err(CtlError::NoNodes));
    eve.node_addresses = vec!["127.0.0.1:21".parse().unwrap()];
    let report = evacuate(&eve, NORTH).unwrap();
    insta::assert_snapshot!(report.text);
    insta::assert_json_snapshot!(report.json);
    fake.state().down = false;
    let out = set_place_out(&fake.operator("bob"), NORTH, true).unwrap();
    assert_eq!(out.ended_overrides.len(), 1);
    assert_eq!(ended_overrides(&fake), ["eve-1"]);
    set_place_out(&fake.operator("bob"), NORTH, false).unwrap();
    assert_eq!(ended_overrides(&fake), ["eve-1"]);
}

/// Guards against a text, edited before an evacuation, that returns the data centre to service
/// unnoticed. Only `in`, or a text that takes it out of service, ends the evacuation.
#[test]
fn unrelated_apply_keeps_the_evacuation_override() {
    let fake = applied();
    let mut eve = fake.operator("eve");
    eve.node_addresses = vec!["127.0.0.1:21".parse().unwrap()];
    evacuate(&eve, NORTH).unwrap();
    let text = TEXT.replace("deadline_ms: 100", "deadline_ms: 200");
    let applied = apply(&fake.operator("bob"), &text, None).unwrap();
    assert!(applied.ended_overrides.is_empty());
    insta::assert_snapshot!(applied.report().text);
    set_place_out(&fake.operator("bob"), NORTH, false).unwrap();
    assert_eq!(ended_overrides(&fake), ["eve-1"]);
    assert_eq!(text_in_force(&fake), text);
    let out = text.replace("north:", "north: { out: true }");
    evacuate(&eve, NORTH).unwrap();
    apply(&fake.operator("bob"), &out, None).unwrap();
    assert_eq!(ended_overrides(&fake), ["eve-1", "eve-2"]);
}

/// Guards against an evacuation that is reported as done when no node accepted it.
#[test]
fn evacuation_fails_if_no_node_accepts_it() {
    let fake = applied();
    let mut eve = fake.operator("eve");
    eve.node_addresses = vec!["127.0.0.1:21".parse().unwrap()];
    fake.state().unreachable_nodes = eve.node_addresses.clone();
    let error = evacuate(&eve, NORTH).unwrap_err();
    insta::assert_snapshot!(error);
    let error = set_place_out(&eve, Place::Vm("n-2"), true).unwrap_err();
    assert_eq!(error.exit_code(), 2);
    insta::assert_snapshot!(error);
}
