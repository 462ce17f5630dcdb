//! Outgoing calls to peers, the other nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use flume::Sender;
use tarpc::context;
use tarpc::context::Context;
use tokio::runtime::Handle;

use crate::Event;
use wigeonhall_fleet::GossipMessage;
use wigeonhall_protocol::Connection;
use wigeonhall_protocol::HandOverMessage;
use wigeonhall_protocol::ProtocolError;
use wigeonhall_protocol::SubmitMessage;
use wigeonhall_settings::Timeouts;
use wigeonhall_types::AttemptId;
use wigeonhall_types::NodeKey;

/// Time after the deadline of a sub-request until its call times out, so that a slightly late
/// reply still delivers the report of the replica's load.
const LATE_REPLY_GRACE_MS: u64 = 500;

/// Connections to peers.
#[derive(Debug)]
pub struct Peers {
    /// Timeout of all calls but `submit`.
    call_timeout_ms: u64,
    connect_timeout_ms: u64,
    connections: BTreeMap<NodeKey, Arc<Connection>>,
    events: Sender<Event>,
    handle: Handle,
    name: Arc<str>,
}

impl Peers {
    /// Creates an instance without connections. Calls run on `handle` and send their results to
    /// `events`.
    #[must_use]
    pub fn new(name: Arc<str>, timeouts: &Timeouts, events: Sender<Event>, handle: Handle) -> Self {
        Self {
            call_timeout_ms: timeouts.node_call_ms,
            connect_timeout_ms: timeouts.node_connect_ms,
            connections: BTreeMap::new(),
            events,
            handle,
            name,
        }
    }

    /// Sets the address of a node. A changed address replaces the connection.
    pub fn set_address(&mut self, node: NodeKey, address: SocketAddr) {
        let existing = self.connections.get(&node);
        if existing.is_none_or(|it| it.address() != address) {
            let connection = Connection::new(address, self.connect_timeout_ms);
            self.connections.insert(node, Arc::new(connection));
        }
    }

    /// Requests the load reports of the replicas that a node owns.
    pub fn request_load_reports(&self, node: NodeKey) {
        let Some(connection) = self.connection(node) else {
            return;
        };
        let events = self.events.clone();
        let context = context_for_ms(self.call_timeout_ms);
        self.handle.spawn(async move {
            let Ok(client) = connection.client().await else {
                return;
            };
            match client.reports(context).await {
                Ok(reports) => drop(events.send(Event::Reports(reports))),
                Err(_) => connection.discard(&client).await,
            }
        });
    }

    /// Cancels the sub-request with the id `attempt` at the node that owns its replica.
    pub fn cancel(&self, node: NodeKey, attempt: AttemptId) {
        let Some(connection) = self.connection(node) else {
            return;
        };
        let context = context_for_ms(self.call_timeout_ms);
        self.handle.spawn(async move {
            if let Ok(client) = connection.client().await
                && client.cancel(context, attempt).await.is_err()
            {
                connection.discard(&client).await;
            }
        });
    }

    /// Sends a gossip message, by which nodes exchange membership and configuration. It may be
    /// lost.
    pub fn gossip(&self, node: NodeKey, message: GossipMessage) {
        let Some(connection) = self.connection(node) else {
            return;
        };
        let name = Arc::clone(&self.name);
        let context = context_for_ms(self.call_timeout_ms);
        self.handle.spawn(async move {
            if let Ok(client) = connection.client().await
                && client.gossip(context, name, message).await.is_err()
            {
                connection.discard(&client).await;
            }
        });
    }

    /// Hands a replica over to its new owner. The message may be lost.
    pub fn hand_over(&self, node: NodeKey, message: HandOverMessage) {
        let Some(connection) = self.connection(node) else {
            return;
        };
        let context = context_for_ms(self.call_timeout_ms);
        self.handle.spawn(async move {
            if let Ok(client) = connection.client().await
                && client.hand_over(context, message).await.is_err()
            {
                connection.discard(&client).await;
            }
        });
    }

    /// Sends a sub-request to the node that owns its replica; exactly one `Event::SubReply`
    /// follows.
    pub fn submit(&self, node: NodeKey, message: SubmitMessage) {
        let attempt = message.attempt;
        let events = self.events.clone();
        let connection = self.connection(node);
        self.handle.spawn(async move {
            let reply = match connection {
                Some(connection) => submit(&connection, message).await,
                None => Err(ProtocolError::Unreachable),
            };
            // Sending fails only while the process exits.
            let _ = events.send(Event::SubReply {
                attempt,
                node,
                reply,
            });
        });
    }

    fn connection(&self, node: NodeKey) -> Option<Arc<Connection>> {
        self.connections.get(&node).map(Arc::clone)
    }
}

async fn submit(
    connection: &Connection,
    message: SubmitMessage,
) -> Result<wigeonhall_protocol::SubmitReply, ProtocolError> {
    let client = connection.client().await?;
    let context = context_for_ms(message.remaining_us / 1_000 + LATE_REPLY_GRACE_MS);
    match client.submit(context, message).await {
        Ok(reply) => Ok(reply),
        Err(tarpc::client::RpcError::DeadlineExceeded) => Err(ProtocolError::ReplyLost),
        Err(_) => {
            connection.discard(&client).await;
            Err(ProtocolError::ReplyLost)
        }
    }
}

fn context_for_ms(timeout_ms: u64) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_millis(timeout_ms);
    context
}
