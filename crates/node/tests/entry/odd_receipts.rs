//! Guards against one part of a gather whose receipt, the replica's proof that it ran the request,
//! cannot be listed: it must not cost the other parts, or be read as several receipts.

use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::parts_of;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;

use crate::caller::ask;
use crate::deployment::deploy;
use crate::deployment::gather;
use crate::deployment::route;

const ODD_RECEIPTS: [&[u8]; 6] = [
    b"a-1.\xff",
    "a-1.é".as_bytes(),
    b"a-1.q1, a-9.q1",
    b"a-1\t.q1",
    b"",
    b" ",
];

fn routes(min_fraction: f64) -> Vec<RouteSpec> {
    let target = gather(&["a", "b"], min_fraction);
    vec![route("all", "/all/", RouteKind::Idempotent, target)]
}

fn odd_replica(receipt: &'static [u8]) -> ReplicaStandin {
    let odd = move |_: &_| Behaviour::Receipt {
        body: vec![9; 16],
        receipt,
    };
    ReplicaStandin::start("a", 1, odd).unwrap()
}

fn sound_replica(service: &str, number: usize) -> ReplicaStandin {
    ReplicaStandin::start(service, number, |_| Behaviour::answer([7; 16])).unwrap()
}

#[test]
fn a_part_with_an_odd_receipt_does_not_cost_the_others() {
    for receipt in ODD_RECEIPTS {
        let shown = String::from_utf8_lossy(receipt);
        let (odd, sound) = (odd_replica(receipt), sound_replica("b", 1));
        let (_store, node) = deploy(routes(0.5), &[&odd, &sound]);
        let answer = ask(node.callers, "GET", "/all/x", "q1", "");
        assert_eq!(answer.status, 200, "{shown:?}");
        assert_eq!(parts_of(&answer.message), (1, 1), "{shown:?}");
        assert_eq!(answer.message.body, [7; 16], "{shown:?}");
    }
}

#[test]
fn a_part_with_an_odd_receipt_is_taken_from_another_replica() {
    for receipt in ODD_RECEIPTS {
        let shown = String::from_utf8_lossy(receipt);
        let odd = odd_replica(receipt);
        let sound = [("a", 2), ("b", 1)].map(|(service, number)| sound_replica(service, number));
        let (_store, node) = deploy(routes(1.0), &[&odd, &sound[0], &sound[1]]);
        for number in 0..4 {
            let id = format!("q{number}");
            let answer = ask(node.callers, "GET", "/all/x", &id, "");
            assert_eq!(answer.status, 200, "{shown:?}");
            assert_eq!(parts_of(&answer.message), (2, 0), "{shown:?}");
            assert_eq!(answer.message.body, [7; 32], "{shown:?}");
        }
    }
}
