//! Messages between the nodes and the coordinator of a rollout.

use std::collections::BTreeMap;
use std::sync::Arc;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use serde::Deserialize;
use serde::Serialize;

use wigeonhall_dispatch::NodeReport;
use wigeonhall_dispatch::RequestCounts;
use wigeonhall_dispatch::RolloutAnswer;
use wigeonhall_dispatch::RolloutOrder;
use wigeonhall_dispatch::RolloutPhase;
use wigeonhall_dispatch::RolloutTotals;
use wigeonhall_dispatch::VersionPair;
use wigeonhall_dispatch::VersionSample;

/// Header with a report of a node as JSON.
const REPORT_HEADER: HeaderName = HeaderName::from_static("x-wigeonhall-rollout");

/// Header with the coordinator's answer as JSON.
const ANSWER_HEADER: HeaderName = HeaderName::from_static("x-wigeonhall-rollout-order");

/// Path of the message; it shows its purpose if another server has taken over the address.
pub(crate) const REPORT_PATH: &str = "/wigeonhall/rollout";

/// A report of a node about the rollout of a service.
#[derive(Debug)]
pub(crate) struct RolloutReport {
    /// Time since the request of the rollout, as far as the node knows.
    pub(crate) elapsed_ms: u64,
    pub(crate) report: NodeReport,
    pub(crate) service: Arc<str>,
    pub(crate) target_version: Arc<str>,
}

#[derive(Deserialize, Serialize)]
struct WireReport {
    earlier_in_flight: u32,
    elapsed_ms: u64,
    moving: bool,
    node: Arc<str>,
    /// Number of requests to replicas of any version.
    requests: u64,
    service: Arc<str>,
    target_version: Arc<str>,
    /// Number of requests to replicas of the target version.
    to_target: u64,
    /// Route, part of the rollout, responses of the target version and of the earlier one.
    totals: Vec<(Arc<str>, u8, WireSample, WireSample)>,
}

/// Number of failures, of other responses of cold replicas, and of all others by the bucket of
/// their latency.
#[derive(Deserialize, Serialize)]
struct WireSample(u64, u64, Vec<(u8, u64)>);

#[derive(Deserialize, Serialize)]
struct WireAnswer {
    elapsed_ms: u64,
    coordinator_share: f64,
    order: WireOrder,
}

#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum WireOrder {
    Move,
    Stop,
    Try,
}

pub(crate) fn encode_report(report: &RolloutReport) -> Option<(HeaderName, HeaderValue)> {
    let totals = report.report.totals.by_stratum.iter();
    let totals = totals.map(|((route, epoch), pair)| {
        let (new, old) = (wire_sample(&pair.new), wire_sample(&pair.old));
        (route.clone(), *epoch, new, old)
    });
    let wire = WireReport {
        earlier_in_flight: report.report.earlier_in_flight,
        elapsed_ms: report.elapsed_ms,
        moving: report.report.phase == RolloutPhase::Moving,
        node: report.report.node.clone(),
        requests: report.report.counts.all,
        service: report.service.clone(),
        target_version: report.target_version.clone(),
        to_target: report.report.counts.to_target,
        totals: totals.collect(),
    };
    Some((REPORT_HEADER, json_value(&wire)?))
}

/// Parses a report; `None` if a message of a peer has another purpose or is malformed.
pub(crate) fn read_report(headers: &HeaderMap) -> Option<RolloutReport> {
    let wire: WireReport = serde_json::from_slice(headers.get(&REPORT_HEADER)?.as_bytes()).ok()?;
    let totals = wire.totals.into_iter().map(|(route, epoch, new, old)| {
        let pair = VersionPair {
            new: sample(new),
            old: sample(old),
        };
        ((route, epoch), pair)
    });
    Some(RolloutReport {
        elapsed_ms: wire.elapsed_ms,
        report: NodeReport {
            counts: RequestCounts {
                all: wire.requests,
                to_target: wire.to_target,
            },
            earlier_in_flight: wire.earlier_in_flight,
            node: wire.node,
            phase: if wire.moving {
                RolloutPhase::Moving
            } else {
                RolloutPhase::Trial
            },
            totals: RolloutTotals {
                by_stratum: totals.collect(),
            },
        },
        service: wire.service,
        target_version: wire.target_version,
    })
}

pub(crate) fn encode_answer(answer: RolloutAnswer) -> Option<(HeaderName, HeaderValue)> {
    let wire = WireAnswer {
        elapsed_ms: answer.elapsed_ms,
        coordinator_share: answer.coordinator_share,
        order: match answer.order {
            RolloutOrder::Move => WireOrder::Move,
            RolloutOrder::Stop => WireOrder::Stop,
            RolloutOrder::Try => WireOrder::Try,
        },
    };
    Some((ANSWER_HEADER, json_value(&wire)?))
}

/// Parses an answer; `None` if the peer does not know the rollout.
pub(crate) fn read_answer(headers: &HeaderMap) -> Option<RolloutAnswer> {
    let wire: WireAnswer = serde_json::from_slice(headers.get(&ANSWER_HEADER)?.as_bytes()).ok()?;
    Some(RolloutAnswer {
        elapsed_ms: wire.elapsed_ms,
        coordinator_share: wire.coordinator_share,
        order: match wire.order {
            WireOrder::Move => RolloutOrder::Move,
            WireOrder::Stop => RolloutOrder::Stop,
            WireOrder::Try => RolloutOrder::Try,
        },
    })
}

fn json_value(wire: &impl Serialize) -> Option<HeaderValue> {
    HeaderValue::from_bytes(&serde_json::to_vec(wire).ok()?).ok()
}

fn wire_sample(sample: &VersionSample) -> WireSample {
    let good = sample.good.iter();
    WireSample(
        sample.bad,
        sample.good_cold,
        good.map(|(bucket, count)| (*bucket, *count)).collect(),
    )
}

fn sample(wire: WireSample) -> VersionSample {
    VersionSample {
        bad: wire.0,
        good_cold: wire.1,
        good: wire.2.into_iter().collect::<BTreeMap<u8, u64>>(),
    }
}
