//! Guards against answers that are incomplete, wrong or belong to another request.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use wigeonhall_adapter::REQUEST_ID;
use wigeonhall_adapter::RETRY_AFTER;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::parts_of;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::TargetSpec;

use crate::caller::Caller;
use crate::caller::ask;
use crate::deployment::deploy;
use crate::deployment::gather;
use crate::deployment::route;

/// Returns a record of 16 bytes that sorts by `first`. A gather, a request that all shards answer
/// together, returns the three greatest records.
fn record(first: u8) -> Vec<u8> {
    let mut record = vec![0; 16];
    record[0] = first;
    record
}

fn shard(service: &str, number: usize, records: &[u8]) -> ReplicaStandin {
    let body: Vec<u8> = records.iter().flat_map(|first| record(*first)).collect();
    ReplicaStandin::start(service, number, move |_| Behaviour::answer(body.clone())).unwrap()
}

fn gather_route(shards: &[&str], min_fraction: f64) -> Vec<wigeonhall_dispatch::RouteSpec> {
    let target = gather(shards, min_fraction);
    vec![route("all", "/all/", RouteKind::Idempotent, target)]
}

fn single_route(kind: RouteKind) -> Vec<wigeonhall_dispatch::RouteSpec> {
    vec![route("one", "/one/", kind, TargetSpec::Service("a".into()))]
}

#[test]
fn a_gather_merges_the_greatest_records_and_counts_its_parts() {
    let a = shard("a", 1, &[1, 9]);
    let b = shard("b", 1, &[5, 7]);
    let (_store, node) = deploy(gather_route(&["a", "b"], 0.5), &[&a, &b]);
    let answer = ask(node.callers, "GET", "/all/x", "q1", "");
    assert_eq!(answer.status, 200);
    assert_eq!(parts_of(&answer.message), (2, 0));
    assert_eq!(
        answer.message.body,
        [record(9), record(7), record(5)].concat()
    );
}

/// Guards against an answer that loses a part because a hedge that ends after its leg was done
/// replaces the part.
#[test]
fn a_hedge_that_ends_after_its_leg_does_not_replace_the_part() {
    let slow = |millis| {
        move |_: &_| Behaviour::Answer {
            body: record(4),
            delay: Duration::from_millis(millis),
            status: 200,
        }
    };
    let a = ReplicaStandin::start("a", 1, slow(1_000)).unwrap();
    let other = ReplicaStandin::start("a", 2, slow(1_000)).unwrap();
    let b = ReplicaStandin::start("b", 1, slow(1_900)).unwrap();
    let (_store, node) = deploy(gather_route(&["a", "b"], 1.0), &[&a, &other, &b]);
    let answer = ask(node.callers, "GET", "/all/x", "q1", "");
    assert_eq!(a.runs().len() + other.runs().len(), 2, "the leg was hedged");
    assert_eq!(answer.status, 200);
    assert_eq!(parts_of(&answer.message), (2, 0));
}

#[test]
fn a_gather_states_the_number_of_missing_shards() {
    let a = shard("a", 1, &[1]);
    let b = ReplicaStandin::start("b", 1, |_| Behaviour::Truncated).unwrap();
    let (_store, node) = deploy(gather_route(&["a", "b"], 0.5), &[&a, &b]);
    let answer = ask(node.callers, "GET", "/all/x", "q1", "");
    assert_eq!(answer.status, 200);
    assert_eq!(parts_of(&answer.message), (1, 1));
    assert_eq!(answer.message.body, record(1));
}

#[test]
fn a_gather_with_too_few_parts_fails_without_a_refusal() {
    let a = shard("a", 1, &[1]);
    let b = ReplicaStandin::start("b", 1, |_| Behaviour::CloseConnection).unwrap();
    let (_store, node) = deploy(gather_route(&["a", "b"], 1.0), &[&a, &b]);
    let answer = ask(node.callers, "GET", "/all/x", "q1", "");
    assert_eq!(answer.status, 502);
}

#[test]
fn a_truncated_response_is_not_forwarded() {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::Truncated).unwrap();
    let (_store, node) = deploy(single_route(RouteKind::AtMostOnce), &[&replica]);
    let answer = ask(node.callers, "POST", "/one/x", "q1", "body");
    assert_eq!(answer.status, 502);
    assert_eq!(replica.runs().len(), 1);
}

#[test]
fn a_response_to_another_request_is_dropped_with_its_connection() {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::WithOtherId).unwrap();
    let (_store, node) = deploy(single_route(RouteKind::AtMostOnce), &[&replica]);
    for id in ["q1", "q2"] {
        assert_eq!(ask(node.callers, "POST", "/one/x", id, "").status, 502);
    }
    assert!(replica.connections() >= 2);
}

/// A replica sends its response twice: the second copy must not answer the next request on the
/// connection.
#[test]
fn a_duplicate_response_does_not_answer_the_next_request() {
    let replica = ReplicaStandin::start("a", 1, |request| Behaviour::Twice {
        body: request.path.clone().into_bytes(),
    })
    .unwrap();
    let (_store, node) = deploy(single_route(RouteKind::Idempotent), &[&replica]);
    for index in 0..10 {
        let path = format!("/one/{index}");
        let answer = ask(node.callers, "GET", &path, &format!("q{index}"), "");
        if answer.status == 200 {
            assert_eq!(answer.message.body, path.as_bytes());
        }
    }
}

