use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::future;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::watch;

use wigeonhall_adapter::ProcessSettings;
use wigeonhall_dispatch::CrashSuspects;
use wigeonhall_dispatch::ExtraAllowance;
use wigeonhall_dispatch::MemoryBudget;
use wigeonhall_dispatch::Notice;
use wigeonhall_dispatch::PeerNode;
use wigeonhall_dispatch::Peers;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RecoveryTimes;
use wigeonhall_dispatch::Replica;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::RequestLimits;
use wigeonhall_dispatch::Route;
use wigeonhall_dispatch::RouteLatency;
use wigeonhall_dispatch::RouteProfile;
use wigeonhall_dispatch::RouteTable;
use wigeonhall_dispatch::StopLimit;
use wigeonhall_dispatch::StoreHealth;

use crate::callers::caller_connections::CallerConnections;
use crate::callers::caller_limits::CallerLimits;
use crate::callers::open_bodies::OpenBodies;
use crate::peers::change_feed::ChangeFeed;
use crate::peers::crash_reports::CrashReports;
use crate::peers::quotas::Quotas;
use crate::peers::relay_client::RelayConnections;
use crate::peers::rollout_reports::RolloutReports;
use crate::process::clock::Clock;
use crate::process::descriptor_limit::descriptor_limit;
use crate::process::event::Event;
use crate::process::event_log::EventLog;
use crate::process::loop_times::LoopTimes;
use crate::process::metrics::Metrics;
use crate::replicas::idle_connections::IdleConnections;
use crate::requests::answer_lag::AnswerLag;
use crate::store::pending_routes::PendingRoutes;

/// Phase of the process, until it has stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Idle connections of callers are closed; requests that were read are still answered.
    Closing,
    /// The node reports that it isn't ready; callers that still arrive are served.
    Leaving,
    /// Callers are served.
    Serving,
}

/// Shared state of a node, used only on the event loop's thread.
#[derive(Debug)]
pub(crate) struct NodeState {
    /// Average time between a request's soft deadline, when its answer is due, and the answer.
    pub(crate) answer_lag: AnswerLag,
    pub(crate) caller_connections: CallerConnections,
    pub(crate) caller_limits: CallerLimits,
    pub(crate) clock: Clock,
    /// Number of open connections of callers.
    pub(crate) connections: Cell<usize>,
    pub(crate) crash_reports: CrashReports,
    pub(crate) crash_suspects: RefCell<CrashSuspects>,
    /// File descriptors that the process may open; `None` if there is no limit.
    pub(crate) descriptors: Option<usize>,
    pub(crate) events: EventLog,
    /// Source of changes of the store, and the followers that receive them.
    pub(crate) feed: ChangeFeed,
    pub(crate) idle_connections: RefCell<IdleConnections>,
    /// Observed latencies of replicas by route name.
    pub(crate) latencies: RefCell<HashMap<Arc<str>, RouteLatency>>,
    pub(crate) loop_times: Arc<LoopTimes>,
    /// Memory that the process holds for others.
    pub(crate) memory: RefCell<MemoryBudget>,
    pub(crate) metrics: Metrics,
    /// Bodies of requests that are being received.
    pub(crate) open_bodies: RefCell<OpenBodies>,
    /// Routes that are held back, newer than those in force.
    pub(crate) pending_routes: RefCell<Option<PendingRoutes>>,
    /// The known nodes of all data centres.
    pub(crate) peers: RefCell<Peers>,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) pool: RefCell<Pool>,
    /// Quotas of tenants over all nodes.
    pub(crate) quotas: Quotas,
    /// Idle connections to peers, which collect parts of this node's gathers.
    pub(crate) relay_connections: RefCell<RelayConnections>,
    /// Time at which the registrations of replicas were last known to be current; `None` before
    /// the first list.
    pub(crate) replicas_fresh_us: Cell<Option<u64>>,
    /// Whether the last call to read the replicas failed.
    pub(crate) replicas_unavailable: Cell<bool>,
    pub(crate) rollouts: RolloutReports,
    pub(crate) settings: ProcessSettings,
    /// End of the process, once it was told to stop.
    pub(crate) stop_limit: Cell<Option<StopLimit>>,
    /// Routes in force; `None` before the first configuration.
    pub(crate) table: RefCell<Option<Rc<RouteTable>>>,
}

impl NodeState {
    pub(crate) fn new(settings: ProcessSettings, events: EventLog, metrics: Metrics) -> Self {
        let own = PeerNode {
            address: settings.internal_address,
            data_centre: settings.data_centre.clone(),
            name: settings.node_name.clone(),
            processor_share: settings.processor_share,
        };
        let mut pool = Pool::new(settings.data_centre.clone(), fastrand::u64(..));
        pool.set_extra_allowance(ExtraAllowance {
            ratio: settings.extra_ratio,
            slack: settings.extra_slack,
            window_ms: settings.extra_window_ms,
        });
        pool.set_rollout_bounds(settings.rollout_bounds);
        pool.set_named_services(BTreeSet::new());
        let recovery_times = RecoveryTimes::new(settings.stabilization_ms);
        let store_health = StoreHealth::new(settings.registration_interval_ms, recovery_times);
        let clock = Clock::start();
        Self {
            answer_lag: AnswerLag::default(),
            caller_connections: CallerConnections::default(),
            caller_limits: CallerLimits::default(),
            clock,
            connections: Cell::new(0),
            crash_reports: CrashReports::default(),
            crash_suspects: RefCell::default(),
            descriptors: descriptor_limit(settings.descriptors),
            events,
            feed: ChangeFeed::new(store_health),
            idle_connections: RefCell::default(),
            latencies: RefCell::default(),
            loop_times: Arc::new(LoopTimes::new(clock)),
            memory: RefCell::new(MemoryBudget::new(settings.memory_bytes)),
            metrics,
            open_bodies: RefCell::default(),
            pending_routes: RefCell::new(None),
            peers: RefCell::new(Peers::new(own)),
            phase: watch::Sender::new(Phase::Serving),
            pool: RefCell::new(pool),
            quotas: Quotas::new(&settings),
            relay_connections: RefCell::default(),
            replicas_fresh_us: Cell::new(None),
            replicas_unavailable: Cell::new(false),
            rollouts: RolloutReports::default(),
            settings,
            stop_limit: Cell::new(None),
            table: RefCell::new(None),
        }
    }

