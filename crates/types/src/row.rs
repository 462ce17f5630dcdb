use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// One row of the index, the data that the replicas of shard services hold.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Row {
    /// Key, in [`KeyRange::WHOLE`](crate::KeyRange::WHOLE).
    pub key: u64,
    /// Content of the row.
    pub value: Arc<str>,
}
