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
use crate::job_queue::JobQueue;
use crate::target_counters::Counters;

/// Connections to the target of one replica, and the queues of jobs that wait for them.
pub(crate) struct Replica {
    pub(crate) address: SocketAddr,
    /// Control jobs (cancellations and probes), if `separate_control` is set; served only by
    /// connection 0.
    control: JobQueue,
    pub(crate) counters: Counters,
    pub(crate) connect_timeout: Duration,
    /// Requests; served by the connections with index 1 and higher, or by the only connection.
    pub(crate) requests: JobQueue,
    /// Whether cancellations and probes have a queue and a connection of their own. If the
    /// replica has a single connection, it serves them and requests from one queue.
    separate_control: bool,
    /// Counters of the whole pool.
    pool_counters: Arc<Counters>,
    /// Number of connections to keep open. Connections whose index is not below it are
    /// surplus and close once idle.
    desired_count: watch::Sender<u32>,
    /// Whether the task of each connection is running. Each connection has at most one task,
    /// even if the replica is closed and opened again, so that the number of connections
    /// never exceeds the limit.
    running_tasks: Mutex<Vec<bool>>,
}

impl Replica {
    pub(crate) fn new(
        address: SocketAddr,
        connect_timeout: Duration,
        separate_control: bool,
        pool_counters: Arc<Counters>,
    ) -> Arc<Self> {
        Arc::new(Self {
            address,
            control: JobQueue::new(),
            counters: Counters::default(),
            connect_timeout,
            requests: JobQueue::new(),
            separate_control,
            pool_counters,
            desired_count: watch::channel(0).0,
            running_tasks: Mutex::default(),
        })
    }

    pub(crate) fn increment(&self, counter: impl Fn(&Counters) -> &AtomicU64) {
        counter(&self.counters).fetch_add(1, Ordering::Relaxed);
        counter(&self.pool_counters).fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn decrement_open(&self) {
        self.counters.open.fetch_sub(1, Ordering::Relaxed);
        self.pool_counters.open.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn is_closed(&self) -> bool {
        *self.desired_count.borrow() == 0
    }

    pub(crate) fn queue(&self, index: u32) -> &JobQueue {
        if self.separate_control && index == 0 {
            &self.control
        } else {
            &self.requests
        }
    }

    fn queue_for(&self, control: bool) -> &JobQueue {
        if control {
            self.queue(0)
        } else {
            &self.requests
        }
    }

    pub(crate) fn is_opened_with(&self, address: SocketAddr, separate_control: bool) -> bool {
        self.address == address && self.separate_control == separate_control
    }

    /// Returns whether connection `index` is surplus, in which case its task must end, and
    /// records whether the task continues to run.
    pub(crate) fn end_task_if_surplus(&self, index: u32) -> bool {
        let mut running_tasks = self
            .running_tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let surplus = index >= *self.desired_count.borrow();
        running_tasks[index as usize] = !surplus;
        surplus
    }

    pub(crate) fn set_desired_count(self: &Arc<Self>, count: u32, runtime: &Handle) {
        let mut running_tasks = self
            .running_tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // An unchanged count must not wake connection tasks from their backoff.
        self.desired_count
            .send_if_modified(|desired_count| std::mem::replace(desired_count, count) != count);
        if running_tasks.len() < count as usize {
            running_tasks.resize(count as usize, false);
        }
        for (index, running) in (0..count).zip(running_tasks.iter_mut()) {
            if !std::mem::replace(running, true) {
                runtime.spawn(connection::run(Arc::clone(self), index));
            }
        }
        drop(running_tasks);
        if count == 0 {
            self.control.end_all_unreachable();
            self.requests.end_all_unreachable();
        }
    }

    /// Queues a job, which ends as unreachable if no connection takes it before its deadline.
    pub(crate) fn submit(self: &Arc<Self>, job: Job, runtime: &Handle) {
        let control = !matches!(job.kind, JobKind::Run { .. });
        let deadline = job.deadline;
        let job_id = self.queue_for(control).push(job);
        if self.is_closed() {
            self.queue_for(control).end_unreachable(job_id);
            return;
        }
        let replica = Arc::clone(self);
        runtime.spawn(async move {
            tokio::time::sleep_until(deadline).await;
            replica.queue_for(control).end_unreachable(job_id);
        });
    }

    pub(crate) fn watch_desired_count(&self) -> watch::Receiver<u32> {
        self.desired_count.subscribe()
    }
}