    /// Returns the time after which a sub-request on this route is hedged.
    pub(crate) fn hedge_delay_us(&self, route: &Route) -> u64 {
        let mut latencies = self.latencies.borrow_mut();
        let latency = latencies.entry(route.spec.name.clone()).or_default();
        latency.hedge_delay_us(route.spec.target_latency_ms)
    }

    /// Returns the latency above which a replica queued a request of this route.
    pub(crate) fn queueing_us(&self, route: &Route) -> Option<u64> {
        let latencies = self.latencies.borrow();
        latencies.get(&route.spec.name)?.queueing_us()
    }

    /// Returns the typical responses of the replicas on this route.
    pub(crate) fn route_profile(&self, route: &Route) -> RouteProfile {
        let latencies = self.latencies.borrow();
        let latency = latencies.get(&route.spec.name);
        latency.map(RouteLatency::profile).unwrap_or_default()
    }

    /// Counts the bytes of a replica's response by whether they came from another data centre.
    pub(crate) fn count_replica_bytes(&self, replica: ReplicaKey, bytes: usize) {
        let elsewhere = self.pool.borrow().is_elsewhere(replica);
        let data_centre = if elsewhere { "other" } else { "own" };
        let replica_bytes = &self.metrics.replica_bytes;
        replica_bytes
            .with_label_values(&[data_centre])
            .inc_by(bytes as u64);
    }

    /// Returns whether the platform may send callers to this node.
    pub(crate) fn ready(&self) -> bool {
        let known = self.table.borrow().is_some() && self.replicas_fresh_us.get().is_some();
        known && self.phase() == Phase::Serving
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the process is told to stop; never returns after that.
    pub(crate) async fn told_to_stop(&self) {
        if self.phase() != Phase::Serving {
            return future::pending().await;
        }
        let mut phase = self.phase.subscribe();
        // Never fails: the sender lives as long as the process.
        drop(phase.wait_for(|phase| *phase != Phase::Serving).await);
    }

    /// Returns the time by which the node answers all requests; `u64::MAX` unless it stops.
    pub(crate) fn answers_due_us(&self) -> u64 {
        let limit = self.stop_limit.get();
        limit.map_or(u64::MAX, StopLimit::answers_due_us)
    }

    /// Returns the times of the stages by which this node has all changes after a disturbance.
    pub(crate) const fn recovery_times(&self) -> RecoveryTimes {
        RecoveryTimes::new(self.settings.stabilization_ms)
    }

    /// Returns the version of the newest routes, in force or held back.
    pub(crate) fn newest_version(&self) -> Option<u64> {
        let pending = self.pending_routes.borrow();
        let current = self.table.borrow();
        let pending_table = pending.as_ref().map(|routes| &routes.table);
        let newest = pending_table.or(current.as_ref());
        newest.map(|table| table.version)
    }

    /// Records the era of the store that a response or a peer states, and logs a newer one.
    ///
    /// The writes that the store has lost are repeated as after an outage.
    pub(crate) fn observe_era(&self, era: u64) {
        let known = self.feed.era();
        if self.feed.observe_era(era) && known > 0 {
            let now_us = self.clock.now_us();
            self.feed
                .store_health
                .borrow_mut()
                .record_restoration(now_us);
            self.log(&Event::StoreRestored { era, known });
        }
    }

    pub(crate) fn log(&self, event: &Event<'_>) {
        self.events.enqueue(self.clock.now_us(), event);
    }

    pub(crate) fn limits(&self) -> Option<RequestLimits> {
        self.table.borrow().as_ref().map(|table| table.limits)
    }

    /// Applies what a replica asked of its callers in the response to a request that was sent at
    /// `sent_us`: to stop or pause sending, or to stay within a rate.
    pub(crate) fn apply_notice(&self, sent_us: u64, key: ReplicaKey, notice: Notice) {
        let now_us = self.clock.now_us();
        let mut pool = self.pool.borrow_mut();
        if !pool.apply_notice(now_us, sent_us, key, notice) {
            return;
        }
        if notice.draining {
            self.idle_connections.borrow_mut().close(key);
        }
        let replica = pool.replica(key);
        self.log(&Event::Notice {
            hold_off_ms: notice.hold_off_ms,
            leaving: notice.draining,
            limit_per_s: replica.and_then(Replica::limit_per_s),
            limited_requests: replica.map_or(0, Replica::limited_requests),
            replica: replica.map_or("gone", |replica| replica.id()),
        });
    }

    /// Removes expired replicas and closes expired connections; returns the removed replicas.
    pub(crate) fn sweep(&self) -> Vec<ReplicaKey> {
        let now_us = self.clock.now_us();
        let removed = self.pool.borrow_mut().sweep(now_us);
        let mut idle = self.idle_connections.borrow_mut();
        for key in &removed {
            idle.close(*key);
        }
        idle.sweep(now_us);
        removed
    }
}
