use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;

use wigeonhall_node::NodeError;
use wigeonhall_settings::SettingsError;

/// Error that ends the demonstration.
#[derive(Debug)]
pub enum DemoError {
    /// A call to a node failed.
    Call(String),
    /// The stand-in store did not accept the configuration.
    Configuration(String),
    /// A stand-in cannot listen on its address.
    Listen(std::io::Error),
    /// A node cannot start.
    Node(NodeError),
    /// A node did not become ready, or its replicas did not become warm, in time. The address is
    /// that of the first node if all were waited for together.
    NotReady(SocketAddr),
    /// A deployment or settings text built into the command has errors.
    Settings(SettingsError),
}

impl Display for DemoError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Call(reason) => write!(f, "call to a node failed: {reason}"),
            Self::Configuration(reason) => write!(f, "the configuration was not stored: {reason}"),
            Self::Listen(error) => write!(
                f,
                "a stand-in cannot listen: {error}; the demonstration uses the ports of examples/demo.yaml"
            ),
            Self::Node(error) => write!(f, "a node cannot start: {error}"),
            Self::NotReady(address) => write!(f, "the node at {address} did not become ready"),
            Self::Settings(error) => write!(f, "an embedded text has errors: {error}"),
        }
    }
}

impl std::error::Error for DemoError {}
