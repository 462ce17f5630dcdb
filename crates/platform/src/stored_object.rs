use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// An object of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredObject {
    /// Content of the object.
    pub value: Arc<str>,
    /// Version of the last change. The whole store shares one counter, so an object that was
    /// deleted and created again never repeats a version.
    pub version: u64,
}

/// Path and version of an object of the store.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ObjectHead {
    /// Path of the object.
    pub path: Arc<str>,
    /// Version of the last change.
    pub version: u64,
}
