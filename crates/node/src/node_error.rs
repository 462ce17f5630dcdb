//! Errors at the start of a node.

use std::error::Error;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;

/// Reason why a node cannot start.
#[derive(Debug)]
pub enum NodeError {
    /// The address for callers cannot be bound.
    BindCallers {
        /// Address from the settings.
        address: SocketAddr,
        /// Underlying error.
        cause: Box<dyn Error + Send + Sync>,
    },
    /// The address for other nodes cannot be bound.
    BindNodes {
        /// Address from the settings.
        address: SocketAddr,
        /// Underlying error.
        cause: std::io::Error,
    },
    /// A metric cannot be registered.
    Metrics(prometheus::Error),
    /// The threads for network calls cannot be started.
    Runtime(std::io::Error),
}

impl Display for NodeError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::BindCallers { address, cause } => {
                write!(f, "cannot listen for callers on {address}: {cause}")
            }
            Self::BindNodes { address, cause } => {
                write!(f, "cannot listen for nodes on {address}: {cause}")
            }
            Self::Metrics(cause) => write!(f, "cannot register metrics: {cause}"),
            Self::Runtime(cause) => write!(f, "cannot start network threads: {cause}"),
        }
    }
}

impl Error for NodeError {}
