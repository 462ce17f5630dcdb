//! The deployment under test, its callers, and the end of a run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use fastrand::Rng;

use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_dispatch::Registration;
use wigeonhall_dispatch::RegistrationState;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::TargetSpec;

use crate::caller;
use crate::caller::Caller;
use crate::deployment::Node;
use crate::deployment::configuration;
use crate::deployment::gather;
use crate::deployment::route;
use crate::deployment::wait_until;
use crate::faults;
use crate::oracle;
use crate::oracle::MIN_PARTS;
use crate::oracle::SHARDS;
use crate::oracle::Told;

const CALLERS: usize = 4;

const NODES: usize = 5;

/// Replicas of the service whose requests run at most once.
const ONES: usize = 3;

/// What is seen while the faults go on.
#[derive(Default)]
struct Seen {
    told: BTreeMap<String, Told>,
    violations: Vec<String>,
}

/// Nodes, store, replicas and the proxies between them.
pub struct Deployment {
    nodes: Vec<Option<Node>>,
    ones: Vec<ReplicaStandin>,
    registrations: Vec<Registration>,
    pub replica_proxies: Vec<crate::proxy::Proxy>,
    shards: Vec<ReplicaStandin>,
    pub store: StoreStandin,
    pub store_proxies: Vec<crate::proxy::Proxy>,
    version: u64,
}

/// One run of a seed.
pub struct World {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    deployment: Deployment,
    rng: Rng,
    seen: Arc<Mutex<Seen>>,
}

fn routes() -> Vec<RouteSpec> {
    let names: Vec<String> = (0..SHARDS).map(oracle::shard_name).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let shards = gather(&names, MIN_PARTS as f64 / SHARDS as f64);
    let mut all = route("all", "/all/", RouteKind::Idempotent, shards);
    all.target_latency_ms = 400;
    all.timeout_ms = 2_000;
    let mut one = route(
        "one",
        "/one/",
        RouteKind::AtMostOnce,
        TargetSpec::Service("one".into()),
    );
    one.timeout_ms = 2_000;
    vec![all, one]
}

impl Deployment {
    fn start() -> Self {
        let store = StoreStandin::start().unwrap();
        store.configure(&configuration(1, routes()));
        let mut shards = Vec::new();
        for index in 0..SHARDS {
            for number in 1..=2 {
                shards.push(shard(&oracle::shard_name(index), number));
            }
        }
        let ones: Vec<ReplicaStandin> = (1..=ONES).map(one).collect();
        let mut registrations = Vec::new();
        let mut replica_proxies = Vec::new();
        for replica in shards.iter().chain(&ones) {
            let mut registration = replica.registration("north");
            let proxy = crate::proxy::Proxy::start(registration.address);
            registration.address = proxy.address();
            store.register(&registration);
            registrations.push(registration);
            replica_proxies.push(proxy);
        }
        let proxy = |_| crate::proxy::Proxy::start(store.address());
        let store_proxies: Vec<crate::proxy::Proxy> = (0..NODES).map(proxy).collect();
        let mut deployment = Self {
            nodes: (0..NODES).map(|_| None).collect(),
            ones,
            registrations,
            replica_proxies,
            shards,
            store,
            store_proxies,
            version: 1,
        };
        for index in 0..NODES {
            deployment.start_node(index);
        }
        deployment
    }

    fn start_node(&mut self, index: usize) {
        let name = format!("node-{index}");
        let node = Node::start_at(self.store_proxies[index].address(), &name);
        self.nodes[index] = Some(node);
    }

    /// Stops a node by a signal and starts it again; others go on meanwhile.
    pub fn stop_node(&mut self, rng: &mut Rng, signal: &str) {
        let index = rng.usize(..NODES);
        if let Some(node) = self.nodes[index].take() {
            node.signal(signal);
            // A node that was told to stop keeps running beside its successor.
            thread::spawn(move || node.end());
        }
        self.start_node(index);
    }

    pub fn signal_node(&self, rng: &mut Rng, signal: &str) {
        self.signal_some_node(rng, signal);
    }

    pub fn signal_some_node(&self, rng: &mut Rng, signal: &str) -> Option<u32> {
        let node = self.nodes[rng.usize(..NODES)].as_ref()?;
        node.signal(signal);
        Some(node.id())
    }

    pub fn next_version(&mut self) {
        self.version += 1 + self.version % 3;
        self.store.configure(&configuration(self.version, routes()));
    }

    /// Has a replica drain, or be back; the last of each service stays.
    pub fn move_replica(&mut self, rng: &mut Rng, state: RegistrationState) {
        let index = rng.usize(..self.registrations.len());
        let registration = &mut self.registrations[index];
        if index.is_multiple_of(2) || index >= SHARDS * 2 {
            registration.state = state;
            registration.sequence += 1;
            self.store.register(registration);
        }
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .flatten()
            .map(|node| node.callers)
            .collect()
    }
}

