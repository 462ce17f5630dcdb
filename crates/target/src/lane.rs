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

/// Jobs that wait for a connection, and the state of the connections that serve
/// them.
pub(crate) struct Lane {
    /// Connections of this lane that broke so far.
    pub(crate) breaks: AtomicU64,
    pub(crate) dialing: AtomicU32,
    next_ticket: AtomicU64,
    pub(crate) open: AtomicU32,
    /// Jobs that wait, by ticket. Who removes a job ends it.
    pending: Mutex<BTreeMap<u64, Job>>,
    /// Wakes a connection that waits before it dials again.
    pub(crate) redial: Notify,
    /// Tickets in order; those of jobs that ended otherwise are skipped.
    tickets: (Sender<u64>, Receiver<u64>),
}

impl Lane {
    pub(crate) fn new() -> Self {
        Self {
            breaks: AtomicU64::new(0),
            dialing: AtomicU32::new(0),
            next_ticket: AtomicU64::new(0),
            open: AtomicU32::new(0),
            pending: Mutex::default(),
            redial: Notify::new(),
            tickets: flume::unbounded(),
        }
    }

    /// Takes a waiting request out, if it has not been sent.
    pub(crate) fn cancel(&self, attempt: AttemptId) -> bool {
        let mut pending = self.lock();
        let ticket = pending
            .iter()
            .find(|(_, job)| job.is_attempt(attempt))
            .map(|(&ticket, _)| ticket);
        let job = ticket.and_then(|ticket| pending.remove(&ticket));
        drop(pending);
        let found = job.is_some();
        if let Some(job) = job {
            job.reply.finish(TargetOutcome::Cancelled);
        }
        found
    }

    /// Ends the job of `ticket` as not sent, if it still waits.
    pub(crate) fn expire(&self, ticket: u64) {
        // Dropping an unsent job reports it as unreachable.
        drop(self.take(ticket));
    }

    /// Ends all waiting jobs as not sent.
    pub(crate) fn fail_all(&self) {
        let jobs = std::mem::take(&mut *self.lock());
        drop(jobs);
    }

    /// Ends all waiting jobs as not sent if no connection is open or being dialed.
    pub(crate) fn fail_all_if_unreachable(&self) {
        if self.open.load(Ordering::SeqCst) == 0 && self.dialing.load(Ordering::SeqCst) == 0 {
            self.fail_all();
        }
    }

    /// Waits for the next job. Cancelling the wait loses no job.
    pub(crate) async fn next(&self) -> Option<Job> {
        loop {
            let ticket = self.tickets.1.recv_async().await.ok()?;
            if let Some(job) = self.take(ticket) {
                return Some(job);
            }
        }
    }

    /// Adds a job and returns its ticket.
    pub(crate) fn push(&self, mut job: Job) -> u64 {
        let deadline = job.deadline;
        let ticket = job
            .ticket
            .unwrap_or_else(|| self.next_ticket.fetch_add(1, Ordering::Relaxed));
        job.ticket = Some(ticket);
        job.breaks
            .get_or_insert_with(|| self.breaks.load(Ordering::SeqCst));
        self.lock().insert(ticket, job);
        // The channel is unbounded and its receiver lives as long as the lane.
        let _ = self.tickets.0.send(ticket);
        if self.open.load(Ordering::SeqCst) == 0 {
            self.redial.notify_one();
        }
        // The timer of a job that comes back may have fired before it came.
        if Instant::now() >= deadline {
            self.expire(ticket);
        }
        ticket
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Job>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, ticket: u64) -> Option<Job> {
        self.lock().remove(&ticket)
    }
}
