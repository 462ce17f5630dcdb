//! Tests of the output of the read-only commands.

mod fake;

use std::sync::Arc;

use crate::fake::FakeCluster;
use crate::fake::TEXT;
use wigeonhall_burn::BurnSample;
use wigeonhall_burn::ClassSample;
use wigeonhall_burn::Outcome;
use wigeonhall_burn::SpentCount;
use wigeonhall_burn::WindowSample;
use wigeonhall_ctl::apply;
use wigeonhall_ctl::burn;
use wigeonhall_ctl::check_text;
use wigeonhall_ctl::explain;
use wigeonhall_ctl::status;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_protocol::DecisionTrace;
use wigeonhall_protocol::MemberState;
use wigeonhall_protocol::MemberStatus;
use wigeonhall_protocol::NodeStatus;
use wigeonhall_protocol::ReplicaStatus;
use wigeonhall_protocol::Subject;
use wigeonhall_types::ReplicaState;

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

/// A cluster of the nodes `n-1` at port 21 and `s-1` at port 22, in which `ada` applied `TEXT`.
fn applied() -> FakeCluster {
    let fake = FakeCluster::default();
    apply(&fake.operator("ada"), TEXT, None).unwrap();
    fake
}

/// Sets the answer of the node at `port` to requests for `path`.
fn set_answer(fake: &FakeCluster, port: u16, path: &str, value: &impl serde::Serialize) {
    let key = (([127, 0, 0, 1], port).into(), path.to_owned());
    let text = serde_json::to_string(value).unwrap();
    fake.state().answers.insert(key, text);
}

fn replica(name: &str, state: ReplicaState, reason: Option<&str>, waiting: u32) -> ReplicaStatus {
    ReplicaStatus {
        allowance: 1,
        epoch: 4,
        expected_wait_us: 1_500,
        name: Arc::from(name),
        reason: reason.map(Arc::from),
        running: 1,
        slots: 2,
        state,
        waiting,
    }
}

fn node(name: &str, generation: u64, not_ready: Option<&str>) -> NodeStatus {
    let member = |name: &str, state| MemberStatus {
        name: Arc::from(name),
        state,
    };
    NodeStatus {
        boot: Arc::from("1f"),
        change_id: Some(Arc::from("ada-1")),
        data_centre: Arc::from("north"),
        generation,
        members: vec![
            member("n-1", MemberState::Alive),
            member("s-9", MemberState::Suspect),
        ],
        name: Arc::from(name),
        not_ready: not_ready.map(Arc::from),
        overrides: vec![EvacuationOverride {
            author: Arc::from("eve"),
            change_id: Arc::from("eve-1"),
            data_centre: Some(Arc::from("south")),
            vm: None,
        }],
        replicas: vec![
            replica("a", ReplicaState::Warm, None, 0),
            replica("b", ReplicaState::Cold, Some("new instance"), 0),
            replica("c", ReplicaState::Warm, None, 3),
        ],
    }
}

/// Guards against a status that hides a node without an answer, a replica that is not warm
/// or has requests waiting, a suspected member or an evacuation.
#[test]
fn status_lists_missing_nodes_and_abnormal_replicas() {
    let fake = applied();
    assert_eq!(status(&fake.operator("ada")).unwrap().exit_code, 0);
    set_answer(&fake, 21, "/status", &node("n-1", 1, None));
    fake.state()
        .unreachable_nodes
        .push("127.0.0.1:22".parse().unwrap());
    let report = status(&fake.operator("ada")).unwrap();
    assert_eq!(report.exit_code, 4);
    insta::assert_snapshot!(report.text);
    insta::assert_json_snapshot!(report.json);
}

/// Guards against a fleet that is reported as healthy while a node has an older generation or is
/// not ready.
#[test]
fn status_fails_if_a_node_is_behind_or_not_ready() {
    for other in [node("s-1", 1, None), node("s-1", 2, Some("leaving"))] {
        let fake = applied();
        set_answer(&fake, 21, "/status", &node("n-1", 2, None));
        set_answer(&fake, 22, "/status", &other);
        assert_eq!(status(&fake.operator("ada")).unwrap().exit_code, 4);
    }
}

