use std::net::SocketAddr;
use std::sync::Arc;

/// Another node, as the address of a message about quotas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaNode {
    /// Address on which it listens for other nodes.
    pub address: SocketAddr,
    /// Name of the node.
    pub name: Arc<str>,
}

/// How a request of a tenant is treated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// It is admitted.
    Admit,
    /// One of these owners decides, in this order.
    Ask(Vec<QuotaNode>),
    /// It is refused; there is capacity after this time.
    Refuse {
        /// Time until there is capacity.
        retry_after_ms: u64,
    },
}
