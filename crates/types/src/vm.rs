use std::net::SocketAddr;

use crate::DataCentreKey;

/// An entry VM of the deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Vm {
    /// Address of the node's callers' front.
    pub caller_address: SocketAddr,
    /// Data centre that holds the VM.
    pub data_centre: DataCentreKey,
    /// Address on which the node serves other nodes.
    pub node_address: SocketAddr,
    /// Taken out by operators: the node hands over its replicas and owns none.
    pub out: bool,
}
