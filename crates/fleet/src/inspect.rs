//! Read-only access to the fleet's state for operators.

use crate::EvacuationOverride;
use crate::Fleet;
use crate::MemberState;
use wigeonhall_types::NodeKey;

/// State of a member as this node sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// Whether the member is shutting down and takes no new ownership.
    pub leaving: bool,
    /// Key of the member.
    pub node: NodeKey,
    /// State of the member according to the failure detector.
    pub state: MemberState,
}

impl Fleet {
    /// Returns the members other than this node, ordered by key.
    #[must_use]
    pub fn members(&self) -> Vec<MemberView> {
        let members = self.membership.members.iter();
        let views = members.map(|(&node, member)| MemberView {
            leaving: member.leaving,
            node,
            state: member.state,
        });
        views.collect()
    }

    /// Returns the active evacuation overrides: requests to take a VM or a data centre out of
    /// service without the store.
    #[must_use]
    pub fn evacuations(&self) -> Vec<EvacuationOverride> {
        self.overrides.active.values().cloned().collect()
    }
}
