//! Guards against work for callers that have disconnected.

use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::TargetSpec;

use crate::caller::Caller;
use crate::deployment::deploy;
use crate::deployment::gather;
use crate::deployment::route;
use crate::deployment::wait_until;

#[test]
fn a_disconnected_caller_cancels_its_request_at_every_replica() {
    let replicas =
        ["a", "b"].map(|service| ReplicaStandin::start(service, 1, |_| Behaviour::Silent).unwrap());
    let routes = vec![
        route(
            "all",
            "/all/",
            RouteKind::Idempotent,
            gather(&["a", "b"], 1.0),
        ),
        route(
            "one",
            "/one/",
            RouteKind::AtMostOnce,
            TargetSpec::Service("a".into()),
        ),
    ];
    let (_store, node) = deploy(routes, &replicas.each_ref());
    let mut caller = Caller::connect(node.callers);
    caller.ask("GET", "/all/x", "q1", "");
    wait_until("both replicas to run the request", || {
        replicas.iter().all(|it| it.runs().len() == 1)
    });
    drop(caller);
    wait_until("both replicas to be cancelled", || {
        replicas.iter().all(|it| it.cancelled() == 1)
    });
    assert!(replicas.iter().all(|it| it.runs().len() == 1));
}
