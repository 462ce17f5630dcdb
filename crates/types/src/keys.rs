macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub u32);

        impl $name {
            /// Index into the arena that this key belongs to.
            #[must_use]
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

key! {
    /// A query class: a service that callers name and that depends on others.
    ClassKey
}

key! {
    /// A data centre.
    DataCentreKey
}

key! {
    /// An entry VM and the node that runs on it.
    NodeKey
}

key! {
    /// A target: one replica of a shard service.
    ReplicaKey
}

key! {
    /// A shard service.
    ServiceKey
}
