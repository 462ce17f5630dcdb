use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use wigeonhall_types::IndexVersion;

/// Record in the object API that gives one attempt the right to send a write.
///
/// Stored at `claims/<hour of issue>/<request id>`. Only the attempt whose token
/// the record holds may send the request, and sends it to one target once.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Time at which the caller first issued the request id.
    pub issued_unix_ms: u64,
    /// What became of the request.
    pub outcome: ClaimOutcome,
    /// Id that the caller gave.
    pub request_id: Arc<str>,
    /// Drawn anew by each attempt; tells whose create took effect. Text in JSON, whose
    /// numbers are exact only up to 2^53.
    #[serde_as(as = "DisplayFromStr")]
    pub token: u64,
}

/// What became of a claimed request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// Not known yet, or the holder died: the request may have run.
    Open,
    /// No target ran it; another attempt may take the claim over.
    Released,
    /// A target ran it at this version.
    Ran(IndexVersion),
}

/// Result of a conditional create or update of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The write did not take effect; the object holds this claim.
    Conflict {
        /// Claim that the store holds.
        held: Claim,
        /// Version of the object, for a conditional update.
        version: u64,
    },
    /// The write took effect.
    Stored {
        /// New version of the object.
        version: u64,
    },
    /// No reply, and reading the object back failed too; the write may have
    /// taken effect.
    Unknown,
}
