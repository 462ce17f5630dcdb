use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time;

use wigeonhall_dispatch::EventPoll;

use crate::process::clock::Clock;

/// Interval at which the times of polls are recorded while the loop is never idle; requests may seem
/// older by as much. Each record wakes an idle node, which a shorter interval would do too often.
const BUSY_MARK_INTERVAL: Duration = Duration::from_millis(200);

/// Times at which the event loop polled for events.
///
/// Uses atomics because the runtime's hooks and wakers, which write the times, must be `Sync`,
/// although all of them run on one thread.
#[derive(Debug)]
pub(crate) struct LoopTimes {
    clock: Clock,
    /// Time up to which polls have returned all events that had arrived; earlier than
    /// `poll_began_us` during a poll.
    known_until_us: AtomicU64,
    /// Start of the last poll.
    poll_began_us: AtomicU64,
    /// Time at which the periodic timer is due, which ends a poll at the latest; a later wake-up
    /// shows that the process was paused.
    timer_due_us: AtomicU64,
}

impl LoopTimes {
    pub(crate) const fn new(clock: Clock) -> Self {
        Self {
            clock,
            known_until_us: AtomicU64::new(0),
            poll_began_us: AtomicU64::new(0),
            // Never due; halved so that additions do not overflow.
            timer_due_us: AtomicU64::new(u64::MAX / 2),
        }
    }

    /// Records that the loop begins to poll for events.
    pub(crate) fn mark_poll_began(&self) {
        self.poll_began_us
            .store(self.clock.now_us(), Ordering::Relaxed);
    }

    /// Records that the poll has ended and the loop resumes its tasks.
    pub(crate) fn mark_poll_ended(&self) {
        let known_until_us = self.last_poll().known_after_us(self.clock.now_us());
        self.known_until_us.store(known_until_us, Ordering::Relaxed);
    }

    /// Records that a poll which began after `at_us` has ended.
    fn mark_polled_since(&self, at_us: u64) {
        self.known_until_us.fetch_max(at_us, Ordering::Relaxed);
    }

    /// Records when the periodic timer is due.
    pub(crate) fn set_timer_due(&self, at_us: u64) {
        self.timer_due_us.store(at_us, Ordering::Relaxed);
    }

    /// Returns the earliest time at which an event reported now may have arrived.
    pub(crate) fn earliest_arrival_us(&self) -> u64 {
        let poll = self.last_poll();
        if poll.known_until_us > poll.began_us {
            // No poll is in progress: a task reports the event, whose cause an earlier poll found.
            return poll.known_until_us;
        }
        poll.earliest_arrival_us(self.clock.now_us())
    }

    fn last_poll(&self) -> EventPoll {
        EventPoll {
            began_us: self.poll_began_us.load(Ordering::Relaxed),
            known_until_us: self.known_until_us.load(Ordering::Relaxed),
            timer_due_us: self.timer_due_us.load(Ordering::Relaxed),
        }
    }
}

/// Records polls also while the loop is never idle: the runtime then polls between tasks without
/// calling its hooks, and requests would seem to have waited since the loop was idle last.
///
/// A timer that is started now ends in a poll that begins later, so that all events that have
/// arrived by now are known once it ends.
pub(crate) async fn mark_polls(times: Arc<LoopTimes>) {
    loop {
        let began_us = times.clock.now_us();
        time::sleep(BUSY_MARK_INTERVAL).await;
        times.mark_polled_since(began_us);
    }
}
