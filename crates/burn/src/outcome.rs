use serde::Deserialize;
use serde::Serialize;

/// Outcome of a request, as counted against its service level.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Failed after work had started.
    Failed,
    /// Answered in full within the latency of the service level.
    Good,
    /// Answered for a part of the queried key range only.
    Partial,
    /// Refused before it ran.
    Refused,
    /// Answered in full, but later than the latency of the service level.
    Slow,
}

impl Outcome {
    /// Returns the name used in reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Good => "good",
            Self::Partial => "partial",
            Self::Refused => "refused",
            Self::Slow => "slow",
        }
    }
}
