use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::runtime;
use tokio::task;
use tokio::task::LocalSet;

use wigeonhall_adapter::DecodeError;
use wigeonhall_adapter::read_settings;

use crate::event::Event;
use crate::event_log::EventLog;
use crate::feed_client;
use crate::front;
use crate::lifecycle;
use crate::metrics::Metrics;
use crate::node_state::NodeState;
use crate::peer_registry;
use crate::probed_listener::ProbedListener;
use crate::readiness;
use crate::relay_server;
use crate::store_sentinel;
use crate::store_watch;
use crate::supervisor;
use crate::views;
use crate::views::Views;

/// What the command line says of a node.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryOptions {
    /// Port for metrics on the address for callers; none without it.
    pub metrics_port: Option<u16>,
}

/// Why the entry tier could not start.
#[derive(Debug)]
pub enum EntryError {
    /// An address could not be listened on.
    Listen(SocketAddr, io::Error),
    /// The metrics could not be set up.
    Metrics(prometheus::Error),
    /// The settings are missing or malformed.
    Settings(DecodeError),
    /// The operating system refused something else.
    System(io::Error),
}

impl Error for EntryError {}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Self::Metrics(error) => write!(f, "cannot set up metrics: {error}"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::System(error) => write!(f, "{error}"),
        }
    }
}

/// Reads the settings that the platform provides, and starts nothing.
///
/// # Errors
///
/// When they are missing or malformed.
pub fn check_settings() -> Result<(), EntryError> {
    read_settings().map(drop).map_err(EntryError::Settings)
}

/// Runs a node of the entry tier until it is told to stop.
///
/// # Errors
///
/// When the settings are malformed or an address is taken.
pub fn run(options: EntryOptions) -> Result<(), EntryError> {
    let settings = read_settings().map_err(EntryError::Settings)?;
    let events = EventLog::start(settings.node_name.clone()).map_err(EntryError::System)?;
    let metrics = Metrics::new().map_err(EntryError::Metrics)?;
    let shared = Rc::new(NodeState::new(settings, events, metrics));
    let parked = shared.loop_times.clone();
    let resumed = shared.loop_times.clone();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(move || parked.parked())
        .on_thread_unpark(move || resumed.resumed())
        .build()
        .map_err(EntryError::System)?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, serve(&shared, options));
    drop(local);
    drop(runtime);
    if let Ok(shared) = Rc::try_unwrap(shared) {
        shared.events.finish();
    }
    result
}

async fn serve(shared: &Rc<NodeState>, options: EntryOptions) -> Result<(), EntryError> {
    let settings = &shared.settings;
    let callers = listen(settings.caller_address).await?;
    let platform = listen(settings.readiness_address).await?;
    let nodes = listen(settings.internal_address).await?;
    let internal_address = nodes.local_addr().map_err(EntryError::System)?;
    let probed = |listener| ProbedListener::new(listener, shared.loop_times.clone());
    shared.peers.borrow_mut().set_own_address(internal_address);
    let mut metrics_address = None;
    if let Some(port) = options.metrics_port {
        let address = SocketAddr::new(settings.caller_address.ip(), port);
        let listener = listen(address).await?;
        metrics_address = listener.local_addr().ok();
        task::spawn_local(readiness::serve(shared.clone(), probed(listener)));
    }
    shared.log(&Event::Start {
        caller_address: callers.local_addr().map_err(EntryError::System)?,
        data_centre: &settings.data_centre,
        metrics_address,
        readiness_address: platform.local_addr().map_err(EntryError::System)?,
        version: env!("CARGO_PKG_VERSION"),
    });
    task::spawn_local(front::serve(shared.clone(), probed(callers)));
    task::spawn_local(readiness::serve(shared.clone(), probed(platform)));
    let views = views::new(shared);
    supervise(shared, &views);
    task::spawn_local(relay_server::serve(shared.clone(), views, probed(nodes)));
    lifecycle::until_stopped(shared)
        .await
        .map_err(EntryError::System)
}

/// Starts the tasks that learn from the store and from other nodes.
fn supervise(shared: &Rc<NodeState>, views: &Views) {
    for view in views.iter() {
        let view = view.clone();
        supervisor::spawn("store_watch", move || store_watch::follow(view.clone()));
    }
    let (state, views) = (shared.clone(), views.clone());
    supervisor::spawn("feed_client", move || {
        feed_client::run(state.clone(), views.clone())
    });
    let state = shared.clone();
    supervisor::spawn("peer_registry", move || peer_registry::run(state.clone()));
    let state = shared.clone();
    supervisor::spawn("store_sentinel", move || store_sentinel::run(state.clone()));
}

async fn listen(address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| EntryError::Listen(address, error))
}
