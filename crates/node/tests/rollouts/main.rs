//! Guards against rollouts that end in two states or in none, and against requests to versions that
//! must get none. They run apart from the other tests of processes, whose times their load would
//! change.

#[path = "../entry/caller.rs"]
mod caller;
#[path = "../entry/deployment.rs"]
mod deployment;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_dispatch::RECORD_BYTES;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::TargetSpec;

use crate::caller::ask;
use crate::deployment::Node;
use crate::deployment::configuration;
use crate::deployment::deploy;
use crate::deployment::gather;
use crate::deployment::route;
use crate::deployment::route_to_a;
use crate::deployment::wait_until;

const NODES: usize = 3;

/// Duration of the rollouts.
const DURATION_S: u64 = 8;

/// Time that a replica takes for a request.
const ANSWER_TIME: Duration = Duration::from_millis(150);

/// Pause of each caller between two requests; a service gets some 50 requests a second.
const CALLER_PAUSE: Duration = Duration::from_millis(90);

/// Number of callers of each node.
const CALLERS: usize = 4;

/// Time in which a node learns of a change, and in which a status may be written twice.
const SETTLING: Duration = Duration::from_millis(1_500);

/// Nodes with callers, two replicas of each version, and a store.
struct Fleet {
    callers: Vec<JoinHandle<()>>,
    /// Number of requests that were not answered with success.
    failed: Arc<AtomicUsize>,
    /// Number of requests that a replica of the first version had not answered when the store got a
    /// success of its service's rollout.
    late: Arc<AtomicUsize>,
    nodes: Vec<Node>,
    replicas: Vec<ReplicaStandin>,
    stopped: Arc<AtomicBool>,
    store: Arc<StoreStandin>,
}

impl Fleet {
    /// Starts nodes and replicas of `v1` of the service `a`.
    fn start() -> Self {
        Self::with_routes(vec![route_to_a("one")], &["a"])
    }

    /// Starts nodes, and replicas of `v1` of some services; callers ask the route `one`.
    fn with_routes(routes: Vec<RouteSpec>, services: &[&str]) -> Self {
        let store = Arc::new(StoreStandin::start().unwrap());
        store.configure(&configuration(1, routes));
        let mut fleet = Self {
            callers: Vec::new(),
            failed: Arc::default(),
            late: Arc::default(),
            nodes: Vec::new(),
            replicas: Vec::new(),
            stopped: Arc::default(),
            store,
        };
        for service in services {
            fleet.add_replicas(service, "v1", 200);
        }
        for number in 0..NODES {
            let name = format!("node-{number}");
            let node = Node::start_with_rollouts(&fleet.store, &name);
            fleet.nodes.push(node);
        }
        for node in &fleet.nodes {
            node.wait_ready();
            node.logged(|line| line["event"] == "nodes" && line["near"] == NODES);
        }
        let paths: &[&str] = if services.len() > 1 {
            &["/one/x", "/two/x"]
        } else {
            &["/one/x"]
        };
        fleet.callers = (0..CALLERS * NODES)
            .map(|index| fleet.call(index, paths))
            .collect();
        fleet
    }

    /// Starts two replicas of a version of the service `a` that answer with a status.
    fn add_version(&mut self, version: &str, status: u16) {
        self.add_replicas("a", version, status);
    }

    fn add_replicas(&mut self, service: &str, version: &str, status: u16) {
        for _ in 0..2 {
            let number = self.replicas.len() + 1;
            let (late, store) = (self.late.clone(), self.store.clone());
            let is_first = version == "v1";
            let name = service.to_owned();
            let decide = move |_: &_| {
                thread::sleep(ANSWER_TIME);
                let succeeded = |(state, _): (String, String)| state == "succeeded";
                if is_first && store.rollout_status(&name).is_some_and(succeeded) {
                    late.fetch_add(1, Relaxed);
                }
                Behaviour::Answer {
                    body: vec![7; RECORD_BYTES],
                    delay: Duration::ZERO,
                    status,
                }
            };
            let replica = ReplicaStandin::start(service, number, decide).unwrap();
            let mut registration = replica.registration("north");
            registration.version = version.into();
            registration.started_unix_ms = number as u64;
            self.store.register(&registration);
            self.replicas.push(replica);
        }
    }

