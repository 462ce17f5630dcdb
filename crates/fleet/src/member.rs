use crate::Listing;
use crate::MemberState;
use crate::rendezvous;
use wigeonhall_types::DataCentreKey;

/// What a node knows of another one.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) boot: u64,
    /// As the deployment says.
    pub(crate) data_centre: Option<DataCentreKey>,
    pub(crate) hash: u64,
    pub(crate) incarnation: u64,
    pub(crate) leaving: bool,
    pub(crate) listing: Listing,
    /// `NodeLost` was pushed for this boot.
    pub(crate) lost: bool,
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
            listing: Listing::Unread,
            lost: false,
            same_region: false,
            state: MemberState::Unknown,
        }
    }

    /// Whether messages to it may arrive, as far as is known.
    pub(crate) fn reachable(&self) -> bool {
        self.state != MemberState::Dead
    }

    /// Whether it was ever heard of, not only named.
    pub(crate) fn heard(&self) -> bool {
        self.boot != 0
    }

    /// What the views depend on; a suspicion and its refutation change none.
    pub(crate) fn viewed(&self) -> (bool, bool, bool) {
        (self.reachable(), self.heard(), self.leaving)
    }

    /// Whether it counts as consenting: it runs no more.
    pub(crate) fn gone(&self) -> bool {
        self.listing == Listing::Gone
            && matches!(self.state, MemberState::Dead | MemberState::Unknown)
    }
}
