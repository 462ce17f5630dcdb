use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::runtime;
use tokio::task;
use tokio::task::LocalSet;

use wigeonhall_adapter::DecodeError;
use wigeonhall_adapter::read_settings;

use crate::callers::caller_server;
use crate::callers::probed_listener::ProbedListener;
use crate::net::listener;
use crate::peers::crash_reports;
use crate::peers::feed_client;
use crate::peers::quota_exchange;
use crate::peers::relay_server;
use crate::peers::rollout_reports;
use crate::process::event::Event;
use crate::process::event_log::EventLog;
use crate::process::lifecycle;
use crate::process::loop_times;
use crate::process::metrics::Metrics;
use crate::process::node_state::NodeState;
use crate::process::readiness;
use crate::process::supervisor;
use crate::store::collection_views;
use crate::store::collection_views::CollectionViews;
use crate::store::left_out_entries;
use crate::store::peer_registry;
use crate::store::store_health;
use crate::store::store_watch;

/// Command line options of a node.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryOptions {
    /// Port that serves metrics on the callers' IP address; `None` opens no such port.
    pub metrics_port: Option<u16>,
}

/// Error that prevents a node of the entry tier from starting.
#[derive(Debug)]
pub enum EntryError {
    /// A listener could not be opened on the address.
    Listen(SocketAddr, io::Error),
    /// The metrics could not be set up.
    Metrics(prometheus::Error),
    /// The settings are missing or malformed.
    Settings(DecodeError),
    /// Another call to the operating system failed.
    System(io::Error),
}

impl Error for EntryError {}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Self::Metrics(error) => write!(f, "cannot set up metrics: {error}"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::System(error) => write!(f, "operating system call failed: {error}"),
        }
    }
}

/// Validates the settings file that the platform gives to the process, without starting a node.
///
/// # Errors
///
/// When the settings are missing or malformed.
pub fn check_settings() -> Result<(), EntryError> {
    read_settings().map(drop).map_err(EntryError::Settings)
}

/// Runs a node of the entry tier until it receives a signal to stop.
///
/// # Errors
///
/// When the settings are malformed, a listener cannot be opened or a system call fails.
pub fn run(options: EntryOptions) -> Result<(), EntryError> {
    let settings = read_settings().map_err(EntryError::Settings)?;
    let events = EventLog::start(settings.node_name.clone()).map_err(EntryError::System)?;
    let metrics = Metrics::new().map_err(EntryError::Metrics)?;
    let shared = Rc::new(NodeState::new(settings, events, metrics));
    // The times of polls bound the arrival times of requests, from which deadlines count.
    let poll_began = shared.loop_times.clone();
    let poll_ended = shared.loop_times.clone();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(move || poll_began.mark_poll_began())
        .on_thread_unpark(move || poll_ended.mark_poll_ended())
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
    let callers = listener::for_callers(settings.caller_address)?;
    let platform = listener::with_defaults(settings.readiness_address).await?;
    let nodes = listener::with_defaults(settings.internal_address).await?;
    let internal_address = nodes.local_addr().map_err(EntryError::System)?;
    let probed = |listener| ProbedListener::new(listener, shared.loop_times.clone());
    shared.peers.borrow_mut().set_own_address(internal_address);
    let mut metrics_address = None;
    if let Some(port) = options.metrics_port {
        let address = SocketAddr::new(settings.caller_address.ip(), port);
        let listener = listener::with_defaults(address).await?;
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
    task::spawn_local(caller_server::serve(shared.clone(), probed(callers)));
    task::spawn_local(readiness::serve(shared.clone(), probed(platform)));
    task::spawn_local(loop_times::mark_polls(shared.loop_times.clone()));
    let views = collection_views::new(shared);
    start_supervised_tasks(shared, &views);
    task::spawn_local(relay_server::serve(shared.clone(), views, probed(nodes)));
    lifecycle::run_until_stopped(shared)
        .await
        .map_err(EntryError::System)
}

/// Starts the supervised tasks that read the store and follow peers.
fn start_supervised_tasks(shared: &Rc<NodeState>, views: &CollectionViews) {
    for view in views.iter() {
        let view = view.clone();
        let left_out_view = view.clone();
        supervisor::spawn("store_watch", move || store_watch::run(view.clone()));
        supervisor::spawn("left_out_entries", move || {
            left_out_entries::run(left_out_view.clone())
        });
    }
    let (state, views) = (shared.clone(), views.clone());
    supervisor::spawn("feed_client", move || {
        feed_client::run(state.clone(), views.clone())
    });
    let state = shared.clone();
    supervisor::spawn("crash_reports", move || crash_reports::run(state.clone()));
    let state = shared.clone();
    supervisor::spawn("rollout_reports", move || {
        rollout_reports::run(state.clone())
    });
    let state = shared.clone();
    supervisor::spawn("peer_registry", move || peer_registry::run(state.clone()));
    let state = shared.clone();
    supervisor::spawn("quota_exchange", move || quota_exchange::run(state.clone()));
    let state = shared.clone();
    supervisor::spawn("store_sentinel", move || store_health::run(state.clone()));
}
