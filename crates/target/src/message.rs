//! Encodes requests to targets and decodes their replies.

use std::time::Duration;

use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::http::Result as HttpResult;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::job::Job;
use crate::job::JobKind;
use wigeonhall_types::AttemptId;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::Operation;
use wigeonhall_types::Row;
use wigeonhall_types::ServedVersion;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

/// Maximum size of a reply body.
pub(crate) const MAX_REPLY_BYTES: usize = 8 << 20;
/// Maximum size of a request body.
pub(crate) const MAX_REQUEST_BYTES: usize = 1 << 20;

const ATTEMPT_HEADER: &str = "x-attempt";
const REMAINING_US_HEADER: &str = "x-remaining-us";
/// The deadline that is sent to the target is this much earlier than the sender's, or at half
/// of the remaining time if that is later. The target's reply then still arrives in time,
/// and the connection can be kept.
const REPLY_MARGIN: Duration = Duration::from_millis(2);

#[derive(Serialize)]
struct RunBody<'a> {
    class: &'a str,
    operation: &'a Operation,
    version: Option<IndexVersion>,
}

#[derive(Deserialize)]
struct ReplyBody {
    /// Attempt that the target replies to; absent in a reply to a probe.
    attempt: Option<String>,
    /// Identity of the target process; changes when the target restarts.
    instance: u64,
    outcome: OutcomeBody,
    /// Versions that the target serves, in ascending order.
    served: Vec<ServedVersion>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum OutcomeBody {
    Answered {
        ranges: Vec<KeyRange>,
        rows: Vec<Row>,
        version: IndexVersion,
    },
    Cancelled,
    DeadlineExceeded,
    Draining,
    Ready,
    Shed {
        retry_after_us: u64,
    },
    UnknownAttempt,
    VersionGone,
}

/// Encodes the body of a request to run a sub-request. Returns `None` if it is too large.
pub(crate) fn run_body(sub: &SubRequest, class: &str) -> Option<Bytes> {
    let body = serde_json::to_vec(&RunBody {
        class,
        operation: &sub.operation,
        version: sub.version,
    });
    body.ok()
        .filter(|body| body.len() <= MAX_REQUEST_BYTES)
        .map(Bytes::from)
}

pub(crate) fn build_request(job: &Job, host: &str) -> HttpResult<Request<Full<Bytes>>> {
    let (method, route, body) = match &job.kind {
        JobKind::Cancel { .. } => (Method::POST, "/cancel", Bytes::new()),
        JobKind::Probe => (Method::GET, "/health", Bytes::new()),
        JobKind::Run { body, .. } => (Method::POST, "/run", body.clone()),
    };
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    let remaining = remaining.saturating_sub(REPLY_MARGIN).max(remaining / 2);
    let mut builder = Request::builder()
        .method(method)
        .uri(route)
        .header("host", host)
        .header("content-type", "application/json")
        .header(REMAINING_US_HEADER, remaining.as_micros() as u64);
    if let Some(attempt) = attempt_of(&job.kind) {
        builder = builder.header(ATTEMPT_HEADER, format_attempt(attempt));
    }
    builder.body(Full::new(body))
}

/// Decodes a reply. Returns `None` if it is not a reply to this job; replies on the connection
/// then no longer match its requests, and it must not be used again.
pub(crate) fn read_reply(kind: &JobKind, status: StatusCode, body: &[u8]) -> Option<TargetReply> {
    let body = serde_json::from_slice::<ReplyBody>(body).ok()?;
    if body.attempt != attempt_of(kind).map(format_attempt) || status != body.outcome.status() {
        return None;
    }
    let newest = body.served.last().map_or(IndexVersion(0), |it| it.version);
    let outcome = match (body.outcome, kind) {
        (OutcomeBody::Ready, JobKind::Probe) => TargetOutcome::Answered {
            ranges: Vec::new(),
            rows: Vec::new(),
            version: newest,
        },
        (
            OutcomeBody::Answered {
                ranges,
                rows,
                version,
            },
            JobKind::Run { .. },
        ) => TargetOutcome::Answered {
            ranges,
            rows,
            version,
        },
        (OutcomeBody::Cancelled, JobKind::Run { .. } | JobKind::Cancel { .. }) => {
            TargetOutcome::Cancelled
        }
        (OutcomeBody::UnknownAttempt, JobKind::Cancel { .. }) => TargetOutcome::UnknownAttempt,
        (OutcomeBody::DeadlineExceeded, JobKind::Run { .. }) => TargetOutcome::DeadlineExceeded,
        (OutcomeBody::VersionGone, JobKind::Run { .. }) => TargetOutcome::VersionGone,
        (OutcomeBody::Draining, _) => TargetOutcome::Draining,
        (OutcomeBody::Shed { retry_after_us }, _) => TargetOutcome::Shed { retry_after_us },
        _ => return None,
    };
    Some(TargetReply {
        instance: Some(body.instance),
        outcome,
        served: body.served,
    })
}

impl OutcomeBody {
    const fn status(&self) -> StatusCode {
        match self {
            Self::Answered { .. } | Self::Ready => StatusCode::OK,
            Self::Cancelled => StatusCode::CONFLICT,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::Draining | Self::Shed { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::UnknownAttempt => StatusCode::NOT_FOUND,
            Self::VersionGone => StatusCode::GONE,
        }
    }
}

const fn attempt_of(kind: &JobKind) -> Option<AttemptId> {
    match kind {
        JobKind::Cancel { attempt } | JobKind::Run { attempt, .. } => Some(*attempt),
        JobKind::Probe => None,
    }
}

fn format_attempt(attempt: AttemptId) -> String {
    format!("{:016x}-{}", attempt.boot, attempt.sequence)
}
