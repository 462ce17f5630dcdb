//! Guards against answers whose status comes from a faulty replica and means nothing to callers.

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

/// Statuses that no server may send, and 101, which no caller asked for.
const ODD_STATUSES: [&str; 10] = [
    "000", "099", "101", "600", "999", "20", "2000", "-200", "2x0", "",
];

fn one(kind: RouteKind) -> Vec<wigeonhall_dispatch::RouteSpec> {
    vec![route("one", "/one/", kind, TargetSpec::Service("a".into()))]
}

fn odd_replica(service: &str, number: usize, text: &'static str) -> ReplicaStandin {
    ReplicaStandin::start(service, number, move |_| Behaviour::Status {
        body: vec![9; 16],
        text,
    })
    .unwrap()
}

/// Guards against a refusal, too: the request may have run.
#[test]
fn an_odd_status_of_a_replica_is_not_delivered_to_the_caller() {
    for text in ODD_STATUSES {
        let odd = odd_replica("a", 1, text);
        let (_store, node) = deploy(one(RouteKind::AtMostOnce), &[&odd]);
        let answer = ask(node.callers, "POST", "/one/x", "q1", "");
        assert_eq!(answer.status, 502, "status {text:?}");
        assert_eq!(odd.runs().len(), 1, "status {text:?}");
    }
}

#[test]
fn an_odd_status_is_retried_on_another_replica_where_the_route_allows_it() {
    for text in ODD_STATUSES {
        let odd = odd_replica("a", 1, text);
        let sound = ReplicaStandin::start("a", 2, |_| Behaviour::answer("1")).unwrap();
        let (_store, node) = deploy(one(RouteKind::Idempotent), &[&odd, &sound]);
        for number in 0..4 {
            let id = format!("q{number}");
            let answer = ask(node.callers, "GET", "/one/x", &id, "");
            assert_eq!(answer.status, 200, "status {text:?}");
        }
    }
}

#[test]
fn a_part_with_an_odd_status_is_not_merged() {
    for text in ODD_STATUSES {
        let odd = odd_replica("a", 1, text);
        let sound = ReplicaStandin::start("b", 1, |_| Behaviour::answer([7; 16])).unwrap();
        let target = gather(&["a", "b"], 0.5);
        let routes = vec![route("all", "/all/", RouteKind::Idempotent, target)];
        let (_store, node) = deploy(routes, &[&odd, &sound]);
        let answer = ask(node.callers, "GET", "/all/x", "q1", "");
        assert_eq!(answer.status, 200, "status {text:?}");
        assert_eq!(parts_of(&answer.message), (1, 1), "status {text:?}");
        assert_eq!(answer.message.body, [7; 16], "status {text:?}");
    }
}

/// Guards against the bytes of a body that its status forbids being read as the next answer.
#[test]
fn a_body_after_a_status_without_one_does_not_reach_the_next_request() {
    for text in ["204", "304"] {
        let odd = ReplicaStandin::start("a", 1, move |request| {
            if request.header("x-case").is_some() {
                Behaviour::Status {
                    body: b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n".to_vec(),
                    text,
                }
            } else {
                Behaviour::answer("sound")
            }
        })
        .unwrap();
        let (_store, node) = deploy(one(RouteKind::Idempotent), &[&odd]);
        for number in 0..4 {
            let mut caller = Caller::connect(node.callers);
            caller.send(&format!(
                "GET /one/x HTTP/1.1\r\nHost: shop.example\r\nX-Case: 1\r\n{}: odd-{number}\r\n\r\n",
                wigeonhall_adapter::REQUEST_ID
            ));
            let odd = caller.read().expect("an answer");
            assert_ne!(odd.status, 204, "no success without the body that was sent");
            let answer = ask(node.callers, "GET", "/one/x", &format!("q{number}"), "");
            assert_eq!(answer.status, 200, "status {text}");
            assert_eq!(answer.message.body, b"sound", "status {text}");
        }
    }
}
