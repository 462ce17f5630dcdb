use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Wake;
use std::task::Waker;

use crate::process::loop_times::LoopTimes;

/// Marks an unknown time.
const UNKNOWN_US: u64 = u64::MAX;

/// Determines the earliest time at which the result of a poll may have arrived.
///
/// The event loop wakes a task when it finds the event; on a busy node the task may be polled
/// much later. The time is therefore taken at the wake-up.
#[derive(Debug)]
pub(crate) struct ArrivalProbe {
    arrived_us: u64,
    times: Arc<LoopTimes>,
    waker: Option<Arc<ArrivalWaker>>,
}

/// Forwards a wake-up to the task and records when its cause may have arrived.
#[derive(Debug)]
struct ArrivalWaker {
    arrived_us: AtomicU64,
    task: Waker,
    times: Arc<LoopTimes>,
}

impl Wake for ArrivalWaker {
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
    /// Creates a probe of a source whose data may have been waiting since `arrived_us`.
    pub(crate) const fn new(times: Arc<LoopTimes>, arrived_us: u64) -> Self {
        Self {
            arrived_us,
            times,
            waker: None,
        }
    }

    /// Returns the earliest time at which the result of the last poll may have arrived.
    pub(crate) const fn arrived_us(&self) -> u64 {
        self.arrived_us
    }

    /// Polls and records the earliest time at which the result may have arrived.
    pub(crate) fn poll<T>(
        &mut self,
        cx: &Context<'_>,
        poll: impl FnOnce(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        let arrival_waker = self.waker(cx);
        let waker = Waker::from(arrival_waker.clone());
        let result = poll(&mut Context::from_waker(&waker));
        let arrived_us = arrival_waker.arrived_us.swap(UNKNOWN_US, Ordering::Relaxed);
        if result.is_ready() && arrived_us != UNKNOWN_US {
            self.arrived_us = arrived_us;
        }
        result
    }

    fn waker(&mut self, cx: &Context<'_>) -> Arc<ArrivalWaker> {
        if let Some(waker) = &self.waker
            && waker.task.will_wake(cx.waker())
        {
            return waker.clone();
        }
        let waker = Arc::new(ArrivalWaker {
            arrived_us: AtomicU64::new(UNKNOWN_US),
            task: cx.waker().clone(),
            times: self.times.clone(),
        });
        self.waker = Some(waker.clone());
        waker
    }
}
