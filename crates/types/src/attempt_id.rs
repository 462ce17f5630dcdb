use serde::Deserialize;
use serde::Serialize;

/// Identifies one sub-request, that is one attempt at one replica; unique among all nodes and all
/// runs of their processes.
///
/// Replies are matched by this id alone, so a late or misdirected reply never reaches the wrong
/// caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// Random id that the sending node generates at start. A restarted process generates a new
    /// one.
    pub boot: u64,
    /// Number of the sub-request; strictly increasing within one `boot`.
    pub sequence: u64,
}
