use serde::Deserialize;
use serde::Serialize;

/// Version of the index, the data that targets serve rows from; larger is newer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct IndexVersion(pub u64);
