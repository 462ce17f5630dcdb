use std::collections::BTreeMap;

use crate::ClassKey;
use crate::DataCentre;
use crate::DataCentreKey;
use crate::NodeKey;
use crate::QueryClass;
use crate::Replica;
use crate::ReplicaKey;
use crate::Service;
use crate::ServiceKey;
use crate::Vm;

/// One generation of the operators' text, checked and resolved to keys.
///
/// Every key in a value is present in the map it points to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Deployment {
    /// Query classes.
    pub classes: BTreeMap<ClassKey, QueryClass>,
    /// Data centres.
    pub data_centres: BTreeMap<DataCentreKey, DataCentre>,
    /// Version of the object that holds the text; larger is newer.
    pub generation: u64,
    /// Targets.
    pub replicas: BTreeMap<ReplicaKey, Replica>,
    /// Shard services.
    pub services: BTreeMap<ServiceKey, Service>,
    /// Entry VMs.
    pub vms: BTreeMap<NodeKey, Vm>,
}

impl Deployment {
    /// Whether operators took the node or its data centre out, or removed it.
    #[must_use]
    pub fn is_node_out(&self, node: NodeKey) -> bool {
        self.vms
            .get(&node)
            .is_none_or(|vm| vm.out || self.is_data_centre_out(vm.data_centre))
    }

    /// Whether operators took the replica or its data centre out, or removed it.
    #[must_use]
    pub fn is_replica_out(&self, replica: ReplicaKey) -> bool {
        self.replicas
            .get(&replica)
            .is_none_or(|replica| replica.out || self.is_data_centre_out(replica.data_centre))
    }

    /// Whether operators took the data centre out, or removed it.
    #[must_use]
    pub fn is_data_centre_out(&self, data_centre: DataCentreKey) -> bool {
        self.data_centres.get(&data_centre).is_none_or(|it| it.out)
    }
}
