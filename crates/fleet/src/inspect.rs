use crate::EvacuationOverride;
use crate::Fleet;
use crate::MemberState;
use wigeonhall_types::NodeKey;

/// What a node believes of a member, for operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// The node stops and takes no new ownership.
    pub leaving: bool,
    /// The member.
    pub node: NodeKey,
    /// What is believed of it.
    pub state: MemberState,
}

impl Fleet {
    /// Members other than this node, by key.
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

    /// Evacuation overrides in force.
    #[must_use]
    pub fn evacuations(&self) -> Vec<EvacuationOverride> {
        self.overrides.active.values().cloned().collect()
    }
}
