use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use flume::Receiver;
use flume::Sender;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::job::Job;
use wigeonhall_types::AttemptId;
use wigeonhall_types::TargetOutcome;

/// Queue of jobs that wait for a connection, with counters of the connections that serve it.
pub(crate) struct JobQueue {
    /// Number of connections of this queue that have broken.
    pub(crate) broken_connections: AtomicU64,
    pub(crate) connecting: AtomicU32,
    next_job_id: AtomicU64,
    pub(crate) open: AtomicU32,
    /// Waiting jobs by job id. Whatever removes a job has to end it.
    waiting: Mutex<BTreeMap<u64, Job>>,
    /// Wakes a connection task from its backoff, so that it reconnects.
    pub(crate) reconnect: Notify,
    /// Channel of job ids in the order of sending. Ids of jobs that are no longer waiting are
    /// skipped.
    job_ids: (Sender<u64>, Receiver<u64>),
}

impl JobQueue {
    pub(crate) fn new() -> Self {
        Self {
            broken_connections: AtomicU64::new(0),
            connecting: AtomicU32::new(0),
            next_job_id: AtomicU64::new(0),
            open: AtomicU32::new(0),
            waiting: Mutex::default(),
            reconnect: Notify::new(),
            job_ids: flume::unbounded(),
        }
    }

    /// Ends a waiting request as cancelled. Returns false if it is not waiting.
    pub(crate) fn cancel(&self, attempt: AttemptId) -> bool {
        let mut waiting = self.lock_waiting();
        let job_id = waiting
            .iter()
            .find(|(_, job)| job.is_attempt(attempt))
            .map(|(&job_id, _)| job_id);
        let job = job_id.and_then(|job_id| waiting.remove(&job_id));
        drop(waiting);
        let found = job.is_some();
        if let Some(job) = job {
            job.reply.finish(TargetOutcome::Cancelled);
        }
        found
    }

    /// Ends a job as unreachable if it is still waiting.
    pub(crate) fn end_unreachable(&self, job_id: u64) {
        // Dropping an unsent job reports it as unreachable.
        drop(self.remove(job_id));
    }

    /// Ends all waiting jobs as unreachable.
    pub(crate) fn end_all_unreachable(&self) {
        let jobs = std::mem::take(&mut *self.lock_waiting());
        drop(jobs);
    }

    /// Ends all waiting jobs as unreachable if no connection is open or being opened.
    pub(crate) fn end_all_unless_connected(&self) {
        if self.open.load(Ordering::SeqCst) == 0 && self.connecting.load(Ordering::SeqCst) == 0 {
            self.end_all_unreachable();
        }
    }

    /// Waits for the next job and removes it from the queue. Dropping the future loses no job.
    pub(crate) async fn next_job(&self) -> Option<Job> {
        loop {
            let job_id = self.job_ids.1.recv_async().await.ok()?;
            if let Some(job) = self.remove(job_id) {
                return Some(job);
            }
        }
    }

    /// Adds a job and returns its id.
    pub(crate) fn push(&self, mut job: Job) -> u64 {
        let deadline = job.deadline;
        let job_id = job
            .id
            .unwrap_or_else(|| self.next_job_id.fetch_add(1, Ordering::Relaxed));
        job.id = Some(job_id);
        // Set at the first push only; `Job::may_use` compares it with each connection.
        job.broken_before_push
            .get_or_insert_with(|| self.broken_connections.load(Ordering::SeqCst));
        self.lock_waiting().insert(job_id, job);
        // This cannot fail: the channel is unbounded and the queue owns its receiver.
        let _ = self.job_ids.0.send(job_id);
        if self.open.load(Ordering::SeqCst) == 0 {
            self.reconnect.notify_one();
        }
        // The timer of a requeued job may have fired while the job was not in the queue.
        if Instant::now() >= deadline {
            self.end_unreachable(job_id);
        }
        job_id
    }

    fn lock_waiting(&self) -> MutexGuard<'_, BTreeMap<u64, Job>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn remove(&self, job_id: u64) -> Option<Job> {
        self.lock_waiting().remove(&job_id)
    }
}
