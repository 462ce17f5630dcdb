//! Guards against requests that run without a known API key.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use wigeonhall_adapter::TENANT;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::HttpMessage;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_dispatch::Configuration;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::TenantSpec;

use crate::caller::Caller;
use crate::caller::ask;
use crate::caller::ask_with;
use crate::caller::request;
use crate::caller::with_headers;
use crate::deployment::Node;
use crate::deployment::configuration;
use crate::deployment::gather;
use crate::deployment::route;
use crate::deployment::route_to_a;
use crate::deployment::wait_until;
use crate::feed::wait_for_reader;
use crate::proxy::Mode;
use crate::proxy::Proxy;

pub const KEY: &str = "kq7Zp3vXw9Ld2TsB8mRf";
pub const OTHER_KEY: &str = "u5Hc1JgNy6Ae4WbQ0xVo";
pub const UNKNOWN_KEY: &str = "r8Tn3MkPi7Sd1FzYe5Gl";

/// Time within which a configuration is in force, unless the settings state another one.
const CONFIG_APPLY: Duration = Duration::from_secs(3);

fn tenant(name: &str) -> TenantSpec {
    TenantSpec {
        burst: 0.0,
        key_digests: Vec::new(),
        name: name.into(),
        priority: None,
        rate_per_s: 0.0,
    }
}

fn routes() -> Vec<RouteSpec> {
    let mut open = route_to_a("open");
    open.allows_anonymous = true;
    vec![route_to_a("closed"), open]
}

/// Returns a configuration with the tenants `acme` and `zeta`.
pub fn tenants_configuration(version: u64) -> Configuration {
    Configuration {
        tenants: Some(vec![tenant("acme"), tenant("zeta")]),
        ..configuration(version, routes())
    }
}

fn replica() -> ReplicaStandin {
    ReplicaStandin::start("a", 1, |_| Behaviour::answer("1")).unwrap()
}

/// Starts a node whose configuration gives `acme` the given keys.
fn deploy(replica: &ReplicaStandin, keys: &[&str]) -> (StoreStandin, Node) {
    let store = StoreStandin::start().unwrap();
    configure(&store, 1, keys);
    store.register(&replica.registration("north"));
    let node = Node::start(&store);
    node.wait_ready();
    (store, node)
}

fn configure(store: &StoreStandin, version: u64, keys: &[&str]) {
    let keys: Vec<(&str, &str)> = keys.iter().map(|key| ("acme", *key)).collect();
    store.configure_with_keys(&tenants_configuration(version), &keys);
}

pub fn authorization(key: &str) -> String {
    format!("Authorization: Token {key}\r\n")
}

fn status(node: &Node, path: &str, key: &str) -> u16 {
    ask_with(node.callers, path, "q", &authorization(key)).status
}

pub fn wait_in_force(node: &Node, version: u64) {
    node.logged(|line| {
        line["event"] == "configuration"
            && line["outcome"] == "in_force"
            && line["version"] == version
    });
}

/// Returns the values of a header of a request that a replica ran.
fn values<'a>(run: &'a HttpMessage, name: &str) -> Vec<&'a str> {
    let named = run.headers.iter().filter(|(key, _)| key == name);
    named.map(|(_, value)| value.as_str()).collect()
}

/// Asserts that a request reached a replica with the name of a tenant, and without a key.
pub fn assert_run(run: &HttpMessage, tenant: &[&str]) {
    assert_eq!(values(run, TENANT.as_str()), tenant, "{run:?}");
    assert_eq!(values(run, "authorization"), [""; 0], "{run:?}");
}

/// A caller's own headers must not hide the tenant from replicas, nor name another one.
#[test]
fn replicas_get_the_name_of_the_tenant_whatever_headers_the_caller_sends() {
    let replica = replica();
    let (_store, node) = deploy(&replica, &[KEY]);
    let key = authorization(KEY);
    let upper_case = TENANT.as_str().to_ascii_uppercase();
    let forms = [
        key.clone(),
        format!("{key}{TENANT}: zeta\r\n"),
        format!("{key}{TENANT}: zeta\r\n{TENANT}: other\r\n{upper_case}:\r\n"),
        format!("{key}Connection: {TENANT}\r\n"),
        format!("{key}Connection: keep-alive, {TENANT}, Authorization\r\n{TENANT}: zeta\r\n"),
        format!("authorization: token   {KEY}  \r\n"),
        format!("{key}{key}"),
    ];
    for path in ["/closed/x", "/open/x"] {
        for headers in &forms {
            let answer = ask_with(node.callers, path, "q", headers);
            assert_eq!(answer.status, 200, "{headers}");
            assert_run(replica.runs().last().unwrap(), &["acme"]);
        }
    }
    wait_until("the log lines with the tenant", || {
        let lines = node.all_logged(|line| line["event"] == "request" && line["tenant"] == "acme");
        lines.len() == 2 * forms.len()
    });
}

