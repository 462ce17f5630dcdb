use serde::Deserialize;
use serde::Serialize;

/// How a request ended, as its service level counts it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Gave up after work had started.
    Failed,
    /// Answered in full within the latency of the service level.
    Good,
    /// Answered for part of the range.
    Partial,
    /// Refused; it has not run.
    Refused,
    /// Answered in full, but later than the service level wants.
    Slow,
}

impl Outcome {
    /// The name in reports.
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
