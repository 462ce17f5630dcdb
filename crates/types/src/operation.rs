use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::KeyRange;

/// What a sub-request asks of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Operation {
    /// Reads the rows of a key range; idempotent.
    Read {
        /// Keys that the caller asked for.
        range: KeyRange,
    },
    /// Writes one row; not idempotent, so it is sent at most once.
    Write {
        /// Text that the caller gave.
        body: Arc<str>,
        /// Key that decides which service holds the row.
        key: u64,
        /// Id that the caller gave; the same over all its attempts.
        request_id: Arc<str>,
    },
}

impl Operation {
    /// Whether a repeat does no harm.
    #[must_use]
    pub const fn is_idempotent(&self) -> bool {
        matches!(self, Self::Read { .. })
    }
}
