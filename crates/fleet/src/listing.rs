/// What the VM list says of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Listing {
    Gone,
    Leaving,
    Live,
    Unread,
}