/// Guards against decisions of several nodes that are listed out of order, and against
/// listing the decisions on another request.
#[test]
fn decisions_of_all_nodes_are_listed_by_age() {
    let fake = applied();
    // Traces of the node that received the request and of the owner of its replica.
    let mut receiver = DecisionTrace::new(10, 10);
    let mut owner = receiver.clone();
    let (request, other, a) = (name("r-1"), name("r-2"), name("a"));
    receiver.record_request(1_000, &request, Some(&a), "sent", "least wait");
    receiver.record_request(2_000, &other, Some(&a), "sent", "least wait");
    receiver.record_request(900_000, &request, None, "refused", "too late");
    owner.record_request(400_000, &request, Some(&a), "refused", "cold_start");
    owner.record_replica(300_000, &a, "cold", "new instance");
    for (subject, path) in [
        (Subject::Request(request), "/explain?request=r-1"),
        (Subject::Replica(a), "/explain?replica=a"),
    ] {
        let receiver = receiver.explain(1_000_000, &name("n-1"), &subject);
        let owner = owner.explain(1_000_000, &name("s-1"), &subject);
        set_answer(&fake, 21, path, &receiver);
        set_answer(&fake, 22, path, &owner);
        let report = explain(&fake.operator("ada"), &subject).unwrap();
        assert_eq!(report.exit_code, 0);
        insta::assert_snapshot!(report.text);
    }
}

/// Guards against an alert without its exit code, and against a report that hides that the
/// counts of a node are missing.
#[test]
fn burn_sums_nodes_and_lists_missing_nodes() {
    let fake = applied();
    let window = |window_s| WindowSample {
        covered_s: window_s,
        good: 1,
        spent: vec![SpentCount {
            cause: name("overloaded"),
            count: 9,
            outcome: Outcome::Refused,
        }],
        window_s,
    };
    let sample = BurnSample {
        classes: vec![ClassSample {
            class: name("search"),
            latency_ms: 50,
            objective_ppm: 990_000,
            windows: vec![window(300), window(3_600)],
        }],
        node: name("n-1"),
        uncounted: 0,
    };
    set_answer(&fake, 21, "/burn", &sample);
    fake.state()
        .unreachable_nodes
        .push("127.0.0.1:22".parse().unwrap());
    let report = burn(&fake.operator("ada")).unwrap();
    assert_eq!(report.exit_code, 7);
    insta::assert_snapshot!(report.text);
}

/// Guards against an exit code that does not distinguish errors from warnings.
#[test]
fn check_fails_on_errors_only() {
    let text_prefix = format!(
        "{}  x: {{ replicas: {{ c: 'north 127.0.0.1:9' }} }}\nvms:\n",
        { TEXT.split("vms:").next().unwrap() }
    );
    let warned = text_prefix + TEXT.split("vms:\n").nth(1).unwrap();
    assert_eq!(check_text(TEXT, false).exit_code, 0);
    assert_eq!(check_text(&warned, false).exit_code, 0);
    // A deployment text is not valid as the settings of a node.
    let report = check_text(TEXT, true);
    assert_eq!(report.exit_code, 2);
    insta::assert_json_snapshot!(check_text(&warned, false).json);
}

/// Guards against a fleet that is reported as healthy because this version rejects the
/// accepted text and finds no nodes in it, and against a text that then cannot be
/// replaced.
#[test]
fn invalid_accepted_text_is_reported_and_replaceable() {
    let fake = applied();
    fake.store_unsplit_text(&TEXT.replace("vms:", "vmz:"));
    assert_eq!(status(&fake.operator("ada")).unwrap_err().exit_code(), 2);
    let applied = apply(&fake.operator("ada"), TEXT, None).unwrap();
    // The note that the text was rejected, and all eight entries of `TEXT` as new.
    assert_eq!(applied.notes.len(), 1);
    assert_eq!(applied.changes.len(), 8);
}
