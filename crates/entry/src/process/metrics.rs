use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.12, 0.25, 0.5, 1.0, 2.5, 5.0,
];

/// The Prometheus metrics of a node.
#[derive(Debug)]
pub(crate) struct Metrics {
    pub(crate) config_version: IntGauge,
    pub(crate) extra_sends: IntCounter,
    pub(crate) limited_callers: IntCounterVec,
    pub(crate) malformed_entries: IntCounterVec,
    pub(crate) missing_parts: IntCounter,
    pub(crate) crash_suspicions: IntCounterVec,
    pub(crate) passed_on_batches: IntCounterVec,
    pub(crate) quota_decisions: IntCounterVec,
    registry: Registry,
    pub(crate) relay_failures: IntCounter,
    pub(crate) replica_bytes: IntCounterVec,
    pub(crate) replica_connection_errors: IntCounter,
    pub(crate) replica_connections: IntCounter,
    pub(crate) replica_latency_s: Histogram,
    pub(crate) replica_replies: IntCounterVec,
    pub(crate) request_latency_s: HistogramVec,
    pub(crate) requests: IntCounterVec,
    pub(crate) rollout_decisions: IntCounterVec,
    pub(crate) rollout_report_failures: IntCounter,
    pub(crate) store_age_ms: IntGauge,
    pub(crate) store_calls: IntCounterVec,
    pub(crate) unknown_key_refusals: IntCounter,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// When two metrics have the same name.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("wigeonhall".into()), None)?;
        let latency = |name: &str, help: &str| {
            HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec())
        };
        let metrics = Self {
            config_version: IntGauge::new("config_version", "Version in force")?,
            extra_sends: IntCounter::new("extra_sends_total", "Hedges and retries")?,
            limited_callers: counters(
                "limited_callers_total",
                "Callers refused or closed for lack of memory or connections",
                &["outcome"],
            )?,
            malformed_entries: counters(
                "malformed_entries_total",
                "Entries of the store that cannot be read",
                &["collection"],
            )?,
            missing_parts: IntCounter::new("missing_parts_total", "Parts left out of answers")?,
            crash_suspicions: counters(
                "crash_suspicions_total",
                "Requests under which replicas crashed",
                &["state"],
            )?,
            passed_on_batches: counters(
                "passed_on_batches_total",
                "Changes from another node",
                &["collection"],
            )?,
            quota_decisions: counters(
                "quota_decisions_total",
                "Requests of tenants by what their quotas decided",
                &["decision", "tenant"],
            )?,
            relay_failures: IntCounter::new(
                "relay_failures_total",
                "Parts that another node did not hand over",
            )?,
            replica_bytes: counters(
                "replica_bytes_total",
                "Bytes of the bodies of replicas' responses",
                &["data_centre"],
            )?,
            replica_connection_errors: IntCounter::new(
                "replica_connection_errors_total",
                "Connections to replicas that could not be opened",
            )?,
            replica_connections: IntCounter::new(
                "replica_connections_total",
                "Connections opened to replicas",
            )?,
            replica_latency_s: Histogram::with_opts(latency(
                "replica_latency_seconds",
                "Latency of replicas",
            ))?,
            replica_replies: counters("replica_replies_total", "What came of sends", &["reply"])?,
            request_latency_s: HistogramVec::new(
                latency("request_latency_seconds", "Latency of requests by route"),
                &["route"],
            )?,
            requests: counters("requests_total", "Final answers by outcome", &["outcome"])?,
            rollout_decisions: counters(
                "rollout_decisions_total",
                "Decisions of this node as the coordinator of rollouts",
                &["order"],
            )?,
            rollout_report_failures: IntCounter::new(
                "rollout_report_failures_total",
                "Reports about rollouts that a node did not answer",
            )?,
            store_age_ms: IntGauge::new("store_age_ms", "Age of the store's word on replicas")?,
            store_calls: counters(
                "store_calls_total",
                "Calls to the store by collection, outcome and purpose",
                &["collection", "outcome", "purpose"],
            )?,
            unknown_key_refusals: IntCounter::new(
                "unknown_key_refusals_total",
                "Requests refused without a known API key",
            )?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let registry = &self.registry;
        registry.register(Box::new(self.config_version.clone()))?;
        registry.register(Box::new(self.extra_sends.clone()))?;
        registry.register(Box::new(self.limited_callers.clone()))?;
        registry.register(Box::new(self.malformed_entries.clone()))?;
        registry.register(Box::new(self.missing_parts.clone()))?;
        registry.register(Box::new(self.crash_suspicions.clone()))?;
        registry.register(Box::new(self.passed_on_batches.clone()))?;
        registry.register(Box::new(self.quota_decisions.clone()))?;
        registry.register(Box::new(self.relay_failures.clone()))?;
        registry.register(Box::new(self.replica_bytes.clone()))?;
        registry.register(Box::new(self.replica_connection_errors.clone()))?;
        registry.register(Box::new(self.replica_connections.clone()))?;
        registry.register(Box::new(self.replica_latency_s.clone()))?;
        registry.register(Box::new(self.replica_replies.clone()))?;
        registry.register(Box::new(self.request_latency_s.clone()))?;
        registry.register(Box::new(self.requests.clone()))?;
        registry.register(Box::new(self.rollout_decisions.clone()))?;
        registry.register(Box::new(self.rollout_report_failures.clone()))?;
        registry.register(Box::new(self.store_age_ms.clone()))?;
        registry.register(Box::new(self.store_calls.clone()))?;
        registry.register(Box::new(self.unknown_key_refusals.clone()))
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// When a metric cannot be encoded.
    pub(crate) fn text(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Creates counters with labels.
fn counters(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(name, help), labels)
}
