/// Whether an owner can be reached, as far as this node knows.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reachability {
    /// Nothing speaks against it.
    #[default]
    Responsive,
    /// Said nothing while sub-requests were open at it; its replicas rank last.
    Unresponsive,
    /// Found dead; its replicas get nothing until a report comes from it.
    Lost,
}
