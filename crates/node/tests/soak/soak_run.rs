//! Deployment under test, its callers, and the checks at the end of a run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use fastrand::Rng;

use wigeonhall_adapter::Collection;
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
use crate::deployment::gather;
use crate::deployment::route;
use crate::deployment::wait_until;
use crate::faults;
use crate::identity;
use crate::identity::Identity;
use crate::oracle;
use crate::oracle::CallerResult;
use crate::oracle::MIN_PARTS;
use crate::oracle::SHARDS;

const CALLERS: usize = 4;

const NODES: usize = 5;

/// Number of replicas of the service whose requests run at most once.
const AT_MOST_ONCE_REPLICAS: usize = 3;

/// Observations of the callers during fault injection.
#[derive(Default)]
struct Observations {
    results: BTreeMap<String, CallerResult>,
    violations: Vec<String>,
}

/// Nodes, store, replicas, and the proxies through which nodes reach the store and replicas.
pub struct Deployment {
    nodes: Vec<Option<Node>>,
    at_most_once_replicas: Vec<ReplicaStandin>,
    registrations: Vec<Registration>,
    pub replica_proxies: Vec<crate::proxy::Proxy>,
    shards: Vec<ReplicaStandin>,
    pub store: StoreStandin,
    pub store_proxies: Vec<crate::proxy::Proxy>,
    version: u64,
}

/// Run of one seed.
pub struct SoakRun {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    deployment: Deployment,
    rng: Rng,
    /// Draws the restorations of the store, so that the other faults of a seed stay as they are.
    restoration_rng: Rng,
    observations: Arc<Mutex<Observations>>,
}

/// Returns the routes of the gather and of the service whose requests run at most once.
fn routes() -> Vec<RouteSpec> {
    let names: Vec<String> = (0..SHARDS).map(oracle::shard_name).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let shards = gather(&names, MIN_PARTS as f64 / SHARDS as f64);
    let mut all = route("all", "/all/", RouteKind::Idempotent, shards);
    all.target_latency_ms = 400;
    all.timeout_ms = 2_000;
    let mut one = route(
        "one",
        identity::ANONYMOUS_PREFIX,
        RouteKind::AtMostOnce,
        TargetSpec::Service("one".into()),
    );
    one.allows_anonymous = true;
    one.timeout_ms = 2_000;
    vec![all, one]
}

fn configure(store: &StoreStandin, version: u64, routes: Vec<RouteSpec>) {
    store.configure_with_keys(&identity::with_tenants(version, routes), &identity::KEYS);
}

