use wigeonhall_types::ClassKey;

/// A request that holds a slot: sent, and no `TargetReply` yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    /// The target was asked to stop it.
    pub(crate) cancelled: bool,
    pub(crate) class: ClassKey,
    pub(crate) deadline_us: u64,
    /// The entry node has its answer.
    pub(crate) responded: bool,
    pub(crate) started_us: u64,
    /// Step of the ramp at the start.
    pub(crate) step: u64,
}
