//! Guards against requests that are changed, misrouted or wrongly rejected.

use std::time::Duration;

use wigeonhall_adapter::RECEIPT;
use wigeonhall_adapter::REMAINING_MS;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::HttpMessage;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::TargetSpec;

use crate::caller;
use crate::caller::Answer;
use crate::caller::Caller;
use crate::caller::ask;
use crate::deployment::Node;
use crate::deployment::deploy;
use crate::deployment::route;

fn echo() -> ReplicaStandin {
    ReplicaStandin::start("a", 1, |request| Behaviour::answer(request.body.clone())).unwrap()
}

fn routes() -> Vec<RouteSpec> {
    let target = TargetSpec::Service("a".into());
    vec![route("one", "/one/", RouteKind::Idempotent, target)]
}

#[test]
fn method_path_body_and_headers_reach_the_replica_unchanged() {
    let replica = echo();
    let (_store, node) = deploy(routes(), &[&replica]);
    let mut caller = Caller::connect(node.callers);
    let path = "/one/a%20b/../c//d?x=1&y=%2F";
    let text = caller::request("PUT", path, "q1", 5_000, "fill 7");
    let text = text.replace(
        "\r\n\r\n",
        "\r\nX-Crew: rim\r\nConnection: X-Hop\r\nX-Hop: 1\r\n\r\n",
    );
    caller.send(&text);
    assert_eq!(caller.read().unwrap().status, 200);
    let run = replica.runs().remove(0);
    assert_eq!(run.method, "PUT");
    assert_eq!(run.path, path);
    assert_eq!(run.body, b"fill 7");
    assert_eq!(run.header("host"), Some("shop.example"));
    assert_eq!(run.header("x-crew"), Some("rim"));
    assert_eq!(run.header("x-hop"), None);
    let remaining_ms: u64 = run.header(REMAINING_MS.as_str()).unwrap().parse().unwrap();
    assert!(remaining_ms <= 5_000);
}

#[test]
fn a_chunked_body_is_forwarded_whole() {
    let replica = echo();
    let (_store, node) = deploy(routes(), &[&replica]);
    let mut caller = Caller::connect(node.callers);
    let text = caller::request("POST", "/one/x", "q1", 5_000, "");
    let text = text.replace("Content-Length: 0", "Transfer-Encoding: chunked");
    caller.send(&(text + "4\r\nfill\r\n3\r\n 12\r\n0\r\n\r\n"));
    let answer = caller.read().unwrap();
    assert_eq!(answer.message.body, b"fill 12");
}

/// Returns the answers to a request that a replica ran and failed with this status, on a route that
/// is idempotent and on one that is not.
fn answers_to_failure(status: u16) -> [Answer; 2] {
    let fail = move |_: &HttpMessage| Behaviour::Answer {
        body: b"failed".to_vec(),
        delay: Duration::ZERO,
        status,
    };
    let replica = ReplicaStandin::start("a", 1, fail).unwrap();
    let target = || TargetSpec::Service("a".into());
    let routes = vec![
        route("one", "/one/", RouteKind::Idempotent, target()),
        route("order", "/order/", RouteKind::AtMostOnce, target()),
    ];
    let (_store, node) = deploy(routes, &[&replica]);
    let answers = ["/one/x", "/order/x"].map(|path| ask(node.callers, "POST", path, path, ""));
    assert_eq!(replica.runs().len(), 2);
    answers
}

/// Callers repeat an order that they are told has not run: 408, 429 and 503 state this.
#[test]
fn a_failure_of_a_request_that_ran_is_not_forwarded_as_a_refusal() {
    for status in [408, 429, 503] {
        let [idempotent, at_most_once] = answers_to_failure(status);
        assert_eq!(at_most_once.status, 502, "{status}");
        assert_eq!(at_most_once.header(RECEIPT.as_str()), None);
        assert_eq!(idempotent.status, status);
        assert_eq!(idempotent.message.body, b"failed");
    }
}

/// Other failures state nothing about whether the request ran, and callers need their bodies.
#[test]
fn other_failures_of_a_request_that_ran_are_forwarded_unchanged() {
    for status in [404, 500, 502, 504] {
        for answer in answers_to_failure(status) {
            assert_eq!(answer.status, status);
            assert!(answer.header(RECEIPT.as_str()).is_some());
            assert_eq!(answer.message.body, b"failed");
        }
    }
}

