use std::collections::HashMap;

use crate::DeploymentText;
use wigeonhall_types::DataCentre;
use wigeonhall_types::Deployment;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::QueryClass;
use wigeonhall_types::Replica;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::Service;
use wigeonhall_types::ServiceKey;
use wigeonhall_types::Vm;

/// Converts a parsed deployment text to the deployment of `generation`, the version number of
/// the stored configuration, and interns its names in `catalog`.
#[must_use]
pub fn resolve(text: &DeploymentText, generation: u64, catalog: &mut NameCatalog) -> Deployment {
    let mut deployment = Deployment {
        generation,
        ..Deployment::default()
    };
    for (name, data_centre) in &text.data_centres {
        let value = DataCentre {
            out: data_centre.out,
            region: data_centre.region.clone(),
        };
        let key = catalog.data_centre(name);
        deployment.data_centres.insert(key, value);
    }
    let mut replicas_by_service = HashMap::<ServiceKey, Vec<ReplicaKey>>::new();
    let mut replicas = Vec::with_capacity(text.replicas.len());
    // Replica names mostly sort by service, so that neighbours share one map access.
    let by_service = text.replicas.iter().collect::<Vec<_>>();
    for group in by_service.chunk_by(|(_, left), (_, right)| left.service == right.service) {
        let service = catalog.service(&group[0].1.service);
        let service_replicas = replicas_by_service.entry(service).or_default();
        for (name, replica) in group {
            let key = catalog.replica(name);
            let value = Replica {
                address: replica.address,
                cold: replica.cold,
                connect_us: replica.connect_us,
                connections: replica.connections,
                data_centre: catalog.data_centre(&replica.data_centre),
                out: replica.out,
                service,
                slots: replica.slots,
            };
            service_replicas.push(key);
            replicas.push((key, value));
        }
    }
    // Building the map from a sorted list avoids a search for each entry.
    deployment.replicas = replicas.into_iter().collect();
    for name in &text.services {
        let key = catalog.service(name);
        let mut replicas = replicas_by_service.remove(&key).unwrap_or_default();
        replicas.sort_unstable();
        deployment.services.insert(key, Service { replicas });
    }
    for (name, class) in &text.classes {
        let mut depends_on = class
            .depends_on
            .iter()
            .map(|service| catalog.service(service))
            .collect::<Vec<_>>();
        depends_on.sort_unstable();
        let value = QueryClass {
            deadline_ms: class.deadline_ms,
            depends_on,
            kind: class.kind,
            level: class.level,
            slot_share_percent: class.slot_share_percent,
            weight: class.weight,
        };
        deployment.classes.insert(catalog.class(name), value);
    }
    let vms = text.vms.iter().map(|(name, vm)| {
        let value = Vm {
            caller_address: vm.caller_address,
            data_centre: catalog.data_centre(&vm.data_centre),
            node_address: vm.node_address,
            out: vm.out,
        };
        (catalog.node(name), value)
    });
    deployment.vms = vms.collect();
    deployment
}
