use serde::Deserialize;
use serde::Serialize;

use crate::FailureReason;
use crate::IndexVersion;
use crate::KeyRange;
use crate::RefusalReason;
use crate::Row;
use crate::Verdict;

/// Final outcome of a sub-request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubOutcome {
    /// The target ran it.
    Answered {
        /// Keys that the reply speaks for; a key in it without a row is absent.
        ranges: Vec<KeyRange>,
        /// Rows of those keys.
        rows: Vec<Row>,
        /// Version that the rows come from.
        version: IndexVersion,
    },
    /// Nobody knows whether the target ran it.
    Failed {
        /// Why.
        reason: FailureReason,
    },
    /// The target did not run it.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Earliest time at which another try makes sense, in microseconds from now.
        retry_after_us: u64,
    },
    /// The target does not serve the pinned version; it did not run it.
    VersionGone,
}

impl SubOutcome {
    /// Whether the target may have run the sub-request.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Answered { .. } => Verdict::Ran,
            Self::Failed { .. } => Verdict::MayHaveRun,
            Self::Refused { .. } | Self::VersionGone => Verdict::NotRun,
        }
    }
}
