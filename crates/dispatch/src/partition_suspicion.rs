/// Time after a failed message for which this node may be cut off from others.
const SUSPICION_US: u64 = 10_000_000;

/// Shortest time between two messages by which nodes tell each other of failures.
const MESSAGE_INTERVAL_US: u64 = 5_000_000;

/// Whether this node, or the nodes around it, may be cut off from others.
///
/// Nodes that are cut off together learn of it by the first failure of any of them, before each has
/// admitted a request on its own.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PartitionSuspicion {
    /// Time until which the other nodes need not be told.
    told_until_us: u64,
    until_us: u64,
}

impl PartitionSuspicion {
    pub(crate) const fn is_active(&self, now_us: u64) -> bool {
        now_us < self.until_us
    }

    /// Records that an owner did not reply to a report.
    pub(crate) const fn record_failure(&mut self, now_us: u64) {
        self.until_us = now_us + SUSPICION_US;
    }

    /// Records that an owner did not reply to a question. Its timeout is so short that a busy owner
    /// may exceed it, which only shows that a suspicion still holds.
    pub(crate) const fn record_question_failure(&mut self, now_us: u64) {
        if self.is_active(now_us) {
            self.until_us = now_us + SUSPICION_US;
        }
    }

    /// Records that another node failed to reach an owner, and has told the others.
    pub(crate) const fn record_message(&mut self, now_us: u64) {
        self.until_us = now_us + SUSPICION_US;
        self.told_until_us = now_us + MESSAGE_INTERVAL_US;
    }

    /// Returns whether the other nodes must be told now.
    pub(crate) const fn take_message(&mut self, now_us: u64) -> bool {
        let due = self.is_active(now_us) && now_us >= self.told_until_us;
        if due {
            self.told_until_us = now_us + MESSAGE_INTERVAL_US;
        }
        due
    }
}
