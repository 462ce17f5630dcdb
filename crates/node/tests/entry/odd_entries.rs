//! Guards against one entry of another writer that stops nodes from reading the others: all
//! replicas stay in use while it stands, also on nodes that start.

use serde_json::Value;
use serde_json::json;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::PAGE_OBJECTS;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;

use crate::caller::ask;
use crate::deployment::Node;
use crate::deployment::configuration;
use crate::deployment::register_replicas;
use crate::deployment::route_to_a;
use crate::deployment::wait_until;

/// Number of replicas; more than fit on a page together with the odd entry.
const REPLICAS: usize = 4;

/// A store with replicas, for nodes to start with.
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

    /// Removes a registration of which a node that runs learns by a list alone, as the store drops the
    /// history, and waits for the list.
    fn remove_unwatched(&self, id: &str) {
        let store = &self.store;
        store.set_silent(true);
        store.unregister(id);
        store.compact();
        store.set_silent(false);
        wait_until("the list", || store.lists_of(Collection::Replicas) >= 2);
    }

    /// Writes an entry that names no replica: a copy by hand that lost its fields.
    fn write_odd_entry(&self, name: &str) {
        self.store
            .put(Collection::Replicas, name, &json!({ "service": "a" }));
    }
}

/// Waits until a node knows all replicas, and checks that it serves.
fn assert_serves(node: &Node) {
    node.wait_ready();
    node.logged(|line| line["event"] == "replicas" && line["ready"] == REPLICAS);
    assert_eq!(ask(node.callers, "GET", "/one/x", "q", "").status, 200);
}

/// Starts a node while an entry stands that ends a page, for a name that begins with the
/// characters and for one that has them between others.
fn assert_starts_beside(characters: &str) {
    let names = [characters.to_owned(), format!("a-2{characters}x")];
    for name in &names {
        // An entry of a megabyte is alone on its page.
        for page_objects in [1, PAGE_OBJECTS] {
            let deployment = Deployment::new();
            deployment.write_odd_entry(name);
            deployment.store.set_page_objects(page_objects);
            let node = Node::start(&deployment.store);
            assert_serves(&node);
            let lists = deployment.store.lists_of(Collection::Replicas);
            assert_eq!(lists, 1, "{name:?}, {page_objects} on a page");
        }
    }
}

#[test]
fn a_node_starts_beside_an_entry_with_a_blank_in_its_name() {
    assert_starts_beside(" ");
}

#[test]
fn a_node_starts_beside_an_entry_with_an_ampersand_in_its_name() {
    assert_starts_beside("&");
}

#[test]
fn a_node_starts_beside_an_entry_with_a_plus_sign_in_its_name() {
    assert_starts_beside("+");
}

#[test]
fn a_node_starts_beside_an_entry_with_a_number_sign_in_its_name() {
    assert_starts_beside("#");
}

#[test]
fn a_node_starts_beside_an_entry_with_a_percent_sign_in_its_name() {
    assert_starts_beside("%");
}

/// The name looks like an escape, which stands for a name that sorts after other entries.
#[test]
fn no_replica_is_skipped_beside_an_entry_whose_name_looks_like_an_escape() {
    assert_starts_beside("%7E");
}

#[test]
fn a_node_starts_beside_entries_with_other_characters_in_their_names() {
    for characters in ["?", "/", "=", "\"", "\\", "\n", "\u{7f}", "é", "&watch=1"] {
        assert_starts_beside(characters);
    }
}

/// All processes end and start again while the entry stands; later ones follow a peer.
#[test]
fn all_nodes_serve_after_a_restart_beside_an_odd_entry() {
    let deployment = Deployment::new();
    let start = || -> Vec<Node> {
        let names = (0..3).map(|index| format!("node-{index}"));
        names
            .map(|name| Node::start_named(&deployment.store, &name))
            .collect()
    };
    let nodes = start();
    for node in &nodes {
        assert_serves(node);
    }
    deployment.write_odd_entry("a-2 &+#%");
    drop(nodes);
    let nodes = start();
    for node in &nodes {
        assert_serves(node);
    }
    let name = format!("node-{}", nodes.len());
    let late = Node::start_named(&deployment.store, &name);
    assert_serves(&late);
    late.logged(|line| {
        let source = line["source"].as_str().unwrap_or_default();
        source.starts_with("node-")
    });
}

