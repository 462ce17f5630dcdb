//! Guards against callers that hold memory or connections which others need, and against answers
//! to them that do not arrive.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;

use crate::caller::Answer;
use crate::caller::Caller;
use crate::caller::request;
use crate::deployment::Node;
use crate::deployment::configuration;
use crate::deployment::route_to_a;

/// Largest body on the users' VMs.
const BODY_LIMIT_BYTES: usize = 262_144;

/// Descriptors of the nodes.
const DESCRIPTORS: usize = 400;

/// Memory of the smallest VM.
const SMALLEST_MB: u64 = 112;

/// Memory with room for a few large bodies.
const FEW_BODIES_MB: u64 = 24;

/// Callers with large bodies, more than that memory has room for.
const STALLED_CALLERS: usize = 30;

/// Time after which a slow body may be closed.
const GRACE: Duration = Duration::from_millis(600);

/// Timeout of the route, longer than any test.
const LONG_TIMEOUT_MS: u64 = 60_000;

struct Deployment {
    node: Node,
    replica: ReplicaStandin,
    _store: StoreStandin,
}

fn start(memory_mb: u64) -> Deployment {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::answer("1")).unwrap();
    let mut route = route_to_a("a");
    route.timeout_ms = LONG_TIMEOUT_MS;
    let mut configuration = configuration(1, vec![route]);
    configuration.limits.body_bytes = BODY_LIMIT_BYTES;
    configuration.limits.header_bytes = 16_384;
    let store = StoreStandin::start().unwrap();
    store.configure(&configuration);
    store.register(&replica.registration("north"));
    let node = Node::start_with_limits(&store, "node-1", memory_mb, DESCRIPTORS);
    node.wait_ready();
    Deployment {
        node,
        replica,
        _store: store,
    }
}

/// Returns the head of a request with other fields in place of the length.
fn head(fields: &str) -> String {
    request("POST", "/a/x", "q", 5_000, "").replace("Content-Length: 0", fields)
}

fn assert_refused(answer: &Answer) {
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(answer.header("connection"), Some("close"));
}

#[test]
fn a_body_announced_over_the_limit_is_rejected_before_it_is_sent() {
    let deployment = start(SMALLEST_MB);
    let mut caller = Caller::connect(deployment.node.callers);
    let start = Instant::now();
    caller.send(&head(&format!("Content-Length: {}", BODY_LIMIT_BYTES + 1)));
    assert_eq!(caller.read().expect("an answer").status, 413);
    assert!(start.elapsed() < Duration::from_secs(5));
    assert!(caller.ends());
}

/// A close with unread bytes would reset the connection, and the answer would be lost.
#[test]
fn a_caller_that_sends_too_much_receives_its_rejection() {
    let deployment = start(SMALLEST_MB);
    let mut caller = Caller::connect(deployment.node.callers);
    caller.send(&head("Transfer-Encoding: chunked"));
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(65_536));
    for _ in 0..6 {
        caller.send(&chunk);
    }
    assert_eq!(caller.read().expect("an answer").status, 413);
}

#[test]
fn a_body_of_the_largest_size_is_served_on_the_smallest_node() {
    let deployment = start(SMALLEST_MB);
    let body = "x".repeat(BODY_LIMIT_BYTES);
    let mut caller = Caller::connect(deployment.node.callers);
    caller.ask("POST", "/a/x", "q", &body);
    assert_eq!(caller.read().expect("an answer").status, 200);
    let runs = deployment.replica.runs();
    assert_eq!(runs[0].body, body.as_bytes());
}

#[test]
fn a_body_in_chunks_of_one_byte_reaches_the_replica_unchanged() {
    let deployment = start(SMALLEST_MB);
    let body: Vec<u8> = (0..20_000).map(|index| b'a' + (index % 23) as u8).collect();
    let mut text = head("Transfer-Encoding: chunked");
    for byte in &body {
        text.push_str("1\r\n");
        text.push(char::from(*byte));
        text.push_str("\r\n");
    }
    text += "0\r\n\r\n";
    let mut caller = Caller::connect(deployment.node.callers);
    caller.send(&text);
    assert_eq!(caller.read().expect("an answer").status, 200);
    assert_eq!(deployment.replica.runs()[0].body, body);
}

/// Callers whose bodies never end must neither keep the memory nor count as having run.
#[test]
fn stalled_bodies_are_refused_or_closed_when_an_ordinary_one_needs_their_memory() {
    let deployment = start(FEW_BODIES_MB);
    let announced = format!("Content-Length: {BODY_LIMIT_BYTES}");
    let open = |_| {
        let mut caller = Caller::connect(deployment.node.callers);
        caller.send(&(head(&announced) + &"x".repeat(4_000)));
        caller
    };
    let stalled: Vec<Caller> = (0..STALLED_CALLERS).map(open).collect();
    thread::sleep(GRACE);
    let mut caller = Caller::connect(deployment.node.callers);
    caller.ask("POST", "/a/x", "ordinary", &"x".repeat(BODY_LIMIT_BYTES));
    assert_eq!(caller.read().expect("an answer").status, 200);
    // The first callers found room, the last ones did not.
    for mut caller in stalled.into_iter().rev().take(STALLED_CALLERS / 2) {
        assert_refused(&caller.read().expect("an answer"));
    }
    assert_eq!(deployment.replica.runs().len(), 1);
    deployment
        .node
        .logged(|line| line["event"] == "callers_limited" && line["bodies_closed"] != 0);
}

#[test]
fn a_caller_that_does_not_read_its_answers_is_disconnected() {
    let deployment = start(SMALLEST_MB);
    let mut caller = Caller::connect(deployment.node.callers);
    let ask = request("GET", "/a/x", "q", 5_000, "");
    // The node stops reading once its answers fill the buffers, and then ends the connection.
    assert!(caller.sends_until_closed(&ask));
}
