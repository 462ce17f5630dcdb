macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the key as an index into an array with one element for each key of this
            /// kind.
            #[must_use]
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

key! {
    /// Key of a query class: the kind of query that callers name. Shard services answer it.
    ClassKey
}

key! {
    /// Key of a data centre.
    DataCentreKey
}

key! {
    /// Key of an entry VM and of the node that runs on it.
    NodeKey
}

key! {
    /// Key of a target, which is one replica of a shard service.
    ReplicaKey
}

key! {
    /// Key of a shard service.
    ServiceKey
}