/// Two framings of one body would allow request smuggling.
#[test]
fn a_request_with_two_framings_smuggles_no_second_request() {
    let replica = echo();
    let (_store, node) = deploy(routes(), &[&replica]);
    let mut caller = Caller::connect(node.callers);
    let text = caller::request("POST", "/one/x", "q1", 5_000, "");
    let text = text.replace(
        "Content-Length: 0",
        "Content-Length: 90\r\nTransfer-Encoding: chunked",
    );
    caller.send(&(text + "0\r\n\r\n"));
    drop(caller.read());
    assert!(replica.runs().iter().all(|run| run.body.is_empty()));
    assert!(replica.runs().len() <= 1);
}

#[test]
fn malformed_requests_are_rejected_with_specific_statuses() {
    let replica = echo();
    let (_store, node) = deploy(routes(), &[&replica]);
    let good = caller::request("GET", "/one/x", "q1", 5_000, "");
    let long_head = format!("X-Long: {}\r\nHost:", "x".repeat(20_000));
    let cases = [
        (good.replace("/one/", "/none/"), 404),
        (good.replace("shop.example", "other.example"), 404),
        (good.replace("5000", "soon"), 400),
        (good.replace("request-id: q1\r\n", ""), 400),
        (good.replace("Host:", &long_head), 431),
        (
            caller::request("POST", "/one/x", "q1", 5_000, &"x".repeat(1_001)),
            413,
        ),
    ];
    for (text, status) in cases {
        let mut caller = Caller::connect(node.callers);
        caller.send(&text);
        let answer = caller.read().expect(&text);
        assert_eq!(answer.status, status, "{text}");
    }
    assert!(replica.runs().is_empty());
}

/// Without a configuration a node can't tell that a route doesn't exist, so it answers 503
/// rather than 404.
#[test]
fn a_node_without_a_configuration_is_not_ready_and_refuses_requests() {
    let store = StoreStandin::start().unwrap();
    let node = Node::start(&store);
    assert_eq!(node.readiness_status(), 503);
    assert_eq!(ask(node.callers, "GET", "/one/x", "q1", "").status, 503);
}

/// Another replica has taken over the address of a stopped one; it must not run the request.
#[test]
fn a_replica_that_took_over_an_address_does_not_run_the_request() {
    let replica = echo();
    let store = StoreStandin::start().unwrap();
    let mut former = replica.registration("north");
    former.id = "a-0".into();
    store.configure(&crate::deployment::configuration(1, routes()));
    store.register(&former);
    let node = Node::start(&store);
    node.wait_ready();
    let answer = ask(node.callers, "GET", "/one/x", "q1", "");
    assert_eq!(answer.status, 503);
    assert!(replica.runs().is_empty());
}

#[test]
fn the_route_timeout_ends_a_request_before_the_caller_s_deadline() {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::Silent).unwrap();
    let mut routes = routes();
    routes[0].timeout_ms = 300;
    let (_store, node) = deploy(routes, &[&replica]);
    assert_eq!(ask(node.callers, "GET", "/one/x", "q1", "").status, 504);
    let remaining = replica.runs()[0]
        .header(REMAINING_MS.as_str())
        .unwrap()
        .to_owned();
    assert!(remaining.parse::<u64>().unwrap() <= 300);
}

/// Silent callers must not hold connections forever.
#[test]
fn incomplete_heads_and_idle_connections_time_out() {
    let replica = echo();
    let (_store, node) = deploy(routes(), &[&replica]);
    let mut half = Caller::connect(node.callers);
    half.send("GET /one/x HTTP/1.1\r\nHost: shop");
    assert!(half.ends());
    let mut idle = Caller::connect(node.callers);
    idle.ask("GET", "/one/x", "q1", "");
    assert_eq!(idle.read().unwrap().status, 200);
    assert!(idle.ends());
}

/// The timeouts for callers' connections must not end a request that a replica still processes.
#[test]
fn a_request_may_take_longer_than_the_idle_timeout() {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::Answer {
        body: Vec::new(),
        delay: Duration::from_millis(1_800),
        status: 200,
    })
    .unwrap();
    let (_store, node) = deploy(routes(), &[&replica]);
    assert_eq!(ask(node.callers, "GET", "/one/x", "q1", "").status, 200);
}
