//! Guards against requests that are lost in a planned stop, and against slow restarts.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::TargetSpec;

use crate::caller::Caller;
use crate::caller::ask;
use crate::deployment::Node;
use crate::deployment::deploy;
use crate::deployment::route;
use crate::deployment::wait_until;

fn slow(millis: u64) -> ReplicaStandin {
    ReplicaStandin::start("a", 1, move |_| Behaviour::Answer {
        body: b"done".to_vec(),
        delay: Duration::from_millis(millis),
        status: 200,
    })
    .unwrap()
}

fn routes() -> Vec<RouteSpec> {
    let target = TargetSpec::Service("a".into());
    vec![route("one", "/one/", RouteKind::AtMostOnce, target)]
}

#[test]
fn a_stop_answers_requests_in_flight_and_exits_with_success() {
    let replica = slow(1_500);
    let (_store, mut node) = deploy(routes(), &[&replica]);
    let mut caller = Caller::connect(node.callers);
    caller.ask("POST", "/one/x", "q1", "fill");
    wait_until("one run at the replica", || replica.runs().len() == 1);
    node.signal("TERM");
    let answer = caller.read().expect("an answer in spite of the stop");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(node.wait_end());
    node.logged(|line| line["event"] == "stop" && line["phase"] == "stopped");
}

/// The platform removes a node after two failed readiness checks; callers arrive until then.
#[test]
fn a_leaving_node_is_not_ready_and_still_serves_new_callers() {
    let replica = slow(0);
    let (_store, node) = deploy(routes(), &[&replica]);
    node.signal("TERM");
    wait_until("no longer ready", || node.readiness_status() == 503);
    assert_eq!(ask(node.callers, "POST", "/one/x", "q1", "").status, 200);
}

/// A process that lags when it closes its connections has unread requests, both on accepted
/// connections and on those that wait to be accepted.
#[test]
fn a_stop_answers_requests_that_wait_unread_when_connections_close() {
    let replica = slow(0);
    let (_store, mut node) = deploy(routes(), &[&replica]);
    let signalled = Instant::now();
    node.signal("TERM");
    node.logged(|line| line["event"] == "stop" && line["phase"] == "leaving");
    // Suspends the node from before the time at which connections close until after it.
    thread::sleep(Duration::from_millis(1_800).saturating_sub(signalled.elapsed()));
    let mut accepted = Caller::connect(node.callers);
    thread::sleep(Duration::from_millis(2_400).saturating_sub(signalled.elapsed()));
    node.signal("STOP");
    accepted.ask("POST", "/one/x", "q1", "");
    let mut unaccepted = Caller::connect(node.callers);
    unaccepted.ask("POST", "/one/x", "q2", "");
    thread::sleep(Duration::from_millis(900));
    node.signal("CONT");
    for caller in [&mut accepted, &mut unaccepted] {
        assert_eq!(caller.read().expect("an answer").status, 200);
    }
    assert!(node.wait_end());
}

/// A replica may still be at work when the node must end. Its caller gets an answer that promises
/// nothing, in place of a connection that is cut.
#[test]
fn a_stop_answers_requests_whose_replica_is_still_at_work_at_its_end() {
    let replica = slow(9_000);
    let mut routes = routes();
    routes[0].timeout_ms = 20_000;
    let (_store, mut node) = deploy(routes, &[&replica]);
    let mut early = Caller::connect(node.callers);
    early.ask_within("POST", "/one/x", "q1", 20_000);
    wait_until("one run at the replica", || replica.runs().len() == 1);
    node.signal("TERM");
    node.logged(|line| line["event"] == "stop" && line["phase"] == "leaving");
    let mut leaving = Caller::connect(node.callers);
    leaving.ask_within("POST", "/one/x", "q2", 20_000);
    for caller in [&mut early, &mut leaving] {
        assert_eq!(caller.read().expect("an answer").status, 504);
    }
    assert!(node.wait_end());
}

/// A process that lags may read a request late in the grace period, when it cannot be served any
/// more. Passed on, it would be cut at the end although it runs.
#[test]
fn a_request_that_is_read_late_in_a_stop_is_refused_and_does_not_run() {
    let replica = slow(0);
    let (_store, mut node) = deploy(routes(), &[&replica]);
    let signalled = Instant::now();
    node.signal("TERM");
    node.logged(|line| line["event"] == "stop" && line["phase"] == "leaving");
    thread::sleep(Duration::from_millis(2_200).saturating_sub(signalled.elapsed()));
    let mut caller = Caller::connect(node.callers);
    thread::sleep(Duration::from_millis(2_400).saturating_sub(signalled.elapsed()));
    node.signal("STOP");
    caller.ask("POST", "/one/x", "q1", "");
    thread::sleep(Duration::from_millis(4_400).saturating_sub(signalled.elapsed()));
    node.signal("CONT");
    let answer = caller.read().expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(replica.runs().is_empty());
    assert!(node.wait_end());
}

#[test]
fn an_idle_connection_does_not_delay_a_stop() {
    let replica = slow(0);
    let (_store, mut node) = deploy(routes(), &[&replica]);
    let mut caller = Caller::connect(node.callers);
    node.signal("TERM");
    assert!(caller.ends());
    assert!(node.wait_end());
}

/// All nodes may be killed at once; each must restart with the store alone.
#[test]
fn a_killed_node_restarts_without_any_peer() {
    let replica = slow(0);
    let (store, mut node) = deploy(routes(), &[&replica]);
    node.signal("KILL");
    assert!(!node.wait_end());
    let node = Node::start(&store);
    node.wait_ready();
    assert_eq!(ask(node.callers, "POST", "/one/x", "q1", "").status, 200);
}

#[test]
fn a_settings_reload_is_logged_and_interrupts_no_request() {
    let replica = slow(300);
    let (_store, node) = deploy(routes(), &[&replica]);
    let mut caller = Caller::connect(node.callers);
    caller.ask("POST", "/one/x", "q1", "");
    node.append_settings("another_field: 1\n");
    node.signal("HUP");
    node.logged(|line| line["event"] == "reload" && line["outcome"] == "unchanged");
    node.append_settings("{ not yaml");
    node.signal("HUP");
    node.logged(|line| {
        let outcome = line["outcome"].as_str().unwrap_or("");
        line["event"] == "reload" && outcome.starts_with("kept the former settings")
    });
    assert_eq!(caller.read().unwrap().status, 200);
}
