use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;
use std::sync::Arc;

use serde::Serialize;

use wigeonhall_settings::ClassText;
use wigeonhall_settings::DataCentreText;
use wigeonhall_settings::DeploymentText;
use wigeonhall_settings::ReplicaText;
use wigeonhall_settings::VmText;

/// One difference between two deployments.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum Change {
    /// The entry is only in the new text.
    Added {
        /// Kind and name of the entry.
        entry: String,
    },
    /// A field of the entry has another value.
    Changed {
        /// Kind and name of the entry.
        entry: String,
        /// Name of the field.
        field: &'static str,
        /// Old value.
        from: String,
        /// New value.
        to: String,
    },
    /// The entry is only in the old text.
    Removed {
        /// Kind and name of the entry.
        entry: String,
    },
}

impl Display for Change {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Added { entry } => write!(f, "+ {entry}"),
            Self::Changed {
                entry,
                field,
                from,
                to,
            } => write!(f, "~ {entry}: {field} {from} -> {to}"),
            Self::Removed { entry } => write!(f, "- {entry}"),
        }
    }
}

/// Names and values of the fields of an entry.
type Fields = Vec<(&'static str, String)>;

/// Lists the differences between two deployments, by kind and name.
#[must_use]
pub fn difference(old: &DeploymentText, new: &DeploymentText) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(
        "data centre",
        &old.data_centres,
        &new.data_centres,
        data_centre_fields,
        &mut changes,
    );
    compare(
        "class",
        &old.classes,
        &new.classes,
        class_fields,
        &mut changes,
    );
    let services = |text: &DeploymentText| {
        let names = text.services.iter();
        names.map(|name| (Arc::clone(name), ())).collect()
    };
    let (old_services, new_services) = (services(old), services(new));
    compare(
        "service",
        &old_services,
        &new_services,
        |()| Vec::new(),
        &mut changes,
    );
    compare(
        "replica",
        &old.replicas,
        &new.replicas,
        replica_fields,
        &mut changes,
    );
    compare("VM", &old.vms, &new.vms, vm_fields, &mut changes);
    changes
}

/// Adds the differences between the entries of one kind to `changes`.
fn compare<T>(
    kind: &str,
    old: &BTreeMap<Arc<str>, T>,
    new: &BTreeMap<Arc<str>, T>,
    fields: fn(&T) -> Fields,
    changes: &mut Vec<Change>,
) {
    for (name, before) in old {
        let entry = format!("{kind} {name}");
        let Some(after) = new.get(name) else {
            changes.push(Change::Removed { entry });
            continue;
        };
        for ((field, from), (_, to)) in fields(before).into_iter().zip(fields(after)) {
            if from != to {
                changes.push(Change::Changed {
                    entry: entry.clone(),
                    field,
                    from,
                    to,
                });
            }
        }
    }
    for name in new.keys().filter(|name| !old.contains_key(*name)) {
        let entry = format!("{kind} {name}");
        changes.push(Change::Added { entry });
    }
}

fn class_fields(class: &ClassText) -> Fields {
    let services = class
        .depends_on
        .iter()
        .map(AsRef::as_ref)
        .collect::<Vec<_>>();
    let kind = format!("{:?}", class.kind).to_lowercase();
    vec![
        ("deadline_ms", class.deadline_ms.to_string()),
        ("depends_on", format!("[{}]", services.join(", "))),
        ("kind", kind),
        ("latency_ms", class.level.latency_ms.to_string()),
        (
            "objective",
            (f64::from(class.level.objective_ppm) / 1e6).to_string(),
        ),
        ("slot_share_percent", class.slot_share_percent.to_string()),
        ("weight", class.weight.to_string()),
    ]
}

fn data_centre_fields(data_centre: &DataCentreText) -> Fields {
    vec![
        ("out", data_centre.out.to_string()),
        ("region", data_centre.region.to_string()),
    ]
}

fn replica_fields(replica: &ReplicaText) -> Fields {
    vec![
        ("address", replica.address.to_string()),
        (
            "cold.requests_per_s",
            replica.cold.requests_per_s.to_string(),
        ),
        ("cold.slots", replica.cold.slots.to_string()),
        ("connect_us", replica.connect_us.to_string()),
        ("connections", replica.connections.to_string()),
        ("data_centre", replica.data_centre.to_string()),
        ("out", replica.out.to_string()),
        ("service", replica.service.to_string()),
        ("slots", replica.slots.to_string()),
    ]
}

fn vm_fields(vm: &VmText) -> Fields {
    vec![
        ("caller_address", vm.caller_address.to_string()),
        ("data_centre", vm.data_centre.to_string()),
        ("node_address", vm.node_address.to_string()),
        ("out", vm.out.to_string()),
    ]
}
