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

/// Time after a failed connection attempt during which calls fail immediately.
const RECONNECT_BACKOFF_MS: u64 = 200;

/// Largest frame, in bytes. The largest messages are replies with rows; the text of a deployment,
/// which is up to one megabyte long, is sent in parts.
pub(crate) const MAX_FRAME_BYTES: usize = 8 << 20;

/// A connection to another node, opened on demand and reopened after it breaks.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    connect_timeout: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    client: Option<Arc<NodeServiceClient>>,
    /// Time of the last failed connection attempt; `None` if the last one succeeded.
    failed_at: Option<Instant>,
}

impl Connection {
    /// Creates a connection to `address` without opening it. Opening it takes at most
    /// `connect_timeout_ms`.
    #[must_use]
    pub fn new(address: SocketAddr, connect_timeout_ms: u64) -> Self {
        Self {
            address,
            connect_timeout: Duration::from_millis(connect_timeout_ms),
            state: Mutex::default(),
        }
    }

    /// Returns the address of the other node.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the client of the connection, opening it if necessary.
    ///
    /// # Errors
    ///
    /// [`ProtocolError::Unreachable`] if the node does not accept a connection, or did not
    /// accept one during the last `RECONNECT_BACKOFF_MS`.
    pub async fn client(&self) -> Result<Arc<NodeServiceClient>, ProtocolError> {
        let mut state = self.state.lock().await;
        if let Some(client) = &state.client {
            return Ok(Arc::clone(client));
        }
        let backoff = Duration::from_millis(RECONNECT_BACKOFF_MS);
        if state.failed_at.is_some_and(|at| at.elapsed() < backoff) {
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
            .is_some_and(|current| Arc::ptr_eq(current, broken))
        {
            state.client = None;
        }
    }
}

async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<NodeServiceClient, ProtocolError> {
    let mut connecting = tcp::connect(address, Bincode::default);
    connecting.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let transport = tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|_| ProtocolError::Unreachable)?
        .map_err(|_| ProtocolError::Unreachable)?;
    // Disables Nagle's algorithm: otherwise the kernel delays a small frame until the previous
    // one is acknowledged. Sub-requests are small and their latency matters.
    let _ = transport.get_ref().set_nodelay(true);
    Ok(NodeServiceClient::new(client::Config::default(), transport).spawn())
}
