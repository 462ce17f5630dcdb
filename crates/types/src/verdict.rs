use serde::Deserialize;
use serde::Serialize;

/// Whether a request may have run.
///
/// For a request that is not idempotent, the verdict refers to its request id: `NotRun` means
/// that no attempt with that id has run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request has not run.
    NotRun,
    /// It is unknown whether the request ran.
    MayHaveRun,
    /// The request ran.
    Ran,
}
