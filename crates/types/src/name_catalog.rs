use std::collections::HashMap;
use std::sync::Arc;

use crate::ClassKey;
use crate::DataCentreKey;
use crate::NodeKey;
use crate::ReplicaKey;
use crate::ServiceKey;

/// Assigns a numeric key to each name of a class, data centre, node, replica or service.
///
/// Keys are never reused, so a key stays valid over all versions of the configuration. Keys
/// differ between processes, so messages carry names.
#[derive(Clone, Debug, Default)]
pub struct NameCatalog {
    classes: NameTable,
    data_centres: NameTable,
    nodes: NameTable,
    replicas: NameTable,
    services: NameTable,
}

#[derive(Clone, Debug, Default)]
struct NameTable {
    /// Index into `names` of each name.
    index: HashMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
}

impl NameTable {
    fn find(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    fn intern(&mut self, name: &str) -> u32 {
        if let Some(key) = self.find(name) {
            return key;
        }
        let key = self.names.len() as u32;
        let name = Arc::<str>::from(name);
        self.names.push(Arc::clone(&name));
        self.index.insert(name, key);
        key
    }

    fn name(&self, index: usize) -> Arc<str> {
        Arc::clone(&self.names[index])
    }
}

macro_rules! name_methods {
    ($table:ident, $key:ident, $intern:ident, $find:ident, $name:ident) => {
        /// Returns the key of `name`, adding the name if it is new.
        pub fn $intern(&mut self, name: &str) -> $key {
            $key(self.$table.intern(name))
        }

        /// Returns the key of `name` if the name is known.
        #[must_use]
        pub fn $find(&self, name: &str) -> Option<$key> {
            self.$table.find(name).map($key)
        }

        /// Returns the name of `key`.
        ///
        /// # Panics
        ///
        /// If `key` comes from another catalog.
        #[must_use]
        pub fn $name(&self, key: $key) -> Arc<str> {
            self.$table.name(key.index())
        }
    };
}

impl NameCatalog {
    name_methods!(classes, ClassKey, class, find_class, class_name);
    name_methods!(
        data_centres,
        DataCentreKey,
        data_centre,
        find_data_centre,
        data_centre_name
    );
    name_methods!(nodes, NodeKey, node, find_node, node_name);
    name_methods!(replicas, ReplicaKey, replica, find_replica, replica_name);
    name_methods!(services, ServiceKey, service, find_service, service_name);
}
