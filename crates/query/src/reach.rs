/// Whether an owner can be reached, as far as this node knows.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reach {
    /// Nothing speaks against it.
    #[default]
    Answers,
    /// Said nothing while sub-requests were open at it; its replicas rank last.
    Silent,
    /// Found dead; its replicas get nothing until a report comes from it.
    Lost,
}
