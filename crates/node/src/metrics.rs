//! Metrics of a node. A core is a decision component of the node without I/O.

use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use serde::Serialize;

use crate::CallerAnswer;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5,
];

/// Metrics of one node, exported in the Prometheus text format.
#[derive(Debug)]
pub struct Metrics {
    answers: IntCounterVec,
    decisions: IntGaugeVec,
    events: IntCounterVec,
    latency: HistogramVec,
    registry: Registry,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be registered.
    pub fn new() -> Result<Self, prometheus::Error> {
        let metrics = Self {
            answers: IntCounterVec::new(
                Opts::new("wigeonhall_answers_total", "Answers to callers"),
                &["service", "status", "verdict", "reason"],
            )?,
            decisions: IntGaugeVec::new(
                Opts::new(
                    "wigeonhall_decisions_total",
                    "Decisions of the cores since the start of the process",
                ),
                &["core", "decision"],
            )?,
            events: IntCounterVec::new(
                Opts::new("wigeonhall_events_total", "Events outside the cores"),
                &["event"],
            )?,
            latency: HistogramVec::new(
                HistogramOpts::new(
                    "wigeonhall_answer_seconds",
                    "Time from a caller's request to its answer",
                )
                .buckets(LATENCY_BUCKETS_S.to_vec()),
                &["service", "status"],
            )?,
            registry: Registry::new(),
        };
        metrics
            .registry
            .register(Box::new(metrics.answers.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.decisions.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.events.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.latency.clone()))?;
        Ok(metrics)
    }

    /// Records the result and latency of an answer to a caller.
    pub fn record_answer(&self, service: &str, answer: &CallerAnswer, latency_us: u64) {
        let status = format!("{:?}", answer.status).to_lowercase();
        let verdict = format!("{:?}", answer.verdict).to_lowercase();
        let reason = answer.reason.as_deref().unwrap_or("none");
        self.answers
            .with_label_values(&[service, &status, &verdict, reason])
            .inc();
        self.latency
            .with_label_values(&[service, &status])
            .observe(latency_us as f64 / 1e6);
    }

    /// Counts an event outside the cores.
    pub fn count(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Sets the decision metrics from the counters of a core; each field becomes a time series.
    pub fn set_decisions<T: Serialize>(&self, core: &str, counters: &T) {
        let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(counters) else {
            return;
        };
        for (decision, value) in &fields {
            if let Some(value) = value.as_u64() {
                self.decisions
                    .with_label_values(&[core, decision])
                    .set(value as i64);
            }
        }
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}