/// A node that runs must list the collection when the store has dropped the history.
#[test]
fn a_node_lists_anew_beside_an_odd_entry() {
    let deployment = Deployment::new();
    let store = &deployment.store;
    let node = Node::start(store);
    assert_serves(&node);
    deployment.write_odd_entry("a-2 &+#%");
    deployment.remove_unwatched("a-4");
    node.logged(|line| line["event"] == "removals" && line["removals"] == 1);
    assert_eq!(ask(node.callers, "GET", "/one/x", "q", "").status, 200);
}

/// The entry stands, so that the replica has not left; nobody knows what else it says.
#[test]
fn a_list_does_not_remove_a_replica_whose_entry_cannot_be_read() {
    let deployment = Deployment::new();
    let store = &deployment.store;
    let start = |index| Node::start_named(store, &format!("node-{index}"));
    let nodes: Vec<Node> = (0..2).map(start).collect();
    for node in &nodes {
        assert_serves(node);
    }
    deployment.write_odd_entry("a-2");
    deployment.remove_unwatched("a-4");
    // Both replicas would be dropped at the same time.
    let mut registration = deployment.replicas[2].registration("north");
    for node in &nodes {
        node.logged(|line| line["event"] == "removals" && line["removals"] == 1);
        wait_until("the drop of the replica that has left", || {
            registration.sequence += 1;
            registration.cold_for_ms += 1;
            store.register(&registration);
            let last = node.last_logged(|line| line["event"] == "replicas");
            last.is_some_and(|line| line["ready"] == REPLICAS - 1)
        });
    }
}

