//! What the world knows of one target.

use wigeonhall_types::ClassKey;
use wigeonhall_types::HandOverState;

/// A request at a target.
#[derive(Clone, Debug)]
pub struct Run {
    pub class: ClassKey,
    pub deadline_us: u64,
    pub gate: usize,
    pub instance: u64,
    pub replica: usize,
    /// Position in the sequence of events.
    pub started: u64,
}

#[derive(Debug, Default)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent switches of the target"
)]
pub struct Target {
    pub drains: bool,
    /// Hand-over on its way to the gate.
    pub handed: Option<(usize, u64, HandOverState)>,
    pub instance: u64,
    /// Identity that the owner knows.
    pub known: Option<u64>,
    /// Position at which the owner learned that the replica is cold.
    pub cold_since: u64,
    /// Position of the latest reply that said `Draining` or `Unreachable`.
    pub closed: Option<u64>,
    pub out: bool,
    pub owner: Option<usize>,
    /// Whether a shed or unreadable reply may have lowered the allowance.
    pub failed: bool,
    pub probe: [Option<u64>; 2],
    pub refuses: bool,
    pub starts_us: Vec<u64>,
    pub successes: u32,
}

/// A request that ended without a reply of its target, or that a previous owner sent.
#[derive(Clone, Copy, Debug)]
pub struct Unproved {
    /// Gate that counts it.
    pub gate: usize,
    pub instance: u64,
    pub replica: usize,
    /// The target runs it until then, if the sender has given it up.
    pub until_us: u64,
}