#[test]
fn requests_without_a_known_key_get_401_and_never_run() {
    let replica = replica();
    let (_store, node) = deploy(&replica, &[KEY]);
    let unknown = authorization(UNKNOWN_KEY);
    let forms = [
        unknown.clone(),
        format!("{}{unknown}", authorization(KEY)),
        format!("{unknown}{}", authorization(KEY)),
        format!("{unknown}{TENANT}: acme\r\n"),
        format!("{unknown}Connection: Authorization\r\n"),
        format!("Authorization: Basic {KEY}\r\n"),
        format!("Authorization: {KEY}\r\n"),
        format!("Authorization: Token {}\r\n", KEY.to_lowercase()),
        format!("Authorization: Token {KEY}x\r\n"),
        format!("Authorization: Token {KEY}, Token {KEY}\r\n"),
        "Authorization: Token\r\n".to_owned(),
        "Authorization: Token \r\n".to_owned(),
        "Authorization:\r\n".to_owned(),
    ];
    for path in ["/closed/x", "/open/x"] {
        for headers in &forms {
            let answer = ask_with(node.callers, path, "q", headers);
            assert_eq!(answer.status, 401, "{path} {headers}");
        }
    }
    assert_eq!(ask(node.callers, "GET", "/closed/x", "q", "").status, 401);
    assert_eq!(replica.runs(), []);
    let page = ask(node.readiness, "GET", "/metrics", "probe", "");
    let page = String::from_utf8(page.message.body).unwrap();
    let count = 2 * forms.len() + 1;
    let line = format!("wigeonhall_unknown_key_refusals_total {count}\n");
    assert!(page.contains(&line), "{page}");
}

#[test]
fn anonymous_callers_name_no_tenant() {
    let replica = replica();
    let (_store, node) = deploy(&replica, &[KEY]);
    for headers in [
        "",
        &format!("{TENANT}: acme\r\n"),
        &format!("{TENANT}: a\r\n{TENANT}: b\r\n"),
    ] {
        let answer = ask_with(node.callers, "/open/x", "q", headers);
        assert_eq!(answer.status, 200);
        assert_run(replica.runs().last().unwrap(), &[]);
    }
    ask(node.callers, "GET", "/open/x", "last", "");
    node.logged(|line| line["event"] == "request" && line["request_id"] == "last");
    let named = node.all_logged(|line| !line["tenant"].is_null());
    assert_eq!(named, Vec::<Value>::new());
}

/// Where the configuration names no tenants, both headers belong to the callers and the services.
#[test]
fn without_tenants_the_headers_are_forwarded() {
    let replica = replica();
    let store = StoreStandin::start().unwrap();
    store.configure(&configuration(1, routes()));
    store.register(&replica.registration("north"));
    let node = Node::start(&store);
    node.wait_ready();
    let headers = &format!("Authorization: Basic YTpi\r\n{TENANT}: own\r\n");
    let answer = ask_with(node.callers, "/closed/x", "q", headers);
    assert_eq!(answer.status, 200);
    let run = &replica.runs()[0];
    assert_eq!(values(run, "authorization"), ["Basic YTpi"]);
    assert_eq!(values(run, TENANT.as_str()), ["own"]);
}

/// A key that the node cannot check may be valid.
#[test]
fn a_node_without_a_configuration_refuses_with_503() {
    let store = StoreStandin::start().unwrap();
    store.set_down(true);
    let node = Node::start(&store);
    assert_eq!(status(&node, "/closed/x", KEY), 503);
    assert_eq!(ask(node.callers, "GET", "/closed/x", "q", "").status, 503);
}

#[test]
fn a_retry_names_the_tenant_as_well() {
    let failing = ReplicaStandin::start("a", 1, |_| Behaviour::CloseConnection).unwrap();
    let other = ReplicaStandin::start("a", 2, |_| Behaviour::CloseConnection).unwrap();
    let (store, node) = deploy(&failing, &[KEY]);
    store.register(&other.registration("north"));
    node.logged(|line| line["event"] == "replicas" && line["ready"] == 2);
    assert_eq!(status(&node, "/closed/x", KEY), 502);
    for replica in [&failing, &other] {
        assert_run(&replica.runs()[0], &["acme"]);
    }
}

#[test]
fn a_hedge_names_the_tenant_as_well() {
    let slow = |_: &HttpMessage| Behaviour::Answer {
        body: vec![1; 16],
        delay: Duration::from_secs(1),
        status: 200,
    };
    let replicas = [1, 2].map(|number| ReplicaStandin::start("a", number, slow).unwrap());
    let other = ReplicaStandin::start("b", 1, slow).unwrap();
    let target = gather(&["a", "b"], 1.0);
    let store = StoreStandin::start().unwrap();
    let gather_configuration = Configuration {
        routes: vec![route("all", "/all/", RouteKind::Idempotent, target)],
        ..tenants_configuration(1)
    };
    store.configure_with_keys(&gather_configuration, &[("acme", KEY)]);
    for replica in replicas.iter().chain([&other]) {
        store.register(&replica.registration("north"));
    }
    let node = Node::start(&store);
    node.wait_ready();
    assert_eq!(status(&node, "/all/x", KEY), 200);
    for replica in &replicas {
        assert_run(&replica.runs()[0], &["acme"]);
    }
}

