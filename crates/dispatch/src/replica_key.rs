/// Key of a replica in the arena of a [`Pool`](crate::Pool).
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ReplicaKey {
    /// Distinguishes the replicas that used the same slot one after the other.
    pub(crate) generation: u32,
    /// Index of the slot in the arena.
    pub(crate) index: u32,
}

impl ReplicaKey {
    /// Key for a replica that is known to another node but not to this one; no pool contains
    /// it.
    pub const UNKNOWN: Self = Self {
        generation: u32::MAX,
        index: u32::MAX,
    };
}
