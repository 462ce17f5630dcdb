/// How a request is answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Forwards a replica's response; the request has only one leg, that is one service.
    Forward {
        /// Index of the sub-request within the leg.
        attempt: usize,
    },
    /// Merges the parts, one replica's response for each shard, of all legs that succeeded.
    Gather {
        /// Legs without a part.
        missing: usize,
    },
    /// The request failed; it may have run.
    GiveUp(GiveUpReason),
    /// No replica ran the request, and none will.
    Refuse {
        /// Why it was refused.
        reason: RefuseReason,
        /// Time after which the caller may retry.
        retry_after_ms: u64,
    },
}

/// Why a request that may have run has no result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpReason {
    /// A replica ran a request that may run only once, and failed with a status that would tell the
    /// caller that it has not run.
    FalseRefusal,
    /// No replica returned a usable response.
    NoAnswer,
    /// Too few legs of a gather succeeded or can still succeed.
    TooFewParts,
    /// The deadline passed.
    DeadlinePassed,
}

/// Why a request was refused before it ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefuseReason {
    /// The replicas that the request was sent to have no free capacity.
    Busy,
    /// Replicas crashed under requests that ask the same.
    CrashesReplicas,
    /// The deadline passed before a replica received the request.
    DeadlinePassed,
    /// No replica is available.
    NoReplica,
    /// More gathers arrive than their shards can answer in time.
    Overloaded {
        /// Share of the gathers of its rank that this node admits.
        admitted_percent: u32,
    },
    /// The node stops before the request could be answered.
    Stopping,
    /// Too few shards have an available replica.
    TooFewShards,
}
