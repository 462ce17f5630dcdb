use std::fmt::Debug;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::CtlError;
use crate::NodeAddress;
use crate::NodeClient;
use crate::Store;
use wigeonhall_settings::DeploymentText;
use wigeonhall_settings::parse;

/// Creates a backoff; its time limit starts at its creation.
pub type BackoffFactory = Box<dyn Fn() -> Backoff>;

/// Pauses before the next attempt. Returns false once the time limit has passed.
pub type Backoff = Box<dyn FnMut() -> bool>;

/// Dependencies and options that all commands share.
pub struct Context {
    /// Name of the operator who runs the command.
    pub author: Arc<str>,
    /// Generates a change id that is unique across runs.
    pub new_change_id: Box<dyn Fn() -> Arc<str>>,
    /// Node addresses from the command line. If empty, commands use the VMs of the
    /// deployment.
    pub node_addresses: Vec<SocketAddr>,
    /// Client for calls to nodes.
    pub node_client: NodeClient,
    /// Creates a backoff; its time limit starts at its creation.
    pub new_backoff: BackoffFactory,
    /// Prints a line about the progress.
    pub print_progress: Box<dyn Fn(&str)>,
    /// Client of the store, if its address is known.
    pub store: Option<Store>,
    /// Returns the time in milliseconds since the Unix epoch.
    pub unix_ms: Box<dyn Fn() -> u64>,
}

impl Context {
    pub(crate) fn store(&self) -> Result<&Store, CtlError> {
        self.store.as_ref().ok_or(CtlError::NoStore)
    }

    /// Returns the nodes of the command line or, if it names none, the VMs of `deployment`.
    pub(crate) fn node_list(&self, deployment: &DeploymentText) -> Vec<NodeAddress> {
        if self.node_addresses.is_empty() {
            let vms = deployment.vms.iter();
            return vms
                .map(|(name, vm)| NodeAddress {
                    address: vm.caller_address,
                    name: Arc::clone(name),
                })
                .collect();
        }
        self.command_line_nodes()
    }

    /// Returns the nodes of the command line or, if it names none, the VMs of the accepted
    /// deployment in the store.
    pub(crate) fn resolve_nodes(&self) -> Result<Vec<NodeAddress>, CtlError> {
        if !self.node_addresses.is_empty() {
            return Ok(self.command_line_nodes());
        }
        let current =
            crate::current::read_current(self.store()?)?.ok_or(CtlError::NoConfiguration)?;
        Ok(self.node_list(&parse(&current.record.text())?))
    }

    fn command_line_nodes(&self) -> Vec<NodeAddress> {
        let addresses = self.node_addresses.iter();
        addresses
            .map(|address| NodeAddress {
                address: *address,
                name: Arc::from(address.to_string()),
            })
            .collect()
    }
}

impl Debug for Context {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context")
            .field("author", &self.author)
            .field("node_addresses", &self.node_addresses)
            .finish_non_exhaustive()
    }
}
