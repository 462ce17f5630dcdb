use std::fmt::Debug;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::CtlError;
use crate::NodeAddress;
use crate::Nodes;
use crate::Store;
use wigeonhall_settings::DeploymentText;
use wigeonhall_settings::parse;

/// Starts a bounded wait.
pub type Patience = Box<dyn Fn() -> Wait>;

/// Pauses between two tries; false when the time of the wait is over.
pub type Wait = Box<dyn FnMut() -> bool>;

/// What a command works with.
pub struct Context {
    /// Who runs the command.
    pub author: Arc<str>,
    /// Draws a change id that no other run draws.
    pub new_id: Box<dyn Fn() -> Arc<str>>,
    /// Nodes given on the command line; if empty, the VMs of the deployment.
    pub node_addresses: Vec<SocketAddr>,
    /// Calls to nodes.
    pub nodes: Nodes,
    /// Bounded waits.
    pub patience: Patience,
    /// Tells the operator about progress.
    pub say: Box<dyn Fn(&str)>,
    /// Calls to the store, if its address is known.
    pub store: Option<Store>,
    /// Time in ms since the Unix epoch.
    pub unix_ms: Box<dyn Fn() -> u64>,
}

impl Context {
    pub(crate) fn store(&self) -> Result<&Store, CtlError> {
        self.store.as_ref().ok_or(CtlError::NoStore)
    }

    /// Nodes to ask: those of the command line, else the VMs of `content`.
    pub(crate) fn node_list(&self, content: &DeploymentText) -> Vec<NodeAddress> {
        if self.node_addresses.is_empty() {
            let vms = content.vms.iter();
            return vms
                .map(|(name, vm)| NodeAddress {
                    address: vm.caller_address,
                    name: Arc::clone(name),
                })
                .collect();
        }
        self.given_nodes()
    }

    /// Nodes of the command line, else the VMs of the deployment in the store.
    pub(crate) fn find_nodes(&self) -> Result<Vec<NodeAddress>, CtlError> {
        if !self.node_addresses.is_empty() {
            return Ok(self.given_nodes());
        }
        let current = crate::current::read(self.store()?)?.ok_or(CtlError::NoConfiguration)?;
        Ok(self.node_list(&parse(&current.record.text())?))
    }

    fn given_nodes(&self) -> Vec<NodeAddress> {
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
