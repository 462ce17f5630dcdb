//! Guards against entries of other writers of the store that exhaust the memory of nodes: while they
//! arrive, while they stand, and at each start; on nodes that read the store and on followers.

use std::fs;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::sync::MutexGuard;

use serde_json::Value;
use serde_json::json;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_adapter_standins::encode_registration;
use wigeonhall_dispatch::PROCESS_BYTES;
use wigeonhall_dispatch::Registration;
use wigeonhall_dispatch::RegistrationState;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::TargetSpec;

use crate::caller::ask;
use crate::deployment::Node;
use crate::deployment::configuration;
use crate::deployment::route;
use crate::deployment::route_to_a;
use crate::deployment::wait_until;
use crate::entry_node::DESCRIPTORS;
use crate::entry_node::MEMORY_MB;
use crate::entry_node::only_one;

/// Length of the text of a large entry; with the rest, an object has a megabyte at most.
const LARGE_TEXT_BYTES: usize = 1_000_000;

/// Large entries, which take more than the memory of a node.
const LARGE_ENTRIES: usize = 60;

/// Large entries that are written again and again.
const REWRITTEN_ENTRIES: usize = 4;

/// Writes of each of them.
const REWRITES: usize = 15;

/// Length of each text of a small entry.
const SMALL_TEXT_BYTES: usize = 900;

/// Small entries, which take more than the memory of a node.
const SMALL_ENTRIES: usize = 20_000;

/// Objects on a page of small ones.
const PAGE_OBJECTS: usize = 300;

/// Two nodes, one of which follows the other, with their store.
struct Pair {
    nodes: Vec<Node>,
    replicas: Vec<ReplicaStandin>,
    _running: MutexGuard<'static, ()>,
    store: StoreStandin,
}

impl Pair {
    fn start() -> Self {
        let running = only_one();
        let store = StoreStandin::start().unwrap();
        store.configure(&configuration(1, vec![route_to_a("one")]));
        store.set_page_objects(1);
        let mut pair = Self {
            nodes: Vec::new(),
            replicas: Vec::new(),
            _running: running,
            store,
        };
        pair.add_replica("a");
        pair.start_nodes();
        pair
    }

    fn add_replica(&mut self, service: &str) {
        let replica = ReplicaStandin::start(service, 1, |_| Behaviour::answer("1")).unwrap();
        self.store.register(&replica.registration("north"));
        self.replicas.push(replica);
    }

    fn start_nodes(&mut self) {
        for name in ["node-0", "node-1"] {
            let node = Node::start_with_limits(&self.store, name, MEMORY_MB, DESCRIPTORS);
            node.wait_ready();
            self.nodes.push(node);
        }
    }

    fn restart_nodes(&mut self) {
        self.nodes.clear();
        self.start_nodes();
    }

    /// Waits until the nodes have seen all entries, and checks that they live within their memory
    /// and serve.
    fn check(&mut self) {
        self.add_replica_again();
        for node in &mut self.nodes {
            let peak_bytes = node.peak_memory_bytes();
            println!("{peak_bytes} bytes at peak");
            assert!(peak_bytes < MEMORY_MB * 1_000_000, "{peak_bytes} bytes");
            assert!(node.is_running(), "the process ended");
            assert_eq!(ask(node.callers, "GET", "/one/x", "q", "").status, 200);
        }
    }

    /// Changes the registration of the replica and waits until the nodes know.
    fn add_replica_again(&self) {
        let mut registration = self.replicas[0].registration("north");
        registration.sequence = self.store.revision();
        registration.cold_for_ms = 1 + registration.sequence;
        self.store.register(&registration);
        let revision = self.store.last_change(Collection::Replicas);
        for node in &self.nodes {
            node.logged(|line| {
                line["event"] == "replicas" && line["revision"].as_u64() >= Some(revision)
            });
        }
    }

    /// Writes entries while the nodes run, and checks the nodes then and after their restart.
    fn check_beside(
        &mut self,
        collection: Collection,
        entries: usize,
        entry: impl Fn(usize) -> Value,
    ) {
        for number in 0..entries {
            let name = format!("0-foreign-{number:05}");
            self.store.put(collection, &name, &entry(number));
        }
        self.check();
        self.restart_nodes();
        self.check();
    }
}

/// Text that cannot be compressed well, another one for each number.
fn noise(length: usize, number: usize) -> String {
    static NOISE: LazyLock<String> = LazyLock::new(|| {
        let mut random = fastrand::Rng::with_seed(1);
        let characters = 0..LARGE_TEXT_BYTES;
        characters.map(|_| random.alphanumeric()).collect()
    });
    let start = number * 997 % LARGE_TEXT_BYTES;
    let text = NOISE[start..].bytes().chain(NOISE.bytes());
    text.take(length).map(char::from).collect()
}

fn large_text(number: usize) -> String {
    noise(LARGE_TEXT_BYTES, number)
}

/// An entry that can be decoded, of a service that no configuration names.
fn unnamed_entry(version: &str, note: &str) -> Value {
    let mut entry = encode_registration(&Registration {
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        started_unix_ms: 1,
        cold_for_ms: 0,
        data_centre: "north".into(),
        id: "".into(),
        sequence: 1,
        service: "uptime-checks".into(),
        slots: 1,
        state: RegistrationState::Ready,
        version: version.into(),
    });
    entry["note"] = note.into();
    entry
}

