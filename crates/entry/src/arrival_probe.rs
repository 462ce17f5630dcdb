use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Wake;
use std::task::Waker;

use crate::loop_times::LoopTimes;

/// Value of a time that is not known.
const UNKNOWN_US: u64 = u64::MAX;

/// Finds out since when what a poll returns may have been waiting.
///
/// A wake-up comes from the look of the event loop that found the event; the task may be
/// polled much later, when the node is busy.
#[derive(Debug)]
pub(crate) struct ArrivalProbe {
    arrived_us: u64,
    times: Arc<LoopTimes>,
    waker: Option<Arc<FoundWaker>>,
}

/// Passes a wake-up on, and keeps when its cause may have come.
#[derive(Debug)]
struct FoundWaker {
    arrived_us: AtomicU64,
    task: Waker,
    times: Arc<LoopTimes>,
}

impl Wake for FoundWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if self.arrived_us.load(Ordering::Relaxed) == UNKNOWN_US {
            let arrived_us = self.times.earliest_arrival_us();
            self.arrived_us.store(arrived_us, Ordering::Relaxed);
        }
        self.task.wake_by_ref();
    }
}

impl ArrivalProbe {
    /// A probe of something that may have been waiting since `arrived_us` already.
    pub(crate) const fn new(times: Arc<LoopTimes>, arrived_us: u64) -> Self {
        Self {
            arrived_us,
            times,
            waker: None,
        }
    }

    /// Earliest time at which what the newest poll returned may have come.
    pub(crate) const fn arrived_us(&self) -> u64 {
        self.arrived_us
    }

    /// Polls, and notes since when the result may have been there.
    pub(crate) fn poll<T>(
        &mut self,
        cx: &Context<'_>,
        poll: impl FnOnce(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        let found = self.waker(cx);
        let waker = Waker::from(found.clone());
        let result = poll(&mut Context::from_waker(&waker));
        let arrived_us = found.arrived_us.swap(UNKNOWN_US, Ordering::Relaxed);
        if result.is_ready() && arrived_us != UNKNOWN_US {
            self.arrived_us = arrived_us;
        }
        result
    }

    fn waker(&mut self, cx: &Context<'_>) -> Arc<FoundWaker> {
        if let Some(waker) = &self.waker
            && waker.task.will_wake(cx.waker())
        {
            return waker.clone();
        }
        let waker = Arc::new(FoundWaker {
            arrived_us: AtomicU64::new(UNKNOWN_US),
            task: cx.waker().clone(),
            times: self.times.clone(),
        });
        self.waker = Some(waker.clone());
        waker
    }
}
