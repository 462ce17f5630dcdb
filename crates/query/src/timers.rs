use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::QueryId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::NodeKey;

/// What is due at a time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Timer {
    /// Deadline of a request.
    Deadline(QueryId),
    /// A late or waiting part of a read; valid while the part has this stamp.
    Part {
        id: QueryId,
        part: u32,
        timer_id: u64,
    },
    /// A second look at the requests of a class that wait for reports.
    Recheck(ClassKey),
    /// Age check of the reports of an owner.
    Refresh(NodeKey),
    /// End of the wait for a late reply that settles a claim.
    Settle(QueryId),
    /// End of the wait of a request as a whole; valid while it has this stamp.
    Wait { id: QueryId, timer_id: u64 },
}

/// Timers by time. A timer is never removed early; its receiver checks that it still
/// applies.
#[derive(Debug, Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<(u64, Timer)>>,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at_us: u64, timer: Timer) {
        self.heap.push(Reverse((at_us, timer)));
    }

    /// Time of the first timer.
    pub fn next_us(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((at_us, _))| *at_us)
    }

    /// First timer.
    pub fn peek(&self) -> Option<Timer> {
        self.heap.peek().map(|Reverse((_, timer))| *timer)
    }

    /// Removes the first timer if it is due before `before_us`.
    pub fn pop_before(&mut self, before_us: u64) -> Option<(u64, Timer)> {
        if self.next_us()? >= before_us {
            return None;
        }
        self.heap.pop().map(|Reverse(first)| first)
    }

    /// Removes the first timer.
    pub fn drop_first(&mut self) {
        self.heap.pop();
    }
}
