use std::net::SocketAddr;

use crate::DataCentreKey;

/// An entry VM, as the deployment defines it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Vm {
    /// Address on which the node serves callers.
    pub caller_address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentreKey,
    /// Address on which the node serves other nodes.
    pub node_address: SocketAddr,
    /// Whether operators took the VM out of service. Its node then hands over its replicas and
    /// owns none.
    pub out: bool,
}
