use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::KeyRange;

/// Operation that a sub-request asks of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Operation {
    /// Reads the rows of a key range. Idempotent.
    Read {
        /// Range of keys to read.
        range: KeyRange,
    },
    /// Writes one row. Not idempotent, so it is sent again only after a reply that proves that
    /// it has not run.
    Write {
        /// Body of the caller's request.
        body: Arc<str>,
        /// Key of the row; it decides which shard service holds the row.
        key: u64,
        /// Request id that the caller gave, identical in all attempts of the request.
        request_id: Arc<str>,
    },
}

impl Operation {
    /// Returns whether repeating the operation has no further effect.
    #[must_use]
    pub const fn is_idempotent(&self) -> bool {
        matches!(self, Self::Read { .. })
    }
}
