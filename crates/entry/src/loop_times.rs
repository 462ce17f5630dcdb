use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use wigeonhall_dispatch::EventPoll;

use crate::clock::Clock;

/// When the event loop looked for events.
///
/// The runtime's hooks and wakers write here; they have to be `Sync`, although all of them
/// run on one thread.
#[derive(Debug)]
pub(crate) struct LoopTimes {
    clock: Clock,
    /// Time up to which all that had come is known; before `parked_us` during a look.
    known_until_us: AtomicU64,
    /// When the newest look began.
    parked_us: AtomicU64,
    /// When the periodic timer of the process is due.
    timer_due_us: AtomicU64,
}

impl LoopTimes {
    pub(crate) const fn new(clock: Clock) -> Self {
        Self {
            clock,
            known_until_us: AtomicU64::new(0),
            parked_us: AtomicU64::new(0),
            timer_due_us: AtomicU64::new(u64::MAX / 2),
        }
    }

    /// Records that the loop looks for events.
    pub(crate) fn parked(&self) {
        self.parked_us.store(self.clock.now_us(), Ordering::Relaxed);
    }

    /// Records that the loop goes on with its tasks.
    pub(crate) fn resumed(&self) {
        let known_until_us = self.look().known_after_us(self.clock.now_us());
        self.known_until_us.store(known_until_us, Ordering::Relaxed);
    }

    /// Records when the periodic timer is due.
    pub(crate) fn set_timer_due(&self, at_us: u64) {
        self.timer_due_us.store(at_us, Ordering::Relaxed);
    }

    /// Earliest time at which an event may have come that is reported now.
    pub(crate) fn earliest_arrival_us(&self) -> u64 {
        let look = self.look();
        if look.known_until_us > look.began_us {
            // A task reports it; the look that found its cause has ended.
            return look.known_until_us;
        }
        look.earliest_arrival_us(self.clock.now_us())
    }

    fn look(&self) -> EventPoll {
        EventPoll {
            began_us: self.parked_us.load(Ordering::Relaxed),
            known_until_us: self.known_until_us.load(Ordering::Relaxed),
            timer_due_us: self.timer_due_us.load(Ordering::Relaxed),
        }
    }
}
