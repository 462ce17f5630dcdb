//! Member updates, which carry the failure detector's state between nodes.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// State of one member, as exchanged between nodes.
///
/// Of two updates about a node, the one with the larger `(incarnation, state)` is newer.
/// Only the node itself raises its incarnation. A restarted node starts at 0 and raises it
/// past that of its previous run as soon as it receives an update about that run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberUpdate {
    /// Random id of the run of the process; 0 if no update about the node has ever arrived.
    pub boot: u64,
    /// Version of the update; a larger incarnation is newer.
    pub incarnation: u64,
    /// Whether the node is shutting down and becomes the owner of no further replica.
    pub leaving: bool,
    /// Name of the node.
    pub node: Arc<str>,
    /// State of the node according to the failure detector.
    pub state: MemberState,
}

/// State of a member according to the failure detector. Within one incarnation the larger
/// value wins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberState {
    /// Named by the deployment or the VM list; no update about it has arrived.
    Unknown,
    /// Replies to probes.
    Alive,
    /// Suspected of being down, because it did not reply to a probe; can refute the suspicion by
    /// raising its incarnation.
    Suspect,
    /// Did not refute a suspicion within the timeout, or is missing from the VM list.
    Dead,
}
