use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use wigeonhall_types::KeyRange;
use wigeonhall_types::Verdict;

/// Body of `POST /query`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReadRequest {
    /// Coverage that the caller insists on.
    #[serde(default)]
    pub coverage: CoverageName,
    /// Time in which the caller wants the answer, in milliseconds; the class's
    /// deadline if absent.
    pub deadline_ms: Option<u64>,
    /// Keys to read; the whole key space if absent.
    pub range: Option<KeyRange>,
    /// Name of the query class.
    pub service: Arc<str>,
}

/// Coverage that a caller insists on, by name.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CoverageName {
    /// The whole range or a refusal.
    #[default]
    Full,
    /// What can be read in time, labelled.
    Partial,
}

/// Body of `POST /write`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WriteRequest {
    /// Text of the record.
    pub body: Arc<str>,
    /// Time in which the caller wants the answer, in milliseconds; the class's
    /// deadline if absent.
    pub deadline_ms: Option<u64>,
    /// Whether the caller never sent this request id before. Only with this mark
    /// can a refusal without the store say "not run".
    #[serde(default)]
    pub first_attempt: bool,
    /// Time at which the caller first issued the request id, in milliseconds since
    /// the Unix epoch; the same over all its tries.
    pub issued_unix_ms: u64,
    /// Key of the record.
    pub key: u64,
    /// Id that the caller keeps over all its tries: 1 to 128 of `A-Z a-z 0-9 . _ -`.
    pub request_id: Arc<str>,
    /// Name of the class.
    pub service: Arc<str>,
}

const MAX_REQUEST_ID_CHARS: usize = 128;

impl WriteRequest {
    /// Verdict of a refusal of this request before it was claimed: an earlier try
    /// with its id may have run, unless the caller states that there was none.
    #[must_use]
    pub const fn verdict_unsent(&self) -> Verdict {
        if self.first_attempt {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        }
    }

    /// Whether the request id can be part of an object path.
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
