use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::time::Instant;

use crate::TargetCounters;
use crate::job::Job;
use crate::job::JobKind;
use crate::message;
use crate::replica::Replica;
use crate::target_counters::Counters;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

/// Timeout of a control job (a cancellation or a probe), including the wait for a connection.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pool of connections to targets; a target is the process of a replica. Dropping the pool closes
/// each connection once it is idle.
pub struct TargetPool {
    control_timeout: Duration,
    connect_timeout: Duration,
    runtime: Handle,
    /// Also contains closed replicas, because their connections may still be busy.
    replicas: Mutex<BTreeMap<ReplicaKey, Arc<Replica>>>,
    counters: Arc<Counters>,
}

impl std::fmt::Debug for TargetPool {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("TargetPool")
            .field("counters", &self.counters())
            .finish_non_exhaustive()
    }
}

impl TargetPool {
    /// Creates a pool without connections. Its tasks run on `runtime`.
    #[must_use]
    pub fn new(runtime: Handle) -> Self {
        Self {
            control_timeout: CONTROL_TIMEOUT,
            connect_timeout: CONNECT_TIMEOUT,
            runtime,
            replicas: Mutex::default(),
            counters: Arc::default(),
        }
    }

    /// Sets the timeout of opening a connection, and the timeout of a cancellation or a probe,
    /// which includes the wait for a connection.
    #[must_use]
    pub const fn with_timeouts_ms(mut self, connect_ms: u64, control_ms: u64) -> Self {
        self.control_timeout = Duration::from_millis(control_ms);
        self.connect_timeout = Duration::from_millis(connect_ms);
        self
    }

    /// Cancels a request that was sent but ended without a reply, and checks whether it still
    /// runs. Calls `on_reply` with `UnknownAttempt` if the target does not run the request,
    /// with `Cancelled` if the target runs it and accepted the cancellation, and otherwise with
    /// the reason why that is unknown.
    pub fn poll_end(
        &self,
        replica: ReplicaKey,
        attempt: AttemptId,
        on_reply: impl FnOnce(TargetReply) + Send + 'static,
    ) {
        let deadline = Instant::now() + self.control_timeout;
        let job = Job::new(JobKind::Cancel { attempt }, deadline, on_reply);
        // If the replica is unknown, dropping the job reports it as unreachable.
        if let Some(replica) = self.find(replica) {
            replica.submit(job, &self.runtime);
        }
    }

    /// Cancels a request. A request that is still waiting for a connection ends at once as
    /// cancelled. Otherwise the cancellation is sent over the control connection, and the
    /// request ends with the target's reply to it.
    pub fn cancel(&self, replica: ReplicaKey, attempt: AttemptId) {
        let Some(replica) = self.find(replica) else {
            return;
        };
        if !replica.requests.cancel(attempt) {
            let deadline = Instant::now() + self.control_timeout;
            let job = Job::new(JobKind::Cancel { attempt }, deadline, |_| ());
            replica.submit(job, &self.runtime);
        }
    }

    /// Closes each connection of the replica once it is idle. Waiting requests end as
    /// unreachable.
    pub fn close(&self, replica: ReplicaKey) {
        if let Some(replica) = self.find(replica) {
            replica.set_desired_count(0, &self.runtime);
        }
    }

    /// Returns the counters of the whole pool.
    #[must_use]
    pub fn counters(&self) -> TargetCounters {
        self.counters.snapshot()
    }

    /// Keeps `count` connections to the replica open: opens missing ones at once and reopens
    /// lost ones. If `count` is at least two, the first one is the control connection, which
    /// carries only cancellations and probes.
    pub fn open(&self, replica: ReplicaKey, address: SocketAddr, count: u32) {
        let separate_control = count > 1;
        let mut replicas = self.replicas.lock().unwrap_or_else(PoisonError::into_inner);
        let existing = replicas.get(&replica).cloned();
        let connect_timeout = self.connect_timeout;
        let reusable = existing.filter(|existing| {
            let reusable = existing.is_opened_with(address, separate_control);
            if !reusable {
                existing.set_desired_count(0, &self.runtime);
            }
            reusable
        });
        let current = reusable.unwrap_or_else(|| {
            Replica::new(
                address,
                connect_timeout,
                separate_control,
                Arc::clone(&self.counters),
            )
        });
        current.set_desired_count(count, &self.runtime);
        replicas.insert(replica, current);
    }

    /// Asks the target for its health over the control connection, which `open` describes. If
    /// the target is ready, the outcome is `Answered` with no rows and its newest version.
    pub fn probe(&self, replica: ReplicaKey, on_reply: impl FnOnce(TargetReply) + Send + 'static) {
        let deadline = Instant::now() + self.control_timeout;
        let job = Job::new(JobKind::Probe, deadline, on_reply);
        if let Some(replica) = self.find(replica) {
            replica.submit(job, &self.runtime);
        }
    }

    /// Returns the counters of one replica since it was opened at its current address.
    #[must_use]
    pub fn replica_counters(&self, replica: ReplicaKey) -> TargetCounters {
        self.find(replica)
            .map(|replica| replica.counters.snapshot())
            .unwrap_or_default()
    }

    /// Sends a request over a connection to its replica. Calls `on_reply` exactly once, on a
    /// thread of the runtime or on the calling thread. The outcome is `Unreachable` if no byte
    /// was sent within the timeout or the request is too large, and `ConnectionLost` if the
    /// connection broke after the request may have been sent.
    pub fn send(
        &self,
        sub: &SubRequest,
        class_name: &str,
        timeout_us: u64,
        on_reply: impl FnOnce(TargetReply) + Send + 'static,
    ) {
        let Some(body) = message::run_body(sub, class_name) else {
            on_reply(TargetReply {
                instance: None,
                outcome: TargetOutcome::Unreachable,
                served: Vec::new(),
            });
            return;
        };
        let attempt = sub.attempt;
        let deadline = Instant::now() + Duration::from_micros(timeout_us);
        // If the replica is unknown, dropping the job reports it as unreachable.
        let job = Job::new(JobKind::Run { attempt, body }, deadline, on_reply);
        if let Some(replica) = self.find(sub.replica) {
            replica.submit(job, &self.runtime);
        }
    }

    fn find(&self, replica: ReplicaKey) -> Option<Arc<Replica>> {
        let replicas = self.replicas.lock().unwrap_or_else(PoisonError::into_inner);
        replicas.get(&replica).cloned()
    }
}

impl Drop for TargetPool {
    fn drop(&mut self) {
        let replicas = self
            .replicas
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        for replica in replicas.values() {
            replica.set_desired_count(0, &self.runtime);
        }
    }
}
