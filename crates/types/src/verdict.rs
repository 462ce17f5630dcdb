use serde::Deserialize;
use serde::Serialize;

/// Whether a request may have run.
///
/// For a request that is not idempotent the verdict speaks of its request id:
/// `NotRun` means that no try with that id has run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It has not run.
    NotRun,
    /// Nobody can know whether it ran.
    MayHaveRun,
    /// It ran.
    Ran,
}
