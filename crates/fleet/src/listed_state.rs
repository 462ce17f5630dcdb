/// State of a node in the latest list of VMs that the platform returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ListedState {
    /// The list does not contain the VM.
    Gone,
    /// The platform is about to remove the VM.
    Leaving,
    /// The VM is listed without a planned removal.
    Live,
    /// No list has been read yet.
    Unknown,
}
