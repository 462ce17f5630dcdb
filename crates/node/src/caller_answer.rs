use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_query::AbsentReason;
use wigeonhall_query::Answer;
use wigeonhall_query::AnswerStatus;
use wigeonhall_types::Catalog;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::Row;
use wigeonhall_types::Verdict;

/// Body of every response to a caller; refusals and errors have the same form.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerAnswer {
    /// Which keys the rows speak for.
    pub coverage: CallerCoverage,
    /// Why the request was refused, failed, or is malformed.
    pub reason: Option<Arc<str>>,
    /// Id by which the node records its decisions on the request: of a write the
    /// caller's own; `None` if the request never reached the decision thread.
    pub request_id: Option<Arc<str>>,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Rows by rising key.
    pub rows: Vec<Row>,
    /// Index version that every row comes from.
    pub snapshot: Option<IndexVersion>,
    /// How the request ended.
    pub status: StatusName,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

/// Which keys an answer speaks for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerCoverage {
    /// Ranges that were not read.
    pub absent: Vec<CallerAbsent>,
    /// Whether `read` equals `requested`.
    pub full: bool,
    /// Ranges that were read.
    pub read: Vec<KeyRange>,
    /// Range that the caller asked for.
    pub requested: Option<KeyRange>,
}

/// A range that was not read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerAbsent {
    /// The keys.
    pub range: KeyRange,
    /// Why.
    pub reason: Arc<str>,
    /// Name of the service that holds them, if known.
    pub service: Option<Arc<str>>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StatusName {
    /// Gave up after work had started.
    Failed,
    /// The request itself is wrong.
    Invalid,
    /// Part of the range was read.
    Partial,
    /// Refused.
    Refused,
    /// The whole range was read, or the write was done.
    Whole,
}

impl CallerAnswer {
    /// Puts an answer of the query core into names.
    #[must_use]
    pub fn from_answer(answer: Answer, catalog: &Catalog) -> Self {
        let (status, reason) = match answer.status {
            AnswerStatus::Failed(reason) => (StatusName::Failed, Some(debug_name(&reason))),
            AnswerStatus::Partial => (StatusName::Partial, None),
            AnswerStatus::Refused(reason) => (StatusName::Refused, Some(reason_name(reason))),
            AnswerStatus::Whole => (StatusName::Whole, None),
        };
        let absent = answer.coverage.absent.iter().map(|absent| CallerAbsent {
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

    /// A response to a request that was refused before the query core saw it.
    #[must_use]
    pub fn refused(reason: &str, retry_after_ms: u64, verdict: Verdict) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..Self::without_rows(StatusName::Refused, reason, verdict)
        }
    }

    /// A response to a request that is wrong in itself; it has not run.
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

    /// Status code of the HTTP response.
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

/// Name of a reason in responses, metrics and logs.
#[must_use]
pub fn reason_name(reason: AbsentReason) -> Arc<str> {
    match reason {
        AbsentReason::Failed(reason) => debug_name(&reason),
        AbsentReason::Refused(reason) => debug_name(&reason),
        other => debug_name(&other),
    }
}

/// The variant name in snake case.
pub(crate) fn debug_name(value: &impl std::fmt::Debug) -> Arc<str> {
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