    /// Sends requests to a node until the test ends or the node does.
    fn call(&self, index: usize, paths: &'static [&'static str]) -> JoinHandle<()> {
        let (failed, stopped) = (self.failed.clone(), self.stopped.clone());
        let address = self.nodes[index % NODES].callers;
        thread::spawn(move || {
            let mut number = 0;
            while !stopped.load(Relaxed) && std::net::TcpStream::connect(address).is_ok() {
                number += 1;
                let id = format!("q-{index}-{number}");
                let path = paths[number % paths.len()];
                let status = ask(address, "GET", path, &id, "").status;
                failed.fetch_add(usize::from(status != 200), Relaxed);
                thread::sleep(CALLER_PAUSE);
            }
        })
    }

    /// Returns the number of requests that the `index`th pair of replicas ran.
    fn runs(&self, index: usize) -> usize {
        let replicas = self.replicas.iter().skip(2 * index).take(2);
        replicas.map(|replica| replica.runs().len()).sum()
    }

    fn wait_status(&self, state: &str, version: &str) {
        self.wait_status_of("a", state, version);
    }

    fn wait_status_of(&self, service: &str, state: &str, version: &str) {
        let status = Some((state.to_owned(), version.to_owned()));
        wait_until(state, || self.store.rollout_status(service) == status);
    }

    /// Waits until a node decides as the coordinator that a version is bad, and returns its index.
    fn wait_decision(&self) -> usize {
        let decided = |node: &Node| {
            let is_decision = |line: &Value| line["event"] == "rollout" && line["state"] == "stop";
            node.last_logged(is_decision).is_some()
        };
        let mut coordinator = None;
        wait_until("a decision", || {
            coordinator = self.nodes.iter().position(decided);
            coordinator.is_some()
        });
        coordinator.unwrap()
    }

    fn assert_written(&self, states: &[&str]) {
        thread::sleep(SETTLING);
        assert_eq!(self.store.rollout_writes("a"), states);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stopped.store(true, Relaxed);
        for caller in self.callers.drain(..) {
            // A caller of a node that was killed may fail.
            drop(caller.join());
        }
    }
}

/// The replicas of the earlier version stop at the write, without draining.
#[test]
fn a_good_version_succeeds_and_the_earlier_one_gets_no_request_after_that() {
    let mut fleet = Fleet::start();
    fleet.add_version("v2", 200);
    fleet.store.request_rollout("a", "v2", DURATION_S);
    fleet.wait_status("succeeded", "v2");
    fleet.assert_written(&["running", "succeeded"]);
    assert!(fleet.runs(1) > 0);
    assert_eq!(fleet.late.load(Relaxed), 0);
    assert_eq!(fleet.failed.load(Relaxed), 0);
}

#[test]
fn a_bad_version_is_rolled_back_within_its_exposure() {
    let mut fleet = Fleet::start();
    fleet.add_version("v2", 500);
    fleet.store.request_rollout("a", "v2", DURATION_S);
    fleet.wait_status("rolled_back", "v2");
    let (earlier, target) = (fleet.runs(0), fleet.runs(1));
    assert!(target <= (earlier + target) / 10 + 50, "{target} requests");
    fleet.assert_written(&["running", "rolled_back"]);
    let settled = fleet.runs(1);
    thread::sleep(SETTLING);
    assert_eq!(fleet.runs(1), settled);
}

/// The write is applied; a second one would be refused or change the state again.
#[test]
fn a_final_state_is_written_once_when_the_answer_to_the_write_is_lost() {
    let mut fleet = Fleet::start();
    fleet.add_version("v2", 500);
    fleet.store.refuse_status_writes(true);
    fleet.store.request_rollout("a", "v2", DURATION_S);
    for node in &fleet.nodes {
        node.logged(|line| line["event"] == "rollout" && line["state"] == "stopped");
    }
    // Nor does a watch show the write.
    fleet.store.lose_answers(Collection::Rollouts, 1);
    fleet.store.lose_write_answers(2);
    fleet.store.refuse_status_writes(false);
    fleet.wait_status("rolled_back", "v2");
    fleet.assert_written(&["running", "rolled_back"]);
}

/// The decision is lost with its node; the next coordinator decides by the totals of the others.
#[test]
fn a_rollout_ends_when_its_coordinator_is_killed_before_it_writes() {
    let mut fleet = Fleet::start();
    fleet.add_version("v2", 500);
    fleet.store.request_rollout("a", "v2", DURATION_S);
    fleet.store.refuse_status_writes(true);
    let coordinator = fleet.wait_decision();
    fleet.nodes[coordinator].signal("KILL");
    fleet.nodes.remove(coordinator).end();
    fleet.store.refuse_status_writes(false);
    fleet.wait_status("rolled_back", "v2");
    fleet.assert_written(&["running", "rolled_back"]);
}

