//! Answers to callers: the body of HTTP responses.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_query::AbsentReason;
use wigeonhall_query::Answer;
use wigeonhall_query::AnswerStatus;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::Row;
use wigeonhall_types::Verdict;

/// Body of every response to a caller, including refusals and errors.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerAnswer {
    /// Key ranges that were read, and those that were not.
    pub coverage: CallerCoverage,
    /// Reason why the request was refused, failed or is invalid.
    pub reason: Option<Arc<str>>,
    /// Id under which the node records its decisions on the request. For a write this is the
    /// caller's request id if that is valid. `None` if the request did not reach the engine
    /// thread.
    pub request_id: Option<Arc<str>>,
    /// Delay before the caller should retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Rows in ascending order of keys.
    pub rows: Vec<Row>,
    /// Index version that all rows were read at.
    pub snapshot: Option<IndexVersion>,
    /// Outcome of the request.
    pub status: StatusName,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

/// Key ranges that an answer covers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerCoverage {
    /// Ranges that were not read.
    pub absent: Vec<UnreadRange>,
    /// Whether `read` equals `requested`.
    pub full: bool,
    /// Ranges that were read.
    pub read: Vec<KeyRange>,
    /// Range that the caller asked for.
    pub requested: Option<KeyRange>,
}

/// Key range that was not read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnreadRange {
    /// Range that is missing from the answer.
    pub range: KeyRange,
    /// Reason why it was not read.
    pub reason: Arc<str>,
    /// Name of the service that holds the keys, if known.
    pub service: Option<Arc<str>>,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StatusName {
    /// The request failed after its processing had started.
    Failed,
    /// The request is malformed or has invalid values.
    Invalid,
    /// Part of the range was read.
    Partial,
    /// The request was refused and can be retried.
    Refused,
    /// The whole range was read, or the write completed.
    Whole,
}

impl CallerAnswer {
    /// Converts an answer of the query core, replacing the catalog's keys by names.
    #[must_use]
    pub fn from_answer(answer: Answer, catalog: &NameCatalog) -> Self {
        let (status, reason) = match answer.status {
            AnswerStatus::Failed(reason) => (StatusName::Failed, Some(snake_case_name(&reason))),
            AnswerStatus::Partial => (StatusName::Partial, None),
            AnswerStatus::Refused(reason) => (StatusName::Refused, Some(reason_name(reason))),
            AnswerStatus::Whole => (StatusName::Whole, None),
        };
        let absent = answer.coverage.absent.iter().map(|absent| UnreadRange {
            range: absent.range,
            reason: reason_name(absent.reason),
            service: absent.service.map(|key| catalog.service_name(key)),
        });
        Self {
            coverage: CallerCoverage {
                absent: absent.collect(),
                full: answer.coverage.absent.is_empty(),
                read: answer.coverage.read,
                requested: Some(answer.coverage.requested),
            },
            reason,
            request_id: None,
            retry_after_ms: answer.retry_after_ms,
            rows: answer.rows,
            snapshot: answer.snapshot,
            status,
            verdict: answer.verdict,
        }
    }

    /// Creates the answer to a request that is refused before it goes to the query core.
    #[must_use]
    pub fn refused(reason: &str, retry_after_ms: u64, verdict: Verdict) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..Self::without_rows(StatusName::Refused, reason, verdict)
        }
    }

    /// Creates the answer to an invalid request, which has not run.
    #[must_use]
    pub fn invalid(reason: &str) -> Self {
        Self::without_rows(StatusName::Invalid, reason, Verdict::NotRun)
    }

    fn without_rows(status: StatusName, reason: &str, verdict: Verdict) -> Self {
        Self {
            coverage: CallerCoverage::default(),
            reason: Some(Arc::from(reason)),
            request_id: None,
            retry_after_ms: None,
            rows: Vec::new(),
            snapshot: None,
            status,
            verdict,
        }
    }

    /// Returns the status code of the HTTP response.
    #[must_use]
    pub fn http_status(&self) -> u16 {
        match self.status {
            StatusName::Failed => 504,
            StatusName::Invalid => 400,
            StatusName::Partial => 206,
            StatusName::Refused => 503,
            StatusName::Whole => 200,
        }
    }
}

/// Returns the name of a reason in responses, metrics and logs.
#[must_use]
pub fn reason_name(reason: AbsentReason) -> Arc<str> {
    match reason {
        AbsentReason::Failed(reason) => snake_case_name(&reason),
        AbsentReason::Refused(reason) => snake_case_name(&reason),
        other => snake_case_name(&other),
    }
}

/// Returns the `Debug` output of an enum variant without fields, in snake case.
pub(crate) fn snake_case_name(value: &impl std::fmt::Debug) -> Arc<str> {
    let camel = format!("{value:?}");
    let mut name = String::with_capacity(camel.len() + 4);
    for (index, letter) in camel.chars().enumerate() {
        if letter.is_ascii_uppercase() && index > 0 {
            name.push('_');
        }
        name.push(letter.to_ascii_lowercase());
    }
    Arc::from(name)
}