#[test]
fn an_at_most_once_request_is_not_retried_after_a_lost_response() {
    let replicas = [1, 2, 3]
        .map(|number| ReplicaStandin::start("a", number, |_| Behaviour::CloseConnection).unwrap());
    let (_store, node) = deploy(single_route(RouteKind::AtMostOnce), &replicas.each_ref());
    let answer = ask(node.callers, "POST", "/one/x", "q1", "fill");
    assert_eq!(answer.status, 502);
    let runs: usize = replicas.iter().map(|replica| replica.runs().len()).sum();
    assert_eq!(runs, 1);
}

#[test]
fn a_request_that_every_replica_refuses_as_busy_gets_a_retry_after_time() {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::Busy).unwrap();
    let (_store, node) = deploy(single_route(RouteKind::AtMostOnce), &[&replica]);
    let answer = ask(node.callers, "POST", "/one/x", "q1", "fill");
    assert_eq!(answer.status, 503);
    let wait_s: f64 = answer
        .header(RETRY_AFTER.as_str())
        .unwrap()
        .parse()
        .unwrap();
    assert!(wait_s > 0.0);
    assert!(replica.runs().is_empty());
}

/// An error response keeps the replica's own status, body and receipt.
#[test]
fn an_error_response_of_a_replica_is_forwarded_unchanged() {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::Answer {
        body: b"no such serial".to_vec(),
        delay: Duration::ZERO,
        status: 422,
    })
    .unwrap();
    let (_store, node) = deploy(single_route(RouteKind::Idempotent), &[&replica]);
    let answer = ask(node.callers, "GET", "/one/x", "q1", "");
    assert_eq!(answer.status, 422);
    assert_eq!(answer.message.body, b"no such serial");
}

#[test]
fn requests_on_one_connection_are_answered_in_order() {
    let replica = ReplicaStandin::start("a", 1, |request| Behaviour::Answer {
        body: request.path.clone().into_bytes(),
        delay: Duration::from_millis(if request.path.ends_with('0') { 100 } else { 0 }),
        status: 200,
    })
    .unwrap();
    let (_store, node) = deploy(single_route(RouteKind::Idempotent), &[&replica]);
    let mut caller = Caller::connect(node.callers);
    for index in 0..4 {
        caller.ask("GET", &format!("/one/{index}"), &format!("q{index}"), "");
    }
    for index in 0..4 {
        let answer = caller.read().unwrap();
        assert_eq!(answer.message.body, format!("/one/{index}").as_bytes());
    }
}

/// On a reused connection, a response without the request id may be a late copy of an earlier
/// one; on a new connection there is no earlier one.
#[test]
fn a_response_without_a_request_id_is_accepted_only_on_a_new_connection() {
    let asked = AtomicUsize::new(0);
    let replica = ReplicaStandin::start("a", 1, move |_| {
        let body = b"1".to_vec();
        match asked.fetch_add(1, Ordering::Relaxed) {
            0 | 1 => Behaviour::WithoutId { body },
            _ => Behaviour::answer(body),
        }
    })
    .unwrap();
    let (_store, node) = deploy(single_route(RouteKind::AtMostOnce), &[&replica]);
    let statuses = ["q1", "q2", "q3"].map(|id| ask(node.callers, "POST", "/one/x", id, "").status);
    assert_eq!(statuses, [200, 502, 200]);
    assert_eq!(replica.runs().len(), 3);
}

/// A replica that ends in the middle of the head must not look like one with a short body, whether
/// the connection is new or was used before.
#[test]
fn a_response_cut_at_any_byte_is_never_a_success() {
    const BYTES_MAX: usize = 160;
    let replica = ReplicaStandin::start("a", 1, |request| {
        let id = request.header(REQUEST_ID.as_str()).unwrap_or_default();
        let mut words = id.split('-');
        let kind = words.next();
        let number = words.next().and_then(|text| text.parse().ok());
        match (kind, number) {
            (Some(kind @ ("stated" | "open")), Some(bytes)) => Behaviour::TruncatedAfter {
                length_stated: kind == "stated",
                bytes,
            },
            _ => Behaviour::answer("whole"),
        }
    })
    .unwrap();
    let single = TargetSpec::Service("a".into());
    let gather = TargetSpec::Gather {
        min_fraction: 0.5,
        shards: vec!["a".into()],
        top_records: 2,
    };
    let routes = vec![
        route("one", "/one/", RouteKind::AtMostOnce, single),
        route("all", "/all/", RouteKind::Idempotent, gather),
    ];
    let (_store, node) = deploy(routes, &[&replica]);
    for kind in ["stated", "open"] {
        for bytes in 0..BYTES_MAX {
            for path in ["/one/x", "/all/x"] {
                let id = format!("{kind}-{bytes}");
                let status = ask(node.callers, "GET", path, &id, "").status;
                assert!(
                    status >= 500,
                    "{status} after {bytes} bytes of {kind} {path}"
                );
            }
            // Every other cut is on a connection that was used before.
            if bytes % 2 == 0 {
                ask(node.callers, "GET", "/one/x", "sound", "");
            }
        }
    }
}