/// A coordinator that was frozen still has its decision, and the object as it was before.
#[test]
fn a_coordinator_that_resumes_after_another_one_wrote_does_not_write_again() {
    let mut fleet = Fleet::start();
    fleet.add_version("v2", 500);
    fleet.store.refuse_status_writes(true);
    fleet.store.request_rollout("a", "v2", DURATION_S);
    let coordinator = fleet.wait_decision();
    fleet.nodes[coordinator].signal("STOP");
    fleet.store.refuse_status_writes(false);
    fleet.wait_status("rolled_back", "v2");
    fleet.nodes[coordinator].signal("CONT");
    fleet.assert_written(&["running", "rolled_back"]);
}

/// The replicas of the rolled back version have drained already.
#[test]
fn a_final_state_is_written_again_after_the_store_was_restored_without_it() {
    let mut fleet = Fleet::start();
    fleet.add_version("v2", 500);
    fleet.store.request_rollout("a", "v2", DURATION_S);
    fleet.wait_status("running", "v2");
    fleet.store.keep_copy();
    fleet.wait_status("rolled_back", "v2");
    thread::sleep(SETTLING);
    let settled = fleet.runs(1);
    fleet.store.restore_copy();
    fleet.wait_status("running", "v2");
    fleet.wait_status("rolled_back", "v2");
    fleet.assert_written(&["running", "rolled_back", "rolled_back"]);
    assert_eq!(fleet.runs(1), settled);
}

/// The evidence about the replaced version must not decide about the next one.
#[test]
fn a_replaced_rollout_starts_again_and_its_version_gets_no_more_requests() {
    let mut fleet = Fleet::start();
    fleet.add_version("v2", 200);
    fleet.store.request_rollout("a", "v2", DURATION_S);
    wait_until("requests to the target version", || fleet.runs(1) > 3);
    fleet.add_version("v3", 200);
    fleet.store.request_rollout("a", "v3", DURATION_S);
    thread::sleep(SETTLING);
    let replaced = fleet.runs(1);
    fleet.wait_status("succeeded", "v3");
    fleet.assert_written(&["running", "running", "succeeded"]);
    assert_eq!(fleet.runs(1), replaced);
    assert_eq!(fleet.failed.load(Relaxed), 0);
}

/// One of a shard, and one of a part of a split that has its requests from another route.
#[test]
fn rollouts_of_two_services_at_once_end_independently() {
    let one = route(
        "one",
        "/one/",
        RouteKind::Idempotent,
        gather(&["a", "b"], 1.0),
    );
    let split = TargetSpec::Split(vec![("b".into(), 1.0), ("c".into(), 1.0)]);
    let two = route("two", "/two/", RouteKind::Idempotent, split);
    let mut fleet = Fleet::with_routes(vec![one, two], &["a", "b", "c"]);
    fleet.add_replicas("a", "v2", 500);
    fleet.add_replicas("b", "v2", 200);
    fleet.store.request_rollout("a", "v2", DURATION_S);
    fleet.store.request_rollout("b", "v2", DURATION_S);
    fleet.wait_status_of("a", "rolled_back", "v2");
    fleet.wait_status_of("b", "succeeded", "v2");
    fleet.assert_written(&["running", "rolled_back"]);
    assert_eq!(fleet.store.rollout_writes("b"), ["running", "succeeded"]);
    assert_eq!(fleet.late.load(Relaxed), 0);
    // Each failed request met the bad version of a shard.
    assert!(fleet.failed.load(Relaxed) <= fleet.runs(3));
}

/// No rollout names the version.
#[test]
fn a_version_that_was_not_rolled_out_gets_no_request() {
    let mut fleet = Fleet::start();
    fleet.add_version("v9", 200);
    let earlier = fleet.runs(0);
    wait_until("more requests", || fleet.runs(0) > earlier + 60);
    assert_eq!(fleet.runs(1), 0);
}

/// Calls to the store cost money, also of deployments without rollouts.
#[test]
fn nodes_without_rollouts_do_not_read_them_and_send_to_all_versions() {
    let replicas = [1, 2]
        .map(|number| ReplicaStandin::start("a", number, |_| Behaviour::answer("some")).unwrap());
    let (store, node) = deploy(vec![route_to_a("one")], &[&replicas[0]]);
    let mut other = replicas[1].registration("north");
    other.version = "v9".into();
    store.register(&other);
    wait_until("a request to the other version", || {
        ask(node.callers, "GET", "/one/x", "q", "");
        !replicas[1].runs().is_empty()
    });
    assert_eq!(store.calls_for(Collection::Rollouts), 0);
}
