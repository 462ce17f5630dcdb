use serde::Deserialize;
use serde::Serialize;

/// Identifies one sub-request over the whole fleet and for all time.
///
/// A reply is matched by this id alone, so a late or crossed reply can never
/// reach another caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// Random id that the entry node draws at start; distinguishes a restarted
    /// node from the process before it.
    pub boot: u64,
    /// Strictly increasing within one boot.
    pub sequence: u64,
}