impl Deployment {
    fn start() -> Self {
        let store = StoreStandin::start().unwrap();
        configure(&store, 1, routes());
        let mut shards = Vec::new();
        for index in 0..SHARDS {
            for number in 1..=2 {
                shards.push(start_shard(&oracle::shard_name(index), number));
            }
        }
        let at_most_once_replicas: Vec<ReplicaStandin> = (1..=AT_MOST_ONCE_REPLICAS)
            .map(start_at_most_once_replica)
            .collect();
        let mut registrations = Vec::new();
        let mut replica_proxies = Vec::new();
        for replica in shards.iter().chain(&at_most_once_replicas) {
            let mut registration = replica.registration("north");
            let proxy = crate::proxy::Proxy::start(registration.address);
            registration.address = proxy.address();
            store.register(&registration);
            registrations.push(registration);
            replica_proxies.push(proxy);
        }
        let proxy = |_| crate::proxy::Proxy::start(store.address());
        let store_proxies: Vec<crate::proxy::Proxy> = (0..NODES).map(proxy).collect();
        store.keep_copy();
        let mut deployment = Self {
            nodes: (0..NODES).map(|_| None).collect(),
            at_most_once_replicas,
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

    /// Sends a signal that ends a random node, and starts its successor at once.
    pub fn restart_node(&mut self, rng: &mut Rng, signal: &str) {
        let index = rng.usize(..NODES);
        if let Some(node) = self.nodes[index].take() {
            node.signal(signal);
            // After SIGTERM the old process may still run beside its successor.
            thread::spawn(move || node.end());
        }
        self.start_node(index);
    }

    /// Sends a signal to a random node.
    pub fn signal_node(&self, rng: &mut Rng, signal: &str) {
        self.signal_and_return_id(rng, signal);
    }

    /// Sends a signal to a random node and returns its process id.
    pub fn signal_and_return_id(&self, rng: &mut Rng, signal: &str) -> Option<u32> {
        let node = self.nodes[rng.usize(..NODES)].as_ref()?;
        node.signal(signal);
        Some(node.id())
    }

    /// Stores the next version of the configuration, which may skip version numbers.
    pub fn store_next_version(&mut self) {
        self.version += 1 + self.version % 3;
        configure(&self.store, self.version, routes());
    }

    /// Restores the store from its copy; the operator and the replicas repeat their writes, but
    /// `lost_writes` of another writer are lost.
    pub fn restore_store(&self, lost_writes: usize) {
        for _ in 0..lost_writes {
            let spec = serde_json::json!({});
            self.store.put(Collection::Nodes, "other", &spec);
        }
        self.store.set_down(true);
        self.store.restore_copy();
        self.store.set_down(false);
        configure(&self.store, self.version, routes());
        for registration in &self.registrations {
            self.store.register(registration);
        }
    }

    /// Sets the registration state of a random replica. Of the two replicas of a shard only the
    /// first changes, so that each shard keeps a ready replica.
    pub fn set_replica_state(&mut self, rng: &mut Rng, state: RegistrationState) {
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

/// Starts a replica of a shard that answers with the records that the oracle expects.
fn start_shard(service: &str, number: usize) -> ReplicaStandin {
    let name = service.to_owned();
    let decide = move |run: &wigeonhall_adapter_standins::HttpMessage| {
        let id = run
            .header(wigeonhall_adapter::REQUEST_ID.as_str())
            .unwrap_or_default();
        Behaviour::answer(oracle::records_of(&name, id))
    };
    ReplicaStandin::start(service, number, decide).unwrap()
}

/// Starts a replica whose requests take up to 119 ms, so that faults occur while they run.
fn start_at_most_once_replica(number: usize) -> ReplicaStandin {
    let decide = |run: &wigeonhall_adapter_standins::HttpMessage| Behaviour::Answer {
        body: run.body.clone(),
        delay: Duration::from_millis(
            run.body.iter().map(|byte| u64::from(*byte)).sum::<u64>() % 120,
        ),
        status: 200,
    };
    ReplicaStandin::start("one", number, decide).unwrap()
}

impl SoakRun {
    pub fn start(seed: u64) -> Self {
        let deployment = Deployment::start();
        let addresses = Arc::new(Mutex::new(deployment.addresses()));
        Self {
            addresses,
            deployment,
            rng: Rng::with_seed(seed),
            restoration_rng: Rng::with_seed(!seed),
            observations: Arc::default(),
        }
    }

    /// Runs callers during fault injection and checks that the deployment recovers. Returns the
    /// violated guarantees.
    pub fn run(mut self, fault_time: Duration) -> Vec<String> {
        let stopped = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| self.start_caller(number, &stopped))
            .collect();
        let slice = Duration::from_millis(400);
        for _ in 0..(fault_time.as_millis() / slice.as_millis()).max(1) {
            faults::inject(&mut self.deployment, &mut self.rng, slice);
            faults::restore_store(&self.deployment, &mut self.restoration_rng);
            *self.addresses.lock().unwrap() = self.deployment.addresses();
        }
        stopped.store(true, Ordering::Relaxed);
        for caller in callers {
            caller.join().unwrap();
        }
        self.wait_for_recovery();
        let runs: Vec<_> = self
            .deployment
            .at_most_once_replicas
            .iter()
            .flat_map(ReplicaStandin::runs)
            .collect();
        let mut observations = self.observations.lock().unwrap();
        let results = std::mem::take(&mut observations.results);
        observations
            .violations
            .extend(oracle::check_runs(&results, &runs));
        let shard_runs = self.deployment.shards.iter().flat_map(ReplicaStandin::runs);
        let all_runs: Vec<_> = runs.into_iter().chain(shard_runs).collect();
        observations
            .violations
            .extend(identity::check_runs(&all_runs));
        std::mem::take(&mut observations.violations)
    }

    /// Registers all replicas as ready, adds a route, resumes suspended nodes, and waits until
    /// every node is ready and serves whole answers, also on that route.
    fn wait_for_recovery(&mut self) {
        self.deployment.version += 1;
        let version = self.deployment.version;
        let mut last = routes();
        last.push(RouteSpec {
            allows_anonymous: false,
            name: "last".into(),
            path_prefix: "/last/".into(),
            ..last[0].clone()
        });
        configure(&self.deployment.store, version, last);
        for registration in &mut self.deployment.registrations {
            registration.state = RegistrationState::Ready;
            registration.sequence += 1;
            self.deployment.store.register(registration);
        }
        for node in self.deployment.nodes.iter().flatten() {
            crate::deployment::signal(node.id(), "CONT");
            node.wait_ready();
            wait_until("a whole answer after the faults", || {
                ["/all/x", "/last/x"].into_iter().all(|path| {
                    let headers = Identity::Tenant(0).headers();
                    let answer = caller::ask_with(node.callers, path, "settled-a", &headers);
                    answer.status == 200
                        && wigeonhall_adapter_standins::parts_of(&answer.message).1 == 0
                })
            });
        }
    }

    fn start_caller(&self, number: usize, stopped: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
        let addresses = self.addresses.clone();
        let stopped = stopped.clone();
        let observations = self.observations.clone();
        let mut rng = Rng::with_seed(number as u64);
        let mut identity_rng = Rng::with_seed(!(number as u64));
        thread::spawn(move || {
            let mut index = 0;
            while !stopped.load(Ordering::Relaxed) {
                let current = addresses.lock().unwrap().clone();
                let address = current[rng.usize(..current.len())];
                // The connection is used until the node closes it or its process ends.
                let Some(mut caller) = Caller::try_connect(address) else {
                    continue;
                };
                while !stopped.load(Ordering::Relaxed) {
                    index += 1;
                    let identity = Identity::draw(&mut identity_rng);
                    let id = format!("c{number}x{index}{}", identity.letter());
                    if !send_request(&mut caller, &id, identity, rng.bool(), &observations) {
                        break;
                    }
                }
            }
        })
    }
}

/// Sends one request and records its result. Returns whether the connection stays open.
fn send_request(
    caller: &mut Caller,
    id: &str,
    identity: Identity,
    is_gather: bool,
    observations: &Mutex<Observations>,
) -> bool {
    if is_gather {
        caller.try_ask("GET", "/all/x", id, "", &identity.headers());
        let Some(answer) = caller.read() else {
            return false;
        };
        let violation = oracle::check_gather(&answer, id);
        let misidentified = identity.check_status("/all/x", answer.status);
        let violations = violation.into_iter().chain(misidentified);
        observations.lock().unwrap().violations.extend(violations);
        return answer.header("connection") != Some("close");
    }
    // The id is recorded before the request is sent, because a replica may run the request before
    // the caller reads the answer.
    observations
        .lock()
        .unwrap()
        .results
        .insert(id.to_owned(), CallerResult::Unknown);
    caller.try_ask("POST", "/one/x", id, id, &identity.headers());
    let answer = caller.read();
    let result = match &answer {
        Some(answer) if answer.status == 200 => CallerResult::Answered,
        Some(answer) if matches!(answer.status, 401 | 503) => CallerResult::NotRun,
        Some(_) | None => CallerResult::Unknown,
    };
    let mut observations = observations.lock().unwrap();
    if let Some(answer) = &answer
        && answer.status == 200
        && answer.message.body != id.as_bytes()
    {
        observations
            .violations
            .push(format!("{id}: got the answer of another request"));
    }
    if let Some(answer) = &answer {
        let misidentified = identity.check_status("/one/x", answer.status);
        observations.violations.extend(misidentified);
    }
    observations.results.insert(id.to_owned(), result);
    answer.is_some_and(|answer| answer.header("connection") != Some("close"))
}