/// A body may take longer to arrive than a revocation may take to come into force.
#[test]
fn a_key_that_is_revoked_while_its_request_arrives_is_refused() {
    let replica = replica();
    let (store, node) = deploy(&replica, &[KEY]);
    let mut caller = Caller::connect(node.callers);
    let text = request("GET", "/closed/x", "q", 5_000, "body");
    let text = with_headers(&text, &authorization(KEY));
    let (head, end) = text.split_at(text.len() - 1);
    caller.send(head);
    thread::sleep(Duration::from_millis(100));
    configure(&store, 2, &[OTHER_KEY]);
    wait_in_force(&node, 2);
    caller.send(end);
    assert_eq!(caller.read().unwrap().status, 401);
    assert_eq!(replica.runs(), []);
}

#[test]
fn revoked_keys_are_refused_and_keys_that_return_are_accepted() {
    let replica = replica();
    let (store, node) = deploy(&replica, &[KEY]);
    let versions: [(&[&str], u16, u16); 4] = [
        (&[OTHER_KEY], 401, 200),
        (&[KEY, OTHER_KEY], 200, 200),
        (&[], 401, 401),
        (&[KEY], 200, 401),
    ];
    for (index, (keys, status_of_key, status_of_other)) in versions.into_iter().enumerate() {
        let version = index as u64 + 2;
        let began = Instant::now();
        configure(&store, version, keys);
        wait_in_force(&node, version);
        assert!(began.elapsed() < CONFIG_APPLY);
        assert_eq!(status(&node, "/closed/x", KEY), status_of_key, "{keys:?}");
        assert_eq!(
            status(&node, "/closed/x", OTHER_KEY),
            status_of_other,
            "{keys:?}"
        );
    }
}

/// The restored store lists the revoked key again, in an older version.
#[test]
fn a_revoked_key_stays_invalid_after_the_store_is_restored_from_a_copy() {
    let replica = replica();
    let (store, node) = deploy(&replica, &[KEY]);
    store.keep_copy();
    configure(&store, 2, &[OTHER_KEY]);
    wait_in_force(&node, 2);
    store.set_down(true);
    store.restore_copy();
    store.set_down(false);
    node.logged(|line| line["event"] == "configuration" && line["outcome"] == "older");
    assert_eq!(status(&node, "/closed/x", KEY), 401);
    assert_eq!(status(&node, "/closed/x", OTHER_KEY), 200);
}

/// A node that the store refuses learns of the revocation from the node that it follows.
#[test]
fn keys_are_revoked_on_nodes_that_the_store_refuses() {
    const NODES: usize = 4;
    let replica = replica();
    let store = StoreStandin::start().unwrap();
    configure(&store, 1, &[KEY]);
    store.register(&replica.registration("north"));
    let proxies: Vec<Proxy> = (0..NODES).map(|_| Proxy::start(store.address())).collect();
    let start =
        |(index, proxy): (usize, &Proxy)| Node::start_at(proxy.address(), &format!("node-{index}"));
    let nodes: Vec<Node> = proxies.iter().enumerate().map(start).collect();
    nodes.iter().for_each(Node::wait_ready);
    let reader = wait_for_reader(&nodes);
    for (index, proxy) in proxies.iter().enumerate() {
        if index != reader {
            proxy.set_mode(Mode::Refuse);
            proxy.reset();
        }
    }
    let began = Instant::now();
    configure(&store, 2, &[OTHER_KEY]);
    for node in &nodes {
        wait_in_force(node, 2);
        assert_eq!(status(node, "/closed/x", KEY), 401);
        assert_eq!(status(node, "/closed/x", OTHER_KEY), 200);
    }
    assert!(began.elapsed() < CONFIG_APPLY, "{:?}", began.elapsed());
}

/// The operator's mistake must not refuse the requests of other tenants.
#[test]
fn a_tenant_whose_name_is_no_header_value_is_left_out_and_logged() {
    let replica = replica();
    let store = StoreStandin::start().unwrap();
    let mut tenants = tenants_configuration(1);
    tenants.tenants.as_mut().unwrap().push(tenant("li\nne"));
    let keys = [("acme", KEY), ("li\nne", OTHER_KEY)];
    store.configure_with_keys(&tenants, &keys);
    store.register(&replica.registration("north"));
    let node = Node::start(&store);
    node.wait_ready();
    let line = node.logged(|line| line["event"] == "malformed");
    assert_eq!(line["reason"], "tenant 3: its name is not a header value");
    assert_eq!(status(&node, "/closed/x", KEY), 200);
    assert_eq!(status(&node, "/closed/x", OTHER_KEY), 401);
}
