/// The final answer to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Passes on what the replica of this leg and attempt answered.
    Forward {
        /// Index of the attempt within the leg.
        attempt: usize,
    },
    /// Merges the parts of all legs that are done.
    Gather {
        /// Legs without a part.
        missing: usize,
    },
    /// The request failed; it may have run.
    GiveUp(GiveUpReason),
    /// The request has not run and never will.
    Refuse {
        /// Why it was refused.
        reason: RefuseReason,
        /// When the caller may come back.
        retry_after_ms: u64,
    },
}

/// Why a request that may have run got no result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpReason {
    /// No replica gave a usable answer.
    NoAnswer,
    /// Too many shards cannot answer.
    TooFewParts,
    /// The deadline passed.
    DeadlinePassed,
}

/// Why a request was refused before it ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefuseReason {
    /// The replicas that were asked have no room.
    Busy,
    /// The deadline passed before a replica was reached.
    DeadlinePassed,
    /// No replica is available.
    NoReplica,
    /// Too few shards have an available replica.
    TooFewShards,
}
