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

/// Longest time for a cancellation or a probe, the wait for a connection included.
const CONTROL_BUDGET: Duration = Duration::from_secs(1);

/// Longest time to open a connection.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections to targets. Dropping the pool closes them as they become idle.
pub struct TargetPool {
    control_budget: Duration,
    dial_timeout: Duration,
    handle: Handle,
    /// Holds closed replicas too, as connections of theirs may still be busy.
    replicas: Mutex<BTreeMap<ReplicaKey, Arc<Replica>>>,
    totals: Arc<Counters>,
}

impl std::fmt::Debug for TargetPool {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("TargetPool")
            .field("counters", &self.counters())
            .finish_non_exhaustive()
    }
}

impl TargetPool {
    /// Makes a pool without connections whose tasks run on `handle`.
    #[must_use]
    pub fn new(handle: Handle) -> Self {
        Self {
            control_budget: CONTROL_BUDGET,
            dial_timeout: DIAL_TIMEOUT,
            handle,
            replicas: Mutex::default(),
            totals: Arc::default(),
        }
    }

    /// Sets the longest time to open a connection, and that for a cancellation or a
    /// probe with the wait for a connection.
    #[must_use]
    pub const fn with_timeouts_ms(mut self, connect_ms: u64, probe_ms: u64) -> Self {
        self.control_budget = Duration::from_millis(probe_ms);
        self.dial_timeout = Duration::from_millis(connect_ms);
        self
    }

    /// Asks the target to stop a request that was sent and ended without a reply. Calls
    /// `on_reply` with `UnknownAttempt` if the target does not run it, with `Cancelled` if
    /// it does and was told to stop, and otherwise with the reason why it did not say.
    pub fn poll_end(
        &self,
        replica: ReplicaKey,
        attempt: AttemptId,
        on_reply: impl FnOnce(TargetReply) + Send + 'static,
    ) {
        let deadline = Instant::now() + self.control_budget;
        let job = Job::new(JobKind::Cancel { attempt }, deadline, on_reply);
        // If there is no such replica, the drop of the job reports it as unreachable.
        if let Some(replica) = self.find(replica) {
            replica.submit(job, &self.handle);
        }
    }

    /// Asks the target to stop a request. A request that was not sent yet ends at
    /// once as cancelled; otherwise the cancellation goes over the spare
    /// connection and the request ends with the target's own reply.
    pub fn cancel(&self, replica: ReplicaKey, attempt: AttemptId) {
        let Some(replica) = self.find(replica) else {
            return;
        };
        if !replica.requests.cancel(attempt) {
            let deadline = Instant::now() + self.control_budget;
            let job = Job::new(JobKind::Cancel { attempt }, deadline, |_| ());
            replica.submit(job, &self.handle);
        }
    }

    /// Closes the connections of the replica as they become idle. Requests that
    /// were not sent end as unreachable.
    pub fn close(&self, replica: ReplicaKey) {
        if let Some(replica) = self.find(replica) {
            replica.set_wanted(0, &self.handle);
        }
    }

    /// Counts of the whole pool.
    #[must_use]
    pub fn counters(&self) -> TargetCounters {
        self.totals.snapshot()
    }

    /// Holds `count` connections to the replica, opens missing ones at once and
    /// lost ones again. Of two and more, the first is the spare one, which
    /// carries only cancellations and probes.
    pub fn open(&self, replica: ReplicaKey, address: SocketAddr, count: u32) {
        let split = count > 1;
        let mut replicas = self.replicas.lock().unwrap_or_else(PoisonError::into_inner);
        let known = replicas.get(&replica).cloned();
        let dial_timeout = self.dial_timeout;
        let usable = known.filter(|known| {
            let usable = known.matches(address, split);
            if !usable {
                known.set_wanted(0, &self.handle);
            }
            usable
        });
        let opened = usable.unwrap_or_else(|| {
            Replica::new(address, dial_timeout, split, Arc::clone(&self.totals))
        });
        opened.set_wanted(count, &self.handle);
        replicas.insert(replica, opened);
    }

    /// Asks the target for its health over the spare connection. A target that is
    /// ready answers with no rows and its newest version.
    pub fn probe(&self, replica: ReplicaKey, on_reply: impl FnOnce(TargetReply) + Send + 'static) {
        let deadline = Instant::now() + self.control_budget;
        let job = Job::new(JobKind::Probe, deadline, on_reply);
        if let Some(replica) = self.find(replica) {
            replica.submit(job, &self.handle);
        }
    }

    /// Counts of one replica since it was first opened at its address.
    #[must_use]
    pub fn replica_counters(&self, replica: ReplicaKey) -> TargetCounters {
        self.find(replica)
            .map(|replica| replica.counters.snapshot())
            .unwrap_or_default()
    }

    /// Sends a request over a connection of its replica. Calls `on_reply` exactly
    /// once, on a thread of the runtime or on the caller's: as unreachable if no
    /// byte was sent within the budget or the request is too large, as connection
    /// lost if it may have been sent and the connection broke.
    pub fn send(
        &self,
        sub: &SubRequest,
        class_name: &str,
        budget_us: u64,
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
        let deadline = Instant::now() + Duration::from_micros(budget_us);
        // If there is no such replica, the drop of the job reports it as unreachable.
        let job = Job::new(JobKind::Run { attempt, body }, deadline, on_reply);
        if let Some(replica) = self.find(sub.replica) {
            replica.submit(job, &self.handle);
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
            replica.set_wanted(0, &self.handle);
        }
    }
}
