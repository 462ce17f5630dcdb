use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// State of one member, as it travels between nodes.
///
/// Of two updates about a node the one with the larger `(incarnation, state)` is
/// newer. Only the node itself raises its incarnation; a restarted node raises it
/// past that of its previous run as soon as it hears of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// Random id of the run of the process; 0 if never heard of.
    pub boot: u64,
    /// Larger is newer.
    pub incarnation: u64,
    /// The node stops and takes no new ownership.
    pub leaving: bool,
    /// Name of the node.
    pub node: Arc<str>,
    /// What is believed of it.
    pub state: MemberState,
}

/// What is believed of a member; a larger value wins within one incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// Named by the deployment or the VM list, never heard of.
    Unknown,
    /// Answers probes.
    Alive,
    /// Did not answer a probe; may refute.
    Suspect,
    /// Did not refute the suspicion, or the VM list reports it gone.
    Dead,
}
