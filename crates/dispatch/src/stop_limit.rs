/// Time between the last answers of a stopping node and its end, in which they are written.
const ANSWER_MARGIN_US: u64 = 200_000;

/// The end of a node that was told to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopLimit {
    /// Time at which the process ends, whatever is still open.
    pub ends_us: u64,
}

impl StopLimit {
    /// Returns the time by which every request gets its final answer, also one whose replica is
    /// still at work.
    #[must_use]
    pub const fn answers_due_us(self) -> u64 {
        self.ends_us.saturating_sub(ANSWER_MARGIN_US)
    }

    /// Whether a request that is read now is still sent to a replica. Later requests are refused,
    /// because they would probably end without their result; another node can serve them.
    #[must_use]
    pub const fn accepts(self, now_us: u64, target_latency_ms: u64) -> bool {
        now_us + target_latency_ms.saturating_mul(1_000) <= self.answers_due_us()
    }
}
