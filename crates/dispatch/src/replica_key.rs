/// Key of a replica in the arena of a [`Pool`](crate::Pool).
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ReplicaKey {
    /// Tells replicas apart that used the same place one after the other.
    pub(crate) generation: u32,
    /// Place in the arena.
    pub(crate) index: u32,
}
