//! Bodies of requests from callers.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_types::KeyRange;
use wigeonhall_types::Verdict;

/// Body of `POST /query`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReadRequest {
    /// Coverage that the caller requires.
    #[serde(default)]
    pub coverage: RequiredCoverage,
    /// Deadline in milliseconds from the arrival of the request; the default of the service if
    /// absent.
    pub deadline_ms: Option<u64>,
    /// Keys to read; the whole key space if absent.
    pub range: Option<KeyRange>,
    /// Name of the service that the caller reads from.
    pub service: Arc<str>,
}

/// Coverage that a caller requires of a read.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequiredCoverage {
    /// The whole range must be read; otherwise the request is refused or fails.
    #[default]
    Full,
    /// The answer may cover a part of the range, which it lists.
    Partial,
}

/// Body of `POST /write`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WriteRequest {
    /// Text of the record.
    pub body: Arc<str>,
    /// Deadline in milliseconds from the arrival of the request; the default of the service if
    /// absent.
    pub deadline_ms: Option<u64>,
    /// Whether the caller sends this request id for the first time. Only then can a refusal
    /// without access to the store have the verdict that the write has not run.
    #[serde(default)]
    pub first_attempt: bool,
    /// Time at which the caller first issued the request id, in milliseconds since the Unix
    /// epoch; the same for all attempts. An attempt is one sending of the write by the caller.
    pub issued_unix_ms: u64,
    /// Key of the record.
    pub key: u64,
    /// Id that is the same for all attempts: 1 to 128 of `A-Z a-z 0-9 . _ -`, and not only dots.
    pub request_id: Arc<str>,
    /// Name of the service that the caller writes to.
    pub service: Arc<str>,
}

const MAX_REQUEST_ID_CHARS: usize = 128;

impl WriteRequest {
    /// Returns the verdict of a refusal before the request id is claimed, that is, recorded in the
    /// store so that the write runs at most once. An earlier attempt with this id may have run,
    /// unless the caller states that there was none.
    #[must_use]
    pub const fn verdict_before_claim(&self) -> Verdict {
        if self.first_attempt {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        }
    }

    /// Returns whether the request id can be part of an object path.
    #[must_use]
    pub fn has_valid_id(&self) -> bool {
        let valid = |it: u8| it.is_ascii_alphanumeric() || matches!(it, b'.' | b'_' | b'-');
        let id = self.request_id.as_bytes();
        !id.is_empty()
            && id.len() <= MAX_REQUEST_ID_CHARS
            && id.iter().all(|&it| valid(it))
            && id.iter().any(|&it| it != b'.')
    }
}
