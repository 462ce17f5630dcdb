//! State of one simulated target.

use wigeonhall_types::ClassKey;
use wigeonhall_types::HandOverState;

/// A request that a target runs.
#[derive(Clone, Debug)]
pub struct Run {
    pub class: ClassKey,
    pub deadline_us: u64,
    pub gate: usize,
    pub instance: u64,
    pub replica: usize,
    /// Index of the event that started it.
    pub started_at: u64,
}

#[derive(Debug, Default)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent switches of the target"
)]
pub struct Target {
    pub is_draining: bool,
    /// Hand-over in transit: the receiving gate, the epoch and the state.
    pub pending_hand_over: Option<(usize, u64, HandOverState)>,
    pub instance: u64,
    /// Instance identity that the owner knows.
    pub known_instance: Option<u64>,
    /// Index of the event by which the owner learned that the replica is cold.
    pub cold_since: u64,
    /// Index of the event with the latest `Draining` or `Unreachable` reply; `None` while the
    /// target accepts requests.
    pub rejecting_since: Option<u64>,
    pub out: bool,
    pub owner: Option<usize>,
    /// Whether a shed request or an unreadable reply may have reduced the allowance: the requests
    /// that the ramp lets run at once.
    pub allowance_may_be_reduced: bool,
    /// For each gate, the index of the event by which it sent the probe in flight.
    pub probe_sent_at: [Option<u64>; 2],
    pub refuses_connections: bool,
    pub starts_us: Vec<u64>,
    /// Successful replies since the replica became cold. Bounds the doublings of the ramp, which
    /// raises the limits of a cold replica.
    pub successes: u32,
}

/// A request that ended without a reply of its target, or that a previous owner sent.
#[derive(Clone, Copy, Debug)]
pub struct UnconfirmedRequest {
    /// Gate that counts the request.
    pub gate: usize,
    pub instance: u64,
    pub replica: usize,
    /// Time until which the target runs the request after the sender's timeout; 0 if it does
    /// not.
    pub runs_until_us: u64,
}
