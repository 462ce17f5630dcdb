use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// One row of the index.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Row {
    /// Key of the row in the key space.
    pub key: u64,
    /// Content of the row.
    pub value: Arc<str>,
}
