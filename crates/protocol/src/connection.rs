use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tarpc::client;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::Mutex;

use crate::NodeServiceClient;
use crate::ProtocolError;

/// Time after a failed connect during which calls fail at once.
const RECONNECT_PAUSE_MS: u64 = 200;

/// Largest frame, in bytes; a configuration text is up to one megabyte.
pub(crate) const MAX_FRAME_BYTES: usize = 8 << 20;

/// A connection to another node, opened on demand and again after it broke.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    connect_timeout: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    client: Option<Arc<NodeServiceClient>>,
    failed_at: Option<Instant>,
}

impl Connection {
    /// A connection to `address` that is not open yet; opening it takes at most
    /// `connect_timeout_ms`.
    #[must_use]
    pub fn new(address: SocketAddr, connect_timeout_ms: u64) -> Self {
        Self {
            address,
            connect_timeout: Duration::from_millis(connect_timeout_ms),
            state: Mutex::default(),
        }
    }

    /// Address of the other node.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The client of an open connection.
    ///
    /// # Errors
    ///
    /// [`ProtocolError::Unreachable`] if the node does not accept a connection,
    /// or did not a moment ago.
    pub async fn client(&self) -> Result<Arc<NodeServiceClient>, ProtocolError> {
        let mut state = self.state.lock().await;
        if let Some(client) = &state.client {
            return Ok(Arc::clone(client));
        }
        let pause = Duration::from_millis(RECONNECT_PAUSE_MS);
        if state.failed_at.is_some_and(|at| at.elapsed() < pause) {
            return Err(ProtocolError::Unreachable);
        }
        match connect(self.address, self.connect_timeout).await {
            Ok(client) => {
                let client = Arc::new(client);
                state.client = Some(Arc::clone(&client));
                state.failed_at = None;
                Ok(client)
            }
            Err(error) => {
                state.failed_at = Some(Instant::now());
                Err(error)
            }
        }
    }

    /// Drops a broken client, so that the next call opens a new connection.
    pub async fn discard(&self, broken: &Arc<NodeServiceClient>) {
        let mut state = self.state.lock().await;
        if state
            .client
            .as_ref()
            .is_some_and(|held| Arc::ptr_eq(held, broken))
        {
            state.client = None;
        }
    }
}

async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<NodeServiceClient, ProtocolError> {
    let mut connect = tcp::connect(address, Bincode::default);
    connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let transport = tokio::time::timeout(timeout, connect)
        .await
        .map_err(|_| ProtocolError::Unreachable)?
        .map_err(|_| ProtocolError::Unreachable)?;
    // Sub-requests are small and latency counts; without this option the kernel
    // holds a small frame back until the one before is acknowledged.
    let _ = transport.get_ref().set_nodelay(true);
    Ok(NodeServiceClient::new(client::Config::default(), transport).spawn())
}
