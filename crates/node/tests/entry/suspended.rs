//! Guards against requests that are forwarded with more time than their callers have left,
//! after they waited unread in a node that was suspended.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use wigeonhall_adapter::REMAINING_MS;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;

use crate::caller;
use crate::caller::Caller;
use crate::deployment::Node;
use crate::deployment::deploy;
use crate::deployment::route_to_a;

/// Time for which the node is suspended.
const SUSPENSION: Duration = Duration::from_millis(1_500);

/// Suspends the node, sends a request from each caller, and resumes it after
/// [`SUSPENSION`]; returns the shortest time that a request waited.
fn ask_while_suspended(node: &Node, callers: &mut [Caller], deadline_ms: u64) -> u64 {
    node.signal("STOP");
    for (number, caller) in callers.iter_mut().enumerate() {
        let id = format!("suspended-{number}");
        caller.send(&caller::request("GET", "/one/x", &id, deadline_ms, ""));
    }
    let sent = Instant::now();
    thread::sleep(SUSPENSION);
    let waited_ms = sent.elapsed().as_millis() as u64;
    node.signal("CONT");
    waited_ms
}

#[test]
fn the_forwarded_deadline_excludes_time_that_a_request_waited_unread() {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::answer("ok")).unwrap();
    let (_store, node) = deploy(vec![route_to_a("one")], &[&replica]);
    let mut kept = Caller::connect(node.callers);
    kept.ask("GET", "/one/x", "first", "");
    assert_eq!(kept.read().unwrap().status, 200);
    // One request over a kept connection, one over a connection that isn't accepted yet.
    let mut callers = [kept, Caller::connect(node.callers)];
    let waited_ms = ask_while_suspended(&node, &mut callers, 4_000);
    for caller in &mut callers {
        assert_eq!(caller.read().unwrap().status, 200);
    }
    for run in &replica.runs()[1..] {
        let remaining_ms: u64 = run.header(REMAINING_MS.as_str()).unwrap().parse().unwrap();
        assert!(remaining_ms <= 4_000 - waited_ms, "{remaining_ms} ms");
    }
}

/// The deadline passes while the node is suspended, so the caller has no use for the answer.
#[test]
fn a_request_that_expired_unread_is_refused_and_reaches_no_replica() {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::answer("ok")).unwrap();
    let (_store, node) = deploy(vec![route_to_a("one")], &[&replica]);
    let mut callers = [Caller::connect(node.callers)];
    ask_while_suspended(&node, &mut callers, 1_000);
    assert_eq!(callers[0].read().unwrap().status, 503);
    assert!(replica.runs().is_empty());
}
