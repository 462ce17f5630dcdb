//! Guards against answers that are not whole, not true or not the caller's own.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

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

fn record(first: u8) -> Vec<u8> {
    let mut record = vec![0; 16];
    record[0] = first;
    record
}

fn shard(service: &str, number: usize, records: &[u8]) -> ReplicaStandin {
    let body: Vec<u8> = records.iter().flat_map(|first| record(*first)).collect();
    ReplicaStandin::start(service, number, move |_| Behaviour::answer(body.clone())).unwrap()
}

fn all(shards: &[&str], min_fraction: f64) -> Vec<wigeonhall_dispatch::RouteSpec> {
    let target = gather(shards, min_fraction);
    vec![route("all", "/all/", RouteKind::Idempotent, target)]
}

fn one(kind: RouteKind) -> Vec<wigeonhall_dispatch::RouteSpec> {
    vec![route("one", "/one/", kind, TargetSpec::Service("a".into()))]
}

#[test]
fn a_gather_merges_the_greatest_records_and_names_its_parts() {
    let a = shard("a", 1, &[1, 9]);
    let b = shard("b", 1, &[5, 7]);
    let (_store, node) = deploy(all(&["a", "b"], 0.5), &[&a, &b]);
    let answer = ask(node.callers, "GET", "/all/x", "q1", "");
    assert_eq!(answer.status, 200);
    assert_eq!(parts_of(&answer.message), (2, 0));
    assert_eq!(
        answer.message.body,
        [record(9), record(7), record(5)].concat()
    );
}

/// A hedge that ends after its leg was done must not replace the part.
#[test]
fn a_hedge_that_ends_late_leaves_the_answer_whole() {
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
    let (_store, node) = deploy(all(&["a", "b"], 1.0), &[&a, &other, &b]);
    let answer = ask(node.callers, "GET", "/all/x", "q1", "");
    assert_eq!(a.runs().len() + other.runs().len(), 2, "the leg was hedged");
    assert_eq!(answer.status, 200);
    assert_eq!(parts_of(&answer.message), (2, 0));
}

#[test]
fn a_gather_states_the_shards_that_are_missing() {
    let a = shard("a", 1, &[1]);
    let b = ReplicaStandin::start("b", 1, |_| Behaviour::CutShort).unwrap();
    let (_store, node) = deploy(all(&["a", "b"], 0.5), &[&a, &b]);
    let answer = ask(node.callers, "GET", "/all/x", "q1", "");
    assert_eq!(answer.status, 200);
    assert_eq!(parts_of(&answer.message), (1, 1));
    assert_eq!(answer.message.body, record(1));
}

#[test]
fn a_gather_below_its_least_share_is_no_success_and_no_refusal() {
    let a = shard("a", 1, &[1]);
    let b = ReplicaStandin::start("b", 1, |_| Behaviour::Drop).unwrap();
    let (_store, node) = deploy(all(&["a", "b"], 1.0), &[&a, &b]);
    let answer = ask(node.callers, "GET", "/all/x", "q1", "");
    assert_eq!(answer.status, 502);
}

#[test]
fn an_answer_cut_short_is_never_passed_on_as_whole() {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::CutShort).unwrap();
    let (_store, node) = deploy(one(RouteKind::AtMostOnce), &[&replica]);
    let answer = ask(node.callers, "POST", "/one/x", "q1", "body");
    assert_eq!(answer.status, 502);
    assert_eq!(replica.runs().len(), 1);
}

#[test]
fn an_answer_of_another_request_is_dropped_with_its_connection() {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::Foreign).unwrap();
    let (_store, node) = deploy(one(RouteKind::AtMostOnce), &[&replica]);
    for id in ["q1", "q2"] {
        assert_eq!(ask(node.callers, "POST", "/one/x", id, "").status, 502);
    }
    assert!(replica.connections() >= 2);
}

/// The second answer must not become the answer to the next request.
#[test]
fn a_surplus_answer_belongs_to_no_request() {
    let replica = ReplicaStandin::start("a", 1, |request| Behaviour::Twice {
        body: request.path.clone().into_bytes(),
    })
    .unwrap();
    let (_store, node) = deploy(one(RouteKind::Idempotent), &[&replica]);
    for index in 0..10 {
        let path = format!("/one/{index}");
        let answer = ask(node.callers, "GET", &path, &format!("q{index}"), "");
        if answer.status == 200 {
            assert_eq!(answer.message.body, path.as_bytes());
        }
    }
}

#[test]
fn a_request_that_must_run_once_is_not_repeated_after_a_lost_answer() {
    let replicas =
        [1, 2, 3].map(|number| ReplicaStandin::start("a", number, |_| Behaviour::Drop).unwrap());
    let (_store, node) = deploy(one(RouteKind::AtMostOnce), &replicas.each_ref());
    let answer = ask(node.callers, "POST", "/one/x", "q1", "fill");
    assert_eq!(answer.status, 502);
    let runs: usize = replicas.iter().map(|replica| replica.runs().len()).sum();
    assert_eq!(runs, 1);
}

#[test]
fn a_request_that_no_replica_has_room_for_is_refused_with_a_time_to_come_back() {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::Busy).unwrap();
    let (_store, node) = deploy(one(RouteKind::AtMostOnce), &[&replica]);
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

/// A failure keeps the replica's own status, body and receipt.
#[test]
fn a_failure_of_a_replica_is_passed_on_unchanged() {
    let replica = ReplicaStandin::start("a", 1, |_| Behaviour::Answer {
        body: b"no such serial".to_vec(),
        delay: Duration::ZERO,
        status: 422,
    })
    .unwrap();
    let (_store, node) = deploy(one(RouteKind::Idempotent), &[&replica]);
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
    let (_store, node) = deploy(one(RouteKind::Idempotent), &[&replica]);
    let mut caller = Caller::connect(node.callers);
    for index in 0..4 {
        caller.ask("GET", &format!("/one/{index}"), &format!("q{index}"), "");
    }
    for index in 0..4 {
        let answer = caller.read().unwrap();
        assert_eq!(answer.message.body, format!("/one/{index}").as_bytes());
    }
}

/// On a connection that is used again, an answer without the id of the request may be a late
/// copy of an earlier one; on a new connection there is none.
#[test]
fn an_answer_without_an_id_counts_on_a_new_connection_only() {
    let asked = AtomicUsize::new(0);
    let replica = ReplicaStandin::start("a", 1, move |_| {
        let body = b"1".to_vec();
        match asked.fetch_add(1, Ordering::Relaxed) {
            0 | 1 => Behaviour::Unnamed { body },
            _ => Behaviour::answer(body),
        }
    })
    .unwrap();
    let (_store, node) = deploy(one(RouteKind::AtMostOnce), &[&replica]);
    let statuses = ["q1", "q2", "q3"].map(|id| ask(node.callers, "POST", "/one/x", id, "").status);
    assert_eq!(statuses, [200, 502, 200]);
    assert_eq!(replica.runs().len(), 3);
}
