//! Guards against entries of services that no configuration names: they must neither take replicas
//! out of use, nor be lost for a later configuration that names their service.

use serde_json::Value;
use serde_json::json;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_dispatch::Registration;
use wigeonhall_dispatch::RegistrationState;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::TargetSpec;

use crate::caller::ask;
use crate::deployment::Node;
use crate::deployment::configuration;
use crate::deployment::register_replicas;
use crate::deployment::route;
use crate::deployment::route_to_a;

/// Number of replicas of the service `a`.
const REPLICAS: usize = 3;

/// Requests to a node, more than it has replicas.
const REQUESTS: usize = 2 * REPLICAS;

struct Deployment {
    replicas: Vec<ReplicaStandin>,
    store: StoreStandin,
}

impl Deployment {
    fn new() -> Self {
        let store = StoreStandin::start().unwrap();
        store.configure(&configuration(1, vec![route_to_a("one")]));
        let replicas = register_replicas(&store, REPLICAS);
        Self { replicas, store }
    }

    /// A reader of the store, and a node that follows it.
    fn start_pair(&self) -> [Node; 2] {
        [0, 1].map(|index| {
            let node = Node::start_named(&self.store, &format!("node-{index}"));
            node.wait_ready();
            node
        })
    }

    /// Writes a copy of each registration, of a service that is not named; returns their ids.
    fn write_foreign_entries(
        &self,
        prefix: &str,
        change: impl Fn(&mut Registration),
    ) -> Vec<String> {
        let write = |replica: &ReplicaStandin| {
            let mut entry = replica.registration("north");
            entry.id = format!("{prefix}{}", entry.id).into();
            entry.service = "uptime-checks".into();
            change(&mut entry);
            self.store.register(&entry);
            entry.id.to_string()
        };
        self.replicas.iter().map(write).collect()
    }

    /// Checks that a node that has applied all changes uses all replicas and no others.
    #[track_caller]
    fn assert_serves(&self, node: &Node) {
        let revision = self.store.last_change(Collection::Replicas);
        let is_applied = |line: &Value| {
            line["event"] == "replicas" && line["revision"].as_u64() >= Some(revision)
        };
        node.logged(is_applied);
        let last = node.last_logged(is_applied);
        assert_eq!(last.unwrap()["ready"], REPLICAS);
        node.wait_ready();
        for _ in 0..REQUESTS {
            assert_eq!(ask(node.callers, "GET", "/one/x", "q", "").status, 200);
        }
    }
}

/// The names sort before and after those of the replicas.
#[test]
fn entries_of_an_unnamed_service_at_the_addresses_of_replicas_take_none_out_of_use() {
    let deployment = Deployment::new();
    let nodes = deployment.start_pair();
    let changes: [fn(&mut Registration); 4] = [
        |_| {},
        |entry| entry.started_unix_ms += 5_000,
        |entry| entry.state = RegistrationState::Draining,
        |entry| entry.data_centre = "nowhere".into(),
    ];
    for change in changes {
        for prefix in ["0-", "z-"] {
            let ids = deployment.write_foreign_entries(prefix, change);
            for node in &nodes {
                deployment.assert_serves(node);
            }
            let late = Node::start_named(&deployment.store, "node-2");
            deployment.assert_serves(&late);
            drop(late);
            for id in &ids {
                deployment.store.unregister(id);
            }
            for node in &nodes {
                deployment.assert_serves(node);
            }
        }
    }
}

#[test]
fn entries_of_an_unnamed_service_in_a_restored_list_take_no_replica_out_of_use() {
    let deployment = Deployment::new();
    let nodes = deployment.start_pair();
    deployment.write_foreign_entries("0-", |entry| entry.started_unix_ms += 5_000);
    let store = &deployment.store;
    store.keep_copy();
    store.put(Collection::Nodes, "other", &json!({}));
    store.restore_copy();
    // Gives out revisions that the nodes have not seen.
    deployment.write_foreign_entries("z-", |_| {});
    for node in &nodes {
        deployment.assert_serves(node);
    }
}

fn route_to_b() -> RouteSpec {
    let target = TargetSpec::Service("b".into());
    route("two", "/two/", RouteKind::Idempotent, target)
}

/// The replicas register before the configuration names their service, as when an index is divided
/// anew.
#[test]
fn replicas_that_registered_before_their_service_was_named_serve_its_route_at_once() {
    let deployment = Deployment::new();
    let store = &deployment.store;
    let early = ReplicaStandin::start("b", 1, |_| Behaviour::answer("2")).unwrap();
    store.register(&early.registration("north"));
    let [reader, follower] = deployment.start_pair();
    let late = ReplicaStandin::start("b", 2, |_| Behaviour::answer("2")).unwrap();
    store.register(&late.registration("north"));
    for node in [&reader, &follower] {
        deployment.assert_serves(node);
    }
    let lists = store.lists_of(Collection::Replicas);
    store.configure(&configuration(2, vec![route_to_a("one"), route_to_b()]));
    for node in [&reader, &follower] {
        let in_force = node.logged(|line| line["event"] == "configuration" && line["version"] == 2);
        assert_eq!(in_force["outcome"], "in_force");
        for _ in 0..REQUESTS {
            let answer = ask(node.callers, "GET", "/two/x", "q", "");
            assert_eq!(answer.message.body, b"2");
        }
    }
    assert_eq!(store.lists_of(Collection::Replicas), lists);
    assert!(!early.runs().is_empty());
    assert!(!late.runs().is_empty());
}

/// A rollout of a service that is named later must limit the requests to its version then.
#[test]
fn a_rollout_that_was_written_before_its_service_was_named_is_applied_then() {
    let deployment = Deployment::new();
    let store = &deployment.store;
    let node = Node::start_with_rollouts(store, "node-0");
    node.wait_ready();
    let rollout = json!({ "duration_s": 60.0, "target_version": "v2" });
    store.put(Collection::Rollouts, "b", &rollout);
    store.put(Collection::Rollouts, "a", &rollout);
    let is_for = |service: &str| {
        let rollouts = node.all_logged(|line| line["event"] == "rollout");
        rollouts.iter().any(|line| line["service"] == service)
    };
    node.logged(|line| line["event"] == "rollout" && line["service"] == "a");
    assert!(!is_for("b"));
    store.configure(&configuration(2, vec![route_to_a("one"), route_to_b()]));
    node.logged(|line| line["event"] == "rollout" && line["service"] == "b");
}
