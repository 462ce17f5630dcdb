//! Claims, which ensure that a write runs at most once.
//!
//! A claim is a stored record that gives one attempt the right to run a write; it is settled
//! when its outcome is stored.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use wigeonhall_types::IndexVersion;

/// Record in the object store that grants one attempt the right to send a write.
///
/// Stored at `claims/<hour of issue>/<request id>`. Only the attempt whose token the record
/// contains may send the request, and sends it again only after a reply that proves that it
/// has not run.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Time at which the caller first issued the request id.
    pub issued_unix_ms: u64,
    /// Outcome of the request; the claim is settled once it is not `Open`.
    pub outcome: ClaimOutcome,
    /// Request id that the caller supplied.
    pub request_id: Arc<str>,
    /// Random token of the attempt, which identifies whose create took effect. Serialized as a
    /// string, because JSON numbers are exact only up to 2^53.
    #[serde_as(as = "DisplayFromStr")]
    pub token: u64,
}

/// Outcome of a claimed request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// Not known, because it is pending or the holder died; the request may have run.
    Open,
    /// No target ran the request; another attempt may take over the claim.
    Released,
    /// A target ran the request at this version.
    Ran(IndexVersion),
}

/// Result of a conditional create or update of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The create or update did not take effect, because the store holds another record.
    Conflict {
        /// Claim that the store holds.
        held: Claim,
        /// Version of the stored object, for a conditional update.
        version: u64,
    },
    /// The create or update took effect.
    Stored {
        /// New version of the stored object.
        version: u64,
    },
    /// The store did not reply, and reading the object back failed too; the create or update
    /// may have taken effect.
    Unknown,
}
