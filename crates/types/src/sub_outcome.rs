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
    /// The target ran the sub-request.
    Answered {
        /// Keys that the reply covers. A covered key that has no row in `rows` has none in the
        /// index.
        ranges: Vec<KeyRange>,
        /// Rows of the covered keys.
        rows: Vec<Row>,
        /// Index version of the rows.
        version: IndexVersion,
    },
    /// It is unknown whether the target ran the sub-request.
    Failed {
        /// Reason why there is no result.
        reason: FailureReason,
    },
    /// The target did not run the sub-request.
    Refused {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which another attempt may succeed, in microseconds; counted from the
        /// arrival of the outcome.
        retry_after_us: u64,
    },
    /// The target does not serve the requested version and did not run the sub-request.
    VersionGone,
}

impl SubOutcome {
    /// Returns whether the target ran or may have run the sub-request.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Answered { .. } => Verdict::Ran,
            Self::Failed { .. } => Verdict::MayHaveRun,
            Self::Refused { .. } | Self::VersionGone => Verdict::NotRun,
        }
    }
}
