//! Timer queue of the coordinator.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::QueryId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::NodeKey;

/// Event that a timer triggers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// Deadline of a request.
    Deadline(QueryId),
    /// Time at which an overdue leg of a read (its share for one shard service) is hedged, or end
    /// of the wait of a leg; valid while the leg has this timer id.
    Leg {
        id: QueryId,
        leg: u32,
        timer_id: u64,
    },
    /// Recheck of the requests of a class that wait for reports of replica owners.
    Recheck(ClassKey),
    /// Refresh of the reports of an owner, the node through which all requests to its replicas
    /// go.
    Refresh(NodeKey),
    /// End of the wait of an answered write for a late outcome, which is stored in its claim.
    Settle(QueryId),
    /// End of the wait of a write, or of a read for which no index version is chosen yet; valid
    /// while the request has this timer id.
    Wait { id: QueryId, timer_id: u64 },
}

/// Timers ordered by time. Timers can't be cancelled; the handler of a timer checks whether it
/// is still valid.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(u64, Timer)>>,
}

impl Timers {
    pub fn set(&mut self, at_us: u64, timer: Timer) {
        self.heap.push(Reverse((at_us, timer)));
    }

    /// Returns the time of the earliest timer.
    pub fn next_us(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((at_us, _))| *at_us)
    }

    /// Returns the earliest timer.
    pub fn peek(&self) -> Option<Timer> {
        self.heap.peek().map(|Reverse((_, timer))| *timer)
    }

    /// Removes and returns the earliest timer if it is due before `before_us`.
    pub fn pop_before(&mut self, before_us: u64) -> Option<(u64, Timer)> {
        if self.next_us()? >= before_us {
            return None;
        }
        self.heap.pop().map(|Reverse(first)| first)
    }

    /// Removes the earliest timer.
    pub fn drop_first(&mut self) {
        self.heap.pop();
    }
}
