use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use crate::Event;
use crate::NodeError;
use crate::clock::Clock;
use crate::clock::unix_ms;
use crate::engine::Engine;
use crate::engine::Stage;
use crate::front::Front;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::readiness::Readiness;
use crate::store::Store;
use wigeonhall_burn::BurnRecorder;
use wigeonhall_fleet::Fleet;
use wigeonhall_fleet::FleetConfig;
use wigeonhall_gate::Gate;
use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::VmList;
use wigeonhall_protocol::DecisionTrace;
use wigeonhall_query::Coordinator;
use wigeonhall_query::CoordinatorConfig;
use wigeonhall_settings::IncrementalReader;
use wigeonhall_settings::MAX_TEXT_BYTES;
use wigeonhall_settings::NodeSettings;
use wigeonhall_target::TargetPool;
use wigeonhall_types::Catalog;
use wigeonhall_types::Deployment;

/// Threads for network calls; the entry VMs are small.
const NETWORK_THREADS: usize = 2;

/// Longest wait for the network tasks to end. They hold the address for nodes until
/// then, so that a stop that does not wait makes a restart on that address fail.
const RUNTIME_STOP: Duration = Duration::from_secs(2);

/// Time in which the last replies to other nodes leave after the decision thread has
/// ended; they are small and on open connections.
const REPLY_LINGER: Duration = Duration::from_millis(100);

/// Decisions on requests that are kept for `explain`; each takes about 1 kB at most.
const TRACED_REQUEST_DECISIONS: usize = 4_096;

/// Decisions on replicas that are kept for `explain`.
const TRACED_REPLICA_DECISIONS: usize = 1_024;

/// A running node.
#[derive(Debug)]
pub struct Node {
    address: SocketAddr,
    /// Returns the events that nobody takes any more.
    decisions: Option<JoinHandle<Receiver<Event>>>,
    events: Sender<Event>,
    front: Option<Front>,
    runtime: Option<Runtime>,
}

impl Node {
    /// Starts a node; it serves callers once it knows the configuration.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound or a thread cannot be started.
    pub fn start(settings: &NodeSettings) -> Result<Self, NodeError> {
        let runtime = Builder::new_multi_thread()
            .enable_all()
            .worker_threads(NETWORK_THREADS)
            .build()
            .map_err(NodeError::Runtime)?;
        let (events, inbox) = flume::unbounded();
        listen_for_nodes(&runtime, settings.node_address, &events)?;
        let metrics = Arc::new(Metrics::new().map_err(NodeError::Metrics)?);
        let readiness = Arc::new(Readiness::not_ready("configuration_unknown"));
        let engine = engine(settings, &runtime, &events, &metrics, &readiness);
        let decisions = thread::spawn(move || {
            engine.run(&inbox);
            inbox
        });
        let address = settings.caller_address;
        let front = Front::start(address, events.clone(), metrics, readiness)
            .map_err(|cause| NodeError::BindCallers { address, cause })?;
        Ok(Self {
            address,
            decisions: Some(decisions),
            events,
            front: Some(front),
            runtime: Some(runtime),
        })
    }

    /// Address for callers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks the node for a planned stop; `join` waits for its end.
    pub fn request_stop(&self) {
        let _ = self.events.send(Event::Stop);
    }

    /// Waits until a planned stop has ended: no request is cut.
    pub fn join(mut self) {
        if let Some(decisions) = self.decisions.take()
            && let Ok(inbox) = decisions.join()
        {
            // A request that arrives after the end of the decision thread is refused by
            // the front as soon as its event is dropped.
            thread::spawn(move || inbox.iter().for_each(drop));
        }
        if let Some(front) = self.front.take() {
            front.stop();
        }
        thread::sleep(REPLY_LINGER);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(RUNTIME_STOP);
        }
    }
}

fn listen_for_nodes(
    runtime: &Runtime,
    address: SocketAddr,
    events: &Sender<Event>,
) -> Result<(), NodeError> {
    let listener = runtime
        .block_on(TcpListener::bind(address))
        .map_err(|cause| NodeError::BindNodes { address, cause })?;
    let (calls, incoming) = flume::unbounded();
    runtime.spawn(wigeonhall_protocol::serve(listener, calls));
    let events = events.clone();
    runtime.spawn(async move {
        while let Ok(call) = incoming.recv_async().await {
            let _ = events.send(Event::Call(call));
        }
    });
    Ok(())
}

fn engine(
    settings: &NodeSettings,
    runtime: &Runtime,
    events: &Sender<Event>,
    metrics: &Arc<Metrics>,
    readiness: &Arc<Readiness>,
) -> Engine {
    let clock = Clock::start();
    let boot = fastrand::u64(1..);
    let mut catalog = Catalog::default();
    let node = catalog.node(&settings.name);
    let data_centre = catalog.data_centre(&settings.data_centre);
    let handle = runtime.handle().clone();
    let timeouts = &settings.timeouts;
    let name = Arc::clone(&settings.name);
    let mut peers = Peers::new(name, timeouts, events.clone(), handle.clone());
    let mut seeds = Vec::new();
    for seed in &settings.seeds {
        let key = catalog.node(&seed.name);
        if key != node {
            peers.set_address(key, seed.address);
            seeds.push(key);
        }
    }
    let api = ObjectApi::new(settings.object_api_address, settings.timeouts.object_api_ms);
    let vms = VmList::new(settings.vm_list_address, settings.timeouts.vm_list_ms);
    let fleet = FleetConfig {
        boot,
        data_centre,
        node,
        region: Arc::clone(&settings.region),
        seeds,
    };
    let coordinator = CoordinatorConfig {
        boot,
        data_centre,
        node,
    };
    Engine {
        boot,
        broken_connections: HashMap::new(),
        burn: BurnRecorder::new(clock.now_us()),
        catalog,
        clock,
        config: None,
        coordinator: Coordinator::new(coordinator, fastrand::u64(..)),
        data_centre: Arc::clone(&settings.data_centre),
        deployment: Arc::new(Deployment::default()),
        events: events.clone(),
        cleaned_us: None,
        fleet: Fleet::new(fleet, fastrand::u64(..)),
        gate: Gate::new(),
        metrics: Arc::clone(metrics),
        name: Arc::clone(&settings.name),
        next_query: unix_ms(),
        node,
        open: HashMap::new(),
        peers,
        pending: VecDeque::new(),
        published_us: 0,
        readiness: Arc::clone(readiness),
        stage: Stage::Serving,
        refused_from_us: None,
        replica_states: HashMap::new(),
        sent: HashMap::new(),
        shutdown_ms: timeouts.shutdown_ms,
        stop_by_us: u64::MAX,
        store: Store::start(
            &api,
            vms,
            timeouts.object_api_watch_ms,
            clock,
            events,
            metrics,
        ),
        submitted: HashMap::new(),
        targets: TargetPool::new(handle)
            .with_timeouts_ms(timeouts.target_connect_ms, timeouts.target_probe_ms),
        text_reader: IncrementalReader::new(MAX_TEXT_BYTES),
        trace: DecisionTrace::new(TRACED_REQUEST_DECISIONS, TRACED_REPLICA_DECISIONS),
    }
}
