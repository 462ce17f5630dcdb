use wigeonhall_types::ClassKey;

/// A request that was sent to the target and has no `TargetReply` yet; it occupies a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningRequest {
    /// Whether the target was asked to stop the request.
    pub(crate) cancelled: bool,
    pub(crate) class: ClassKey,
    pub(crate) deadline_us: u64,
    /// Whether `GateAction::Respond` was already pushed, at the deadline.
    pub(crate) responded: bool,
    pub(crate) started_us: u64,
    /// Step of the ramp, which raises the limits of a cold replica, when the request was sent.
    /// The step grows with each change of these limits.
    pub(crate) ramp_step: u64,
}