#[test]
fn large_entries_of_an_unnamed_service_do_not_exhaust_memory() {
    let mut pair = Pair::start();
    let entry = |number| unnamed_entry("v1", &large_text(number));
    pair.check_beside(Collection::Replicas, LARGE_ENTRIES, entry);
}

/// Field values of any length, in fields that nodes use.
#[test]
fn entries_of_an_unnamed_service_with_large_fields_do_not_exhaust_memory() {
    let mut pair = Pair::start();
    let entry = |number| unnamed_entry(&large_text(number), "");
    pair.check_beside(Collection::Replicas, LARGE_ENTRIES, entry);
}

/// The store never holds more than a few megabytes; recent changes and messages to followers must not
/// add up.
#[test]
fn large_entries_that_are_written_again_and_again_do_not_exhaust_memory() {
    let mut pair = Pair::start();
    for write in 0..REWRITES {
        for number in 0..REWRITTEN_ENTRIES {
            let note = large_text(write * REWRITTEN_ENTRIES + number);
            let name = format!("0-foreign-{number}");
            let entry = json!({ "note": note });
            pair.store.put(Collection::Replicas, &name, &entry);
        }
    }
    pair.check();
    pair.restart_nodes();
    pair.check();
}

#[test]
fn many_small_entries_of_an_unnamed_service_do_not_exhaust_memory() {
    let mut pair = Pair::start();
    pair.store.set_page_objects(PAGE_OBJECTS);
    let entry = |number| unnamed_entry(&noise(3 * SMALL_TEXT_BYTES, number), "");
    pair.check_beside(Collection::Replicas, SMALL_ENTRIES, entry);
}

#[test]
fn large_evacuations_do_not_exhaust_memory() {
    let mut pair = Pair::start();
    let entry = |number| json!({ "note": large_text(number) });
    pair.check_beside(Collection::Evacuations, LARGE_ENTRIES, entry);
}

/// Nodes list each other at their start, page by page.
#[test]
fn large_registrations_of_nodes_do_not_exhaust_memory() {
    let mut pair = Pair::start();
    for number in 0..LARGE_ENTRIES {
        let name = format!("0-foreign-{number:05}");
        let entry = json!({ "note": large_text(number) });
        pair.store.put(Collection::Nodes, &name, &entry);
    }
    let calls_before = pair.store.calls_for(Collection::Nodes);
    pair.restart_nodes();
    let pages = (pair.nodes.len() * LARGE_ENTRIES) as u64;
    wait_until("the lists of the nodes", || {
        pair.store.calls_for(Collection::Nodes) >= calls_before + pages
    });
    pair.check();
}

/// Nothing is kept of such entries, and one item is read at a time: the program stays within the part
/// of the memory that the budget leaves to it. Pages of the program file are not counted, as those of
/// an unoptimized build are many.
#[test]
fn large_entries_that_cannot_be_decoded_do_not_exhaust_memory() {
    let mut pair = Pair::start();
    let entry = |number| json!({ "note": large_text(number) });
    pair.check_beside(Collection::Replicas, LARGE_ENTRIES, entry);
    for node in &pair.nodes {
        let bytes = node.peak_memory_bytes() - file_bytes(node);
        println!("{bytes} bytes of the program");
        assert!(bytes <= PROCESS_BYTES as u64, "{bytes} bytes");
    }
}

/// Returns the resident memory that maps files.
fn file_bytes(node: &Node) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", node.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("RssFile:"));
    let kilobytes = line.unwrap().split_whitespace().nth(1).unwrap();
    kilobytes.parse::<u64>().unwrap() * 1_024
}

fn reads_store(node: &Node) -> bool {
    let source = node.last_logged(|line| line["event"] == "change_source");
    source.is_some_and(|line| line["source"] == "store")
}

fn route_to_b() -> RouteSpec {
    let target = TargetSpec::Service("b".into());
    route("two", "/two/", RouteKind::Idempotent, target)
}

/// The replica's entry is the last one in a list of more than a node keeps.
#[test]
fn a_replica_beyond_the_limit_serves_once_its_service_is_named() {
    let mut pair = Pair::start();
    pair.store.set_page_objects(PAGE_OBJECTS);
    let entry = |number| unnamed_entry(&noise(3 * SMALL_TEXT_BYTES, number), "");
    pair.check_beside(Collection::Replicas, SMALL_ENTRIES, entry);
    pair.add_replica("b");
    pair.check();
    wait_until("exactly one reader", || {
        let readers = pair.nodes.iter().filter(|node| reads_store(node));
        readers.count() == 1
    });
    let lists = pair.store.lists_of(Collection::Replicas);
    let routes = vec![route_to_a("one"), route_to_b()];
    pair.store.configure(&configuration(2, routes));
    for node in &pair.nodes {
        wait_until("the route to be served", || {
            ask(node.callers, "GET", "/two/x", "q", "").status == 200
        });
    }
    pair.check();
    // The follower gets the entry from the node that reads the store.
    assert_eq!(pair.store.lists_of(Collection::Replicas), lists + 1);
}