/// Names of entries that end the first page in the order of the store, which nodes don't rely on,
/// and the bytes that it sends in their place.
const UNREADABLE_NAMES: [(&str, &[u8]); 5] = [
    ("a-2 escape", br"a-2\ud800"),
    ("a-2 bytes", b"a-2\xff\xfe"),
    ("a-2 bytes first", b"\xff\xfea-2"),
    ("a-2 control", b"a-2\x01"),
    ("a-2 number", br#"x","name":7,"y":"z"#),
];

/// The list cannot go on after a name that the node does not know.
#[test]
fn a_node_starts_beside_an_entry_whose_name_cannot_be_read() {
    for (name, bytes) in UNREADABLE_NAMES {
        let deployment = Deployment::new();
        deployment.store.replace_text(name, bytes);
        deployment.write_odd_entry(name);
        let node = Node::start(&deployment.store);
        assert_serves(&node);
        node.logged(|line| {
            line["event"] == "malformed" && line["collection"] == Collection::Replicas.wire_name()
        });
    }
}

/// A change that cannot be read must not hold up the changes after it, on the node that reads the
/// store or on those that follow it.
#[test]
fn changes_arrive_beside_an_entry_whose_name_cannot_be_read() {
    for (name, bytes) in UNREADABLE_NAMES {
        let deployment = Deployment::new();
        let store = &deployment.store;
        let start = |index| Node::start_named(store, &format!("node-{index}"));
        let nodes: Vec<Node> = (0..2).map(start).collect();
        for node in &nodes {
            assert_serves(node);
        }
        store.replace_text(name, bytes);
        deployment.write_odd_entry(name);
        store.unregister("a-4");
        for node in &nodes {
            node.logged(|line| line["event"] == "removals" && line["removals"] == 1);
        }
        let late = start(2);
        late.wait_ready();
        late.logged(|line| line["event"] == "replicas" && line["ready"] == REPLICAS - 1);
    }
}

/// Longer than any server accepts in a call; with escapes it takes three times the space.
#[test]
fn a_node_starts_beside_an_entry_whose_name_is_too_long_for_a_call() {
    for character in ["x", "é"] {
        let deployment = Deployment::new();
        deployment.write_odd_entry(&format!("a-2{}", character.repeat(50_000)));
        let node = Node::start(&deployment.store);
        assert_serves(&node);
    }
}

/// A list whose pages do not go on must not be read without end: each call costs money, and a node
/// that starts serves only after it.
#[test]
fn a_list_that_does_not_advance_ends() {
    let deployment = Deployment::new();
    let store = &deployment.store;
    store.repeat_pages(true);
    let node = Node::start(store);
    node.wait_ready();
    assert_eq!(ask(node.callers, "GET", "/one/x", "q", "").status, 200);
    assert_eq!(store.lists_of(Collection::Replicas), 1);
    assert!(store.calls_for(Collection::Replicas) < 10);
}

/// What a running node knows of the objects after the pages that it could read stays in use.
#[test]
fn a_list_that_does_not_advance_removes_nothing() {
    let deployment = Deployment::new();
    let store = &deployment.store;
    let node = Node::start(store);
    assert_serves(&node);
    store.repeat_pages(true);
    store.set_silent(true);
    store.put(Collection::Nodes, "other", &json!({}));
    store.compact();
    store.set_silent(false);
    let cut_short = format!(
        "the pages of {} do not go on",
        Collection::Replicas.wire_name()
    );
    node.logged(|line| {
        let text = line["text"].as_str().unwrap_or_default();
        text.contains(&cut_short)
    });
    store.unregister("a-1");
    // A removal that the list had caused would be logged before the change of this revision.
    let revision = store.revision();
    node.logged(|line| line["event"] == "replicas" && line["revision"] == revision);
    let removals = node.all_logged(|line| line["event"] == "removals");
    assert_eq!(removals.len(), 1, "{removals:?}");
}

/// A request that cannot name its replica would be run by whichever server has the address.
#[test]
fn an_entry_whose_name_cannot_be_sent_names_no_replica() {
    for name in ["a-2\n", "a-2\u{7f}", " a-2", "a-2 "] {
        let deployment = Deployment::new();
        let other = ReplicaStandin::start("b", 1, |_| Behaviour::answer("other")).unwrap();
        let mut odd = other.registration("north");
        odd.id = name.into();
        odd.service = "a".into();
        deployment.store.register(&odd);
        let node = Node::start(&deployment.store);
        assert_serves(&node);
        for number in 0..4 * REPLICAS {
            let id = format!("q{number}");
            let answer = ask(node.callers, "GET", "/one/x", &id, "");
            assert_eq!(answer.message.body, b"1", "{name:?}");
        }
        assert!(other.runs().is_empty(), "{name:?}");
    }
}

/// Lines about one entry with the same reason in a row.
const LINES_PER_REASON_MAX: usize = 10;

/// The log must not grow without bound while the writer of an odd entry writes it again and again.
#[test]
fn an_odd_entry_that_is_written_again_and_again_is_logged_few_times() {
    let deployment = Deployment::new();
    let store = &deployment.store;
    let node = Node::start(store);
    assert_serves(&node);
    for _ in 0..50 {
        deployment.write_odd_entry("x-1");
    }
    // It can be read for once, and then is odd again.
    let other = ReplicaStandin::start("x", 1, |_| Behaviour::answer("1")).unwrap();
    store.register(&other.registration("north"));
    for _ in 0..50 {
        deployment.write_odd_entry("x-1");
    }
    store.unregister("a-4");
    let revision = store.revision();
    node.logged(|line| line["event"] == "replicas" && line["revision"] == revision);
    let lines = node.all_logged(|line| line["event"] == "malformed" && line["name"] == "x-1");
    assert_eq!(lines.len(), 2 * LINES_PER_REASON_MAX, "{lines:?}");
}

/// A node that is missing from the list of nodes gets no parts of gathers to collect.
#[test]
fn an_odd_entry_among_the_nodes_is_reported_and_hides_no_node() {
    let deployment = Deployment::new();
    let store = &deployment.store;
    let start = |index| Node::start_named(store, &format!("node-{index}"));
    for name in ["node-0 &+#%", "node-1 copy"] {
        store.put(Collection::Nodes, name, &json!({ "address": "nowhere" }));
    }
    let nodes: Vec<Node> = (0..4).map(start).collect();
    for node in &nodes {
        assert_serves(node);
        node.logged(|line| line["event"] == "nodes" && line["near"] == nodes.len());
        let is_odd = |line: &Value| line["collection"] == Collection::Nodes.wire_name();
        node.logged(|line| is_odd(line) && line["name"] == "node-1 copy");
    }
}
