use crate::RequestKey;

/// Crashes of replicas, one after the other, for which a request is blocked.
const CRASHES_TO_BLOCK: u32 = 2;

/// Time for which a request is blocked; it is suspected after that, so that one replica tries it.
const BLOCK_US: u64 = 60_000_000;

/// Time for which a request that was answered before is blocked first. It doubles with each further
/// crash, up to [`BLOCK_US`]: the request is likely to be served once the replicas are back.
const ANSWERED_BLOCK_US: u64 = 2_000_000;

/// How strongly a request is suspected, the stronger state first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Suspicion {
    /// So many replicas crashed under it, one after the other, that no further one is risked.
    Blocked,
    /// A replica crashed under it; others were running there too, perhaps.
    Suspected,
}

/// What speaks for and against a request under which replicas crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashEvidence {
    /// Whether a replica answered an earlier request with the same key shortly before.
    pub answered: bool,
    /// Number of crashes that followed each other: each one but the first under a request that was
    /// sent after the crash before was known.
    pub crashes: u32,
}

impl CrashEvidence {
    /// Returns for how long the request is blocked since the newest crash; `None` if it is only
    /// suspected.
    ///
    /// Replicas may end one after the other for reasons of their own, and a popular request runs on
    /// most of them. A request that was answered before is therefore blocked one crash later.
    pub(crate) fn block_us(self) -> Option<u64> {
        let crashes_to_block = CRASHES_TO_BLOCK + u32::from(self.answered);
        let further_crashes = self.crashes.checked_sub(crashes_to_block)?;
        if !self.answered {
            return Some(BLOCK_US);
        }
        let factor = 1_u64.checked_shl(further_crashes).unwrap_or(u64::MAX);
        Some(ANSWERED_BLOCK_US.saturating_mul(factor).min(BLOCK_US))
    }
}

impl From<Suspicion> for CrashEvidence {
    /// Returns the evidence behind a suspicion of which nothing else is known.
    fn from(suspicion: Suspicion) -> Self {
        let crashes = match suspicion {
            Suspicion::Blocked => CRASHES_TO_BLOCK,
            Suspicion::Suspected => 1,
        };
        Self {
            answered: false,
            crashes,
        }
    }
}

/// The suspicion of a request, as a node reports it to other nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SuspicionReport {
    /// What the node knows about the request.
    pub evidence: CrashEvidence,
    /// Key of the request.
    pub key: RequestKey,
    /// Time for which the suspicion still lasts.
    pub remaining_ms: u64,
    /// How strongly it is suspected.
    pub suspicion: Suspicion,
}
