use crate::LegsKey;

/// What a node does about the load of a set of shards.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ShardLoad {
    /// Replicas queue so many requests that no leg is hedged.
    NoHedges,
    /// All gathers are sent, and late legs are hedged.
    #[default]
    Normal,
    /// Some gathers are refused.
    Refusing,
}

/// A change of the load of a set of shards, with the inputs that decided it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadChange {
    /// Share of the most urgent gathers that are admitted.
    pub admitted_percent: u32,
    /// [`Route::legs_key`](crate::Route::legs_key) of the gathers over these shards.
    pub legs_key: LegsKey,
    /// What the node does from now on.
    pub load: ShardLoad,
    /// Share of the legs of recent gathers that their replicas queued.
    pub queued_percent: u32,
}
