use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::watch;

use crate::connection;
use crate::job::Job;
use crate::job::JobKind;
use crate::lane::Lane;
use crate::target_counters::Counters;

/// Connections of one replica and the jobs that wait for them.
pub(crate) struct Replica {
    pub(crate) address: SocketAddr,
    /// Cancellations and probes; served by connection 0 alone.
    control: Lane,
    pub(crate) counters: Counters,
    pub(crate) dial_timeout: Duration,
    /// Requests; served by the connections from 1.
    pub(crate) requests: Lane,
    /// Whether there are two lanes; a single connection serves all in one.
    split: bool,
    /// Counters of the whole pool.
    totals: Arc<Counters>,
    /// Number of connections to hold; those with a higher index close once idle.
    wanted: watch::Sender<u32>,
    /// Whether the task of each connection runs. At most one does, also when the
    /// replica is closed and opened again, so the count is never exceeded.
    workers: Mutex<Vec<bool>>,
}

impl Replica {
    pub(crate) fn new(
        address: SocketAddr,
        dial_timeout: Duration,
        split: bool,
        totals: Arc<Counters>,
    ) -> Arc<Self> {
        Arc::new(Self {
            address,
            control: Lane::new(),
            counters: Counters::default(),
            dial_timeout,
            requests: Lane::new(),
            split,
            totals,
            wanted: watch::channel(0).0,
            workers: Mutex::default(),
        })
    }

    pub(crate) fn count(&self, counter: impl Fn(&Counters) -> &AtomicU64) {
        counter(&self.counters).fetch_add(1, Ordering::Relaxed);
        counter(&self.totals).fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_closed(&self) {
        self.counters.open.fetch_sub(1, Ordering::Relaxed);
        self.totals.open.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn is_closed(&self) -> bool {
        *self.wanted.borrow() == 0
    }

    pub(crate) fn lane(&self, index: u32) -> &Lane {
        if self.split && index == 0 {
            &self.control
        } else {
            &self.requests
        }
    }

    fn lane_of(&self, control: bool) -> &Lane {
        if control {
            self.lane(0)
        } else {
            &self.requests
        }
    }

    pub(crate) fn matches(&self, address: SocketAddr, split: bool) -> bool {
        self.address == address && self.split == split
    }

    /// Ends the task of connection `index` if it is no longer wanted.
    pub(crate) fn retire(&self, index: u32) -> bool {
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        let retired = index >= *self.wanted.borrow();
        workers[index as usize] = !retired;
        retired
    }

    pub(crate) fn set_wanted(self: &Arc<Self>, count: u32, handle: &Handle) {
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        // An unchanged count must not wake connections that wait before they dial.
        self.wanted
            .send_if_modified(|wanted| std::mem::replace(wanted, count) != count);
        if workers.len() < count as usize {
            workers.resize(count as usize, false);
        }
        for (index, running) in (0..count).zip(workers.iter_mut()) {
            if !std::mem::replace(running, true) {
                handle.spawn(connection::run(Arc::clone(self), index));
            }
        }
        drop(workers);
        if count == 0 {
            self.control.fail_all();
            self.requests.fail_all();
        }
    }

    /// Queues a job; it ends as not sent if no connection takes it in time.
    pub(crate) fn submit(self: &Arc<Self>, job: Job, handle: &Handle) {
        let control = !matches!(job.kind, JobKind::Run { .. });
        let deadline = job.deadline;
        let ticket = self.lane_of(control).push(job);
        if self.is_closed() {
            self.lane_of(control).expire(ticket);
            return;
        }
        let replica = Arc::clone(self);
        handle.spawn(async move {
            tokio::time::sleep_until(deadline).await;
            replica.lane_of(control).expire(ticket);
        });
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u32> {
        self.wanted.subscribe()
    }
}