fn shard(service: &str, number: usize) -> ReplicaStandin {
    let name = service.to_owned();
    let decide = move |run: &wigeonhall_adapter_standins::HttpRequest| {
        let id = run
            .header(wigeonhall_adapter::REQUEST_ID.as_str())
            .unwrap_or_default();
        Behaviour::answer(oracle::records_of(&name, id))
    };
    ReplicaStandin::start(service, number, decide).unwrap()
}

/// A replica whose requests take a while, so that faults meet them at work.
fn one(number: usize) -> ReplicaStandin {
    let decide = |run: &wigeonhall_adapter_standins::HttpRequest| Behaviour::Answer {
        body: run.body.clone(),
        delay: Duration::from_millis(
            run.body.iter().map(|byte| u64::from(*byte)).sum::<u64>() % 120,
        ),
        status: 200,
    };
    ReplicaStandin::start("one", number, decide).unwrap()
}

impl World {
    pub fn start(seed: u64) -> Self {
        let deployment = Deployment::start();
        let addresses = Arc::new(Mutex::new(deployment.addresses()));
        Self {
            addresses,
            deployment,
            rng: Rng::with_seed(seed),
            seen: Arc::default(),
        }
    }

    /// Runs callers under faults, then demands that all is well again; returns what broke.
    pub fn run(mut self, length: Duration) -> Vec<String> {
        let ended = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| self.caller(number, &ended))
            .collect();
        let slice = Duration::from_millis(400);
        for _ in 0..(length.as_millis() / slice.as_millis()).max(1) {
            faults::inject(&mut self.deployment, &mut self.rng, slice);
            *self.addresses.lock().unwrap() = self.deployment.addresses();
        }
        ended.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.join().unwrap();
        }
        self.settle();
        let runs: Vec<_> = self
            .deployment
            .ones
            .iter()
            .flat_map(ReplicaStandin::runs)
            .collect();
        let mut seen = self.seen.lock().unwrap();
        let told = std::mem::take(&mut seen.told);
        seen.violations.extend(oracle::check_runs(&told, &runs));
        std::mem::take(&mut seen.violations)
    }

    /// After the last fault every node is ready again and serves whole answers.
    fn settle(&mut self) {
        for registration in &mut self.deployment.registrations {
            registration.state = RegistrationState::Ready;
            registration.sequence += 1;
            self.deployment.store.register(registration);
        }
        for node in self.deployment.nodes.iter().flatten() {
            crate::deployment::signal(node.id(), "CONT");
            node.wait_ready();
            wait_until("a whole answer after the faults", || {
                let answer = caller::ask(node.callers, "GET", "/all/x", "settled", "");
                answer.status == 200
                    && wigeonhall_adapter_standins::parts_of(&answer.message).1 == 0
            });
        }
    }

    fn caller(&self, number: usize, ended: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
        let addresses = self.addresses.clone();
        let ended = ended.clone();
        let seen = self.seen.clone();
        let mut rng = Rng::with_seed(number as u64);
        thread::spawn(move || {
            let mut index = 0;
            while !ended.load(Ordering::Relaxed) {
                let known = addresses.lock().unwrap().clone();
                let address = known[rng.usize(..known.len())];
                // The connection is used until the process at its end is gone.
                let Some(mut caller) = Caller::try_connect(address) else {
                    continue;
                };
                while !ended.load(Ordering::Relaxed) {
                    index += 1;
                    let id = format!("c{number}x{index}");
                    if !one_request(&mut caller, &id, rng.bool(), &seen) {
                        break;
                    }
                }
            }
        })
    }
}

/// Sends one request; returns whether the connection goes on.
fn one_request(caller: &mut Caller, id: &str, gather: bool, seen: &Mutex<Seen>) -> bool {
    if gather {
        caller.try_ask("GET", "/all/x", id, "");
        let Some(answer) = caller.read() else {
            return false;
        };
        let violation = oracle::check_gather(&answer, id);
        seen.lock().unwrap().violations.extend(violation);
        return answer.header("connection") != Some("close");
    }
    // A run may be seen before its answer is, so the id is known first.
    seen.lock()
        .unwrap()
        .told
        .insert(id.to_owned(), Told::Unknown);
    caller.try_ask("POST", "/one/x", id, id);
    let answer = caller.read();
    let told = match &answer {
        Some(answer) if answer.status == 200 => Told::Answered,
        Some(answer) if answer.status == 503 => Told::NotRun,
        Some(_) | None => Told::Unknown,
    };
    let mut seen = seen.lock().unwrap();
    if let Some(answer) = &answer
        && answer.status == 200
        && answer.message.body != id.as_bytes()
    {
        seen.violations
            .push(format!("{id}: the answer of another request"));
    }
    seen.told.insert(id.to_owned(), told);
    answer.is_some_and(|answer| answer.header("connection") != Some("close"))
}
