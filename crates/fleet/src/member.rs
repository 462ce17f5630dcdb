//! State that a node keeps about each other node.

use crate::ListedState;
use crate::MemberState;
use crate::rendezvous;
use wigeonhall_types::DataCentreKey;

/// What this node knows about another node.
#[derive(Debug)]
pub(crate) struct Member {
    /// Random id of the run of the process; 0 before the first update about it.
    pub(crate) boot: u64,
    /// Data centre according to the deployment; `None` before a deployment names the node.
    pub(crate) data_centre: Option<DataCentreKey>,
    /// Hash of the node's name, for rankings.
    pub(crate) hash: u64,
    /// Version of the latest update about the node.
    pub(crate) incarnation: u64,
    /// Whether the node is shutting down.
    pub(crate) leaving: bool,
    /// State of the node in the latest VM list.
    pub(crate) listing: ListedState,
    /// Whether `NodeLost` was pushed for this boot.
    pub(crate) loss_reported: bool,
    pub(crate) same_region: bool,
    pub(crate) state: MemberState,
}

impl Member {
    pub(crate) fn new(name: &str) -> Self {
        Self {
            boot: 0,
            data_centre: None,
            hash: rendezvous::name_hash(name),
            incarnation: 0,
            leaving: false,
            listing: ListedState::Unknown,
            loss_reported: false,
            same_region: false,
            state: MemberState::Unknown,
        }
    }

    /// Returns whether the node may receive messages: it was not declared dead.
    pub(crate) fn reachable(&self) -> bool {
        self.state != MemberState::Dead
    }

    /// Returns whether any update about the node has arrived. That the deployment or the VM
    /// list names it is not enough.
    pub(crate) fn boot_known(&self) -> bool {
        self.boot != 0
    }

    /// Returns the state from which the member groups are derived. A suspicion of being down
    /// and its refutation leave it unchanged, so they don't cause a rebuild of the groups.
    pub(crate) fn group_inputs(&self) -> (bool, bool, bool) {
        (self.reachable(), self.boot_known(), self.leaving)
    }

    /// Returns whether the node no longer runs: it is missing from the VM list, and was declared
    /// dead or never seen. Such a node counts as consenting to a replacement of the table.
    pub(crate) fn gone(&self) -> bool {
        self.listing == ListedState::Gone
            && matches!(self.state, MemberState::Dead | MemberState::Unknown)
    }
}
