use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http_message::Response;
use crate::http_server::ConnectionPolicy;
use crate::http_server::HttpServer;
use crate::http_server::lock;
use wigeonhall_types::VmStatus;

struct State {
    /// VM lists with the times at which they were set, oldest first; never empty. Readers see
    /// the newest one that is at least `lag` old, or the first one.
    history: Vec<(Instant, Vec<VmStatus>)>,
    lag: Duration,
    reads: u64,
}

/// Stand-in for the platform's VM list, which shows changes after a lag; stops when
/// dropped.
pub struct VmListServer {
    server: HttpServer,
    state: Arc<Mutex<State>>,
}

impl std::fmt::Debug for VmListServer {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("VmListServer")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

impl VmListServer {
    /// Starts a server at `address` that shows each change of the list after `lag_ms`;
    /// port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(address: SocketAddr, lag_ms: u64, vms: Vec<VmStatus>) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            history: vec![(Instant::now(), vms)],
            lag: Duration::from_millis(lag_ms),
            reads: 0,
        }));
        let server = HttpServer::start(address, ConnectionPolicy::default(), {
            let state = Arc::clone(&state);
            move |_| {
                let mut state = lock(&state);
                state.reads += 1;
                let body =
                    serde_json::to_string(&BTreeMap::from([("vms", visible_vms(&mut state))]));
                Response::Send {
                    body: body.unwrap_or_default(),
                    status: 200,
                }
            }
        })?;
        Ok(Self { server, state })
    }

    /// Returns the address of the server.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of reads so far.
    #[must_use]
    pub fn reads(&self) -> u64 {
        lock(&self.state).reads
    }

    /// Starts or ends an outage, during which new connections are closed without reading
    /// from them.
    pub fn set_down(&self, down: bool) {
        self.server.set_refusing(down);
    }

    /// Sets the lag after which readers see a change.
    pub fn set_lag_ms(&self, lag_ms: u64) {
        lock(&self.state).lag = Duration::from_millis(lag_ms);
    }

    /// Replaces the list; readers see the new one after the lag.
    pub fn set_vms(&self, vms: Vec<VmStatus>) {
        lock(&self.state).history.push((Instant::now(), vms));
    }
}

fn visible_vms(state: &mut State) -> &[VmStatus] {
    while state.history.len() > 1 && state.history[1].0.elapsed() >= state.lag {
        state.history.remove(0);
    }
    &state.history[0].1
}
