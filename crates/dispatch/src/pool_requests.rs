use crate::NotRunCause;
use crate::Notice;
use crate::Pool;
use crate::ReplicaKey;
use crate::Reply;
use crate::connect_latency::ConnectLatency;

/// Records the requests of this node to replicas, and what their results show.
impl Pool {
    /// Records that a request is sent to a replica.
    pub fn request_started(&mut self, now_us: u64, key: ReplicaKey) {
        self.count_version(key);
        let Some(replica) = self.replica_mut(key) else {
            return;
        };
        if replica.in_flight == 0 {
            replica.progress_us = now_us;
        }
        replica.in_flight += 1;
        if replica.limit_per_s().is_some() {
            replica.notice_state.rate_limit.record_request();
            replica.limit_allowance.record_request(now_us);
        }
        if replica.has_cold_rate(now_us) {
            replica.cold_allowance.record_request(now_us);
        }
    }

    /// Records the result of a request; `latency_ratio` is its latency divided by the typical
    /// latency of the route's requests on this node.
    pub fn request_finished(
        &mut self,
        now_us: u64,
        key: ReplicaKey,
        reply: Reply,
        latency_ratio: f64,
    ) {
        let policy = self.policy;
        let cold_start_us = self.cold_start_us(key);
        let Some(replica) = self.replica_mut(key) else {
            return;
        };
        replica
            .presumed_restart
            .observe(now_us, reply, cold_start_us);
        replica.in_flight = replica.in_flight.saturating_sub(1);
        replica.progress_us = now_us;
        replica
            .health
            .observe(&policy, now_us, reply, latency_ratio);
        if reply == Reply::NotRun(NotRunCause::OtherInstance) {
            // The address now belongs to another replica; this one is dropped at the next
            // sweep.
            replica.removed_at_us = Some(now_us);
        }
        let data_centre = replica.data_centre;
        let data_centre = self.data_centres.get_mut(data_centre);
        data_centre.observe(now_us, reply, latency_ratio);
    }

    /// Returns the length of a replica's cold start; 0 if it is not known.
    fn cold_start_us(&self, key: ReplicaKey) -> u64 {
        let service = self.replica(key).map(|replica| replica.service);
        service.map_or(0, |service| self.services[service.0 as usize].cold_start_us)
    }

    /// Records the latency of a connection that this node opened to a replica.
    pub fn observe_connect(&mut self, key: ReplicaKey, latency_us: u64) {
        self.connect_latency.observe(latency_us);
        if let Some(data_centre) = self.replica(key).map(|replica| replica.data_centre) {
            let data_centre = self.data_centres.get_mut(data_centre);
            data_centre.observe_connect(latency_us);
            self.apply_distance();
        }
    }

    /// Puts the policy in force that fits the distance of the other data centres.
    pub(crate) fn apply_distance(&mut self) {
        let is_far = self.data_centres.farthest_us() >= self.configured_policy.far_distance_us;
        self.policy = if is_far {
            self.configured_policy
        } else {
            self.configured_policy.without_locality()
        };
    }

    /// Returns the timeout in microseconds for opening a connection to a replica.
    #[must_use]
    pub fn connect_timeout_us(&self, key: ReplicaKey) -> u64 {
        if !self.policy.adaptive_connect_timeout {
            return ConnectLatency::default().timeout_us(0);
        }
        let failures = self.replica(key).map(|replica| replica.health.failures());
        self.connect_latency.timeout_us(failures.unwrap_or(0))
    }

    /// Applies the notice in a replica's response to a request that was sent at `sent_us`; returns
    /// whether it changes the replica's state.
    pub fn apply_notice(
        &mut self,
        now_us: u64,
        sent_us: u64,
        key: ReplicaKey,
        notice: Notice,
    ) -> bool {
        self.replica_mut(key)
            .is_some_and(|replica| replica.notice_state.apply(now_us, sent_us, notice))
    }

    /// Returns whether a sub-request that was already decided may still be written to the replica.
    #[must_use]
    pub fn may_still_send(&self, now_us: u64, key: ReplicaKey) -> bool {
        self.replica(key)
            .is_some_and(|replica| replica.accepts_requests(now_us))
    }

    /// Records that a request was dropped before its result was known.
    pub fn request_dropped(&mut self, key: ReplicaKey) {
        if let Some(replica) = self.replica_mut(key) {
            replica.in_flight = replica.in_flight.saturating_sub(1);
        }
    }
}
