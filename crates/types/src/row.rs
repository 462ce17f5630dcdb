use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// One record of the index.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Row {
    /// Position in the key space.
    pub key: u64,
    /// Content of the record.
    pub value: Arc<str>,
}
