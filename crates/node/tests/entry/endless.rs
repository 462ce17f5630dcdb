//! Guards against replicas that send responses without end: their bytes may fill the memory of a
//! node, and requests for other services may wait behind them.

use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::Endless;
use wigeonhall_adapter_standins::MEMORY_MB;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::TargetSpec;

use crate::caller::Caller;
use crate::caller::ask;
use crate::deployment::Node;
use crate::deployment::configuration;
use crate::deployment::deploy;
use crate::deployment::gather;
use crate::deployment::route;
use crate::deployment::wait_until;

/// Number of shards in the gather; each replica sends as fast as the node reads.
const SHARDS: usize = 24;

#[test]
fn endless_responses_neither_exhaust_memory_nor_delay_other_requests() {
    for kind in [Endless::Body, Endless::Head, Endless::Interim] {
        let names: Vec<String> = (0..SHARDS).map(|index| format!("s{index:02}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let start = |name: &&str| {
            ReplicaStandin::start(name, 1, move |_| Behaviour::Endless(kind)).unwrap()
        };
        let mut replicas: Vec<ReplicaStandin> = names.iter().map(start).collect();
        replicas.push(ReplicaStandin::start("a", 1, |_| Behaviour::answer("1")).unwrap());
        let mut all = route("all", "/all/", RouteKind::Idempotent, gather(&names, 0.5));
        all.timeout_ms = 1_000;
        all.target_latency_ms = 500;
        let target = TargetSpec::Service("a".into());
        let one = route("one", "/one/", RouteKind::AtMostOnce, target);
        let all_replicas: Vec<&ReplicaStandin> = replicas.iter().collect();
        let (_store, node) = deploy(vec![all, one], &all_replicas);
        let mut caller = Caller::connect(node.callers);
        caller.ask("GET", "/all/x", "q1", "");
        wait_until("all replicas to be asked", || {
            replicas[..SHARDS].iter().all(|it| !it.runs().is_empty())
        });
        for number in 0..5 {
            let id = format!("other-{number}");
            assert_eq!(ask(node.callers, "POST", "/one/x", &id, "").status, 200);
        }
        let answer = caller.read().expect("an answer");
        assert_ne!(answer.status, 200, "{kind:?}");
        wait_until("the connections to end", || {
            replicas[..SHARDS].iter().all(|it| it.cancelled() > 0)
        });
        let peak_bytes = node.peak_memory_bytes();
        assert!(peak_bytes < MEMORY_MB * 1_000_000, "{kind:?}: {peak_bytes}");
    }
}

/// The bytes that are read of each response before a limit applies may together exceed the memory,
/// if many gathers ask many shards at once.
#[test]
fn endless_responses_to_many_gathers_do_not_exhaust_the_memory() {
    /// Descriptors of a node on the users' VMs.
    const DESCRIPTORS: usize = 2_870;
    const GATHERS: usize = 20;
    const WIDE_SHARDS: usize = 300;
    for kind in [Endless::Body, Endless::Head] {
        let names: Vec<String> = (0..WIDE_SHARDS)
            .map(|index| format!("s{index:03}"))
            .collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let start = |(index, name): (usize, &&str)| {
            let behaviour = if index % 3 == 0 {
                Behaviour::Endless(kind)
            } else {
                Behaviour::answer([7; 16])
            };
            ReplicaStandin::start(name, 1, move |_| behaviour.clone()).unwrap()
        };
        let replicas: Vec<ReplicaStandin> = names.iter().enumerate().map(start).collect();
        let mut all = route("all", "/all/", RouteKind::Idempotent, gather(&names, 0.5));
        all.timeout_ms = 2_000;
        all.target_latency_ms = 1_000;
        let store = StoreStandin::start().unwrap();
        store.configure(&configuration(1, vec![all]));
        for replica in &replicas {
            store.register(&replica.registration("north"));
        }
        let node = Node::start_with_descriptors(&store, DESCRIPTORS);
        node.wait_ready();
        let ask = |number: usize| {
            let mut caller = Caller::connect(node.callers);
            caller.ask("GET", "/all/x", &format!("q{number}"), "");
            caller
        };
        let callers: Vec<Caller> = (0..GATHERS).map(ask).collect();
        for mut caller in callers {
            caller.read().expect("an answer");
        }
        let peak_bytes = node.peak_memory_bytes();
        assert!(peak_bytes < MEMORY_MB * 1_000_000, "{kind:?}: {peak_bytes}");
    }
}
