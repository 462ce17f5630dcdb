/// Key of a replica in the arena of a [`Pool`](crate::Pool).
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ReplicaKey {
    /// Tells replicas apart that used the same place one after the other.
    pub(crate) generation: u32,
    /// Place in the arena.
    pub(crate) index: u32,
}

impl ReplicaKey {
    /// Key of a replica that another node knows and this one does not; no pool has it.
    pub const UNKNOWN: Self = Self {
        generation: u32::MAX,
        index: u32::MAX,
    };
}
