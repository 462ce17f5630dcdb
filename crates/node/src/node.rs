//! Starts and stops a node: its listeners, the engine thread, which makes all decisions, and the
//! network threads.

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
use crate::engine::StopStage;
use crate::front_server::NodeHttpServer;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::readiness::Readiness;
use crate::store::Store;
use wigeonhall_burn::BurnRecorder;
use wigeonhall_fleet::Fleet;
use wigeonhall_fleet::FleetSettings;
use wigeonhall_gate::Gate;
use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::VmListClient;
use wigeonhall_protocol::DecisionTrace;
use wigeonhall_query::Coordinator;
use wigeonhall_query::CoordinatorConfig;
use wigeonhall_settings::IncrementalReader;
use wigeonhall_settings::MAX_TEXT_BYTES;
use wigeonhall_settings::NodeSettings;
use wigeonhall_target::TargetPool;
use wigeonhall_types::Deployment;
use wigeonhall_types::NameCatalog;

/// Threads for network calls. Entry VMs have few processors.
const NETWORK_THREADS: usize = 2;

/// Timeout for the end of the network tasks at a stop. They listen on the address for nodes
/// until they end, so a restart on that address fails if the stop does not wait for them.
const RUNTIME_STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for sending the last replies to other nodes after the end of the engine thread. The
/// replies are small and use open connections.
const REPLY_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Number of recorded decisions on requests, listed by `GET /explain`; each takes about 1 kB at
/// most.
const TRACED_REQUEST_DECISIONS: usize = 4_096;

/// Number of recorded decisions on replicas, listed by `GET /explain`.
const TRACED_REPLICA_DECISIONS: usize = 1_024;

/// A running node.
#[derive(Debug)]
pub struct Node {
    address: SocketAddr,
    /// Engine thread; returns the receiver of the events that it no longer handles.
    engine_thread: Option<JoinHandle<Receiver<Event>>>,
    events: Sender<Event>,
    http_server: Option<NodeHttpServer>,
    runtime: Option<Runtime>,
}

impl Node {
    /// Starts a node. It serves callers once it has read the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub fn start(settings: &NodeSettings) -> Result<Self, NodeError> {
        let runtime = Builder::new_multi_thread()
            .enable_all()
            .worker_threads(NETWORK_THREADS)
            .build()
            .map_err(NodeError::Runtime)?;
        let (events, event_receiver) = flume::unbounded();
        listen_for_nodes(&runtime, settings.node_address, &events)?;
        let metrics = Arc::new(Metrics::new().map_err(NodeError::Metrics)?);
        let readiness = Arc::new(Readiness::not_ready("configuration_unknown"));
        let engine = build_engine(settings, &runtime, &events, &metrics, &readiness);
        let engine_thread = thread::spawn(move || {
            engine.run(&event_receiver);
            event_receiver
        });
        let address = settings.caller_address;
        let http_server = NodeHttpServer::start(address, events.clone(), metrics, readiness)
            .map_err(|cause| NodeError::BindCallers { address, cause })?;
        Ok(Self {
            address,
            engine_thread: Some(engine_thread),
            events,
            http_server: Some(http_server),
            runtime: Some(runtime),
        })
    }

    /// Returns the address for callers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts a planned stop, which completes open requests; `join` waits for its end.
    pub fn request_stop(&self) {
        let _ = self.events.send(Event::Stop);
    }

    /// Waits for the end of a planned stop.
    pub fn join(mut self) {
        if let Some(engine_thread) = self.engine_thread.take()
            && let Ok(event_receiver) = engine_thread.join()
        {
            // The HTTP server refuses a request that arrives after the end of the engine
            // thread when its event is dropped.
            thread::spawn(move || event_receiver.iter().for_each(drop));
        }
        if let Some(http_server) = self.http_server.take() {
            http_server.stop();
        }
        thread::sleep(REPLY_FLUSH_TIME);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(RUNTIME_STOP_TIMEOUT);
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

fn build_engine(
    settings: &NodeSettings,
    runtime: &Runtime,
    events: &Sender<Event>,
    metrics: &Arc<Metrics>,
    readiness: &Arc<Readiness>,
) -> Engine {
    let clock = Clock::start();
    let boot = fastrand::u64(1..);
    // The catalog assigns a key to each name when the name is first looked up.
    let mut catalog = NameCatalog::default();
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
    let vm_list = VmListClient::new(settings.vm_list_address, settings.timeouts.vm_list_ms);
    let fleet = FleetSettings {
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
        reported_broken_connections: HashMap::new(),
        burn: BurnRecorder::new(clock.now_us()),
        catalog,
        clock,
        config: None,
        coordinator: Coordinator::new(coordinator, fastrand::u64(..)),
        data_centre: Arc::clone(&settings.data_centre),
        deployment: Arc::new(Deployment::default()),
        events: events.clone(),
        last_store_clean_up_us: None,
        fleet: Fleet::new(fleet, fastrand::u64(..)),
        gate: Gate::new(),
        metrics: Arc::clone(metrics),
        name: Arc::clone(&settings.name),
        // Query ids start at the current time, so that a restarted process does not repeat them.
        next_query_id: unix_ms(),
        node,
        open_requests: HashMap::new(),
        peers,
        pending_inputs: VecDeque::new(),
        metrics_updated_us: 0,
        readiness: Arc::clone(readiness),
        stage: StopStage::Serving,
        refusal_start_us: None,
        replica_states: HashMap::new(),
        sent_sub_requests: HashMap::new(),
        shutdown_ms: timeouts.shutdown_ms,
        stop_deadline_us: u64::MAX,
        store: Store::start(
            &api,
            vm_list,
            timeouts.object_api_watch_ms,
            clock,
            events,
            metrics,
        ),
        result_receivers: HashMap::new(),
        targets: TargetPool::new(handle)
            .with_timeouts_ms(timeouts.target_connect_ms, timeouts.target_probe_ms),
        text_reader: IncrementalReader::new(MAX_TEXT_BYTES),
        trace: DecisionTrace::new(TRACED_REQUEST_DECISIONS, TRACED_REPLICA_DECISIONS),
    }
}
