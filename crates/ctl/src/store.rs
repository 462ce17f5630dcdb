use std::fmt::Debug;
use std::fmt::Formatter;

use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::ObjectHead;
use wigeonhall_platform::PlatformError;
use wigeonhall_platform::PutOutcome;
use wigeonhall_platform::StoredObject;

type Delete = dyn Fn(&str, u64) -> Result<PutOutcome, PlatformError>;
type Get = dyn Fn(&str) -> Result<Option<StoredObject>, PlatformError>;
type List = dyn Fn(&str) -> Result<Vec<ObjectHead>, PlatformError>;
type Put = dyn Fn(&str, u64, &str) -> Result<PutOutcome, PlatformError>;

/// Calls to the object API.
pub struct Store {
    /// Deletes an object at a version.
    pub delete: Box<Delete>,
    /// Reads an object.
    pub get: Box<Get>,
    /// Lists the objects under a prefix.
    pub list: Box<List>,
    /// Sets an object at a version; 0 means that it must not exist.
    pub put: Box<Put>,
}

impl Store {
    /// Calls over the client of the platform.
    #[must_use]
    pub fn over(api: &ObjectApi) -> Self {
        let (delete, get, list, put) = (api.clone(), api.clone(), api.clone(), api.clone());
        Self {
            delete: Box::new(move |path, version| delete.delete(path, version)),
            get: Box::new(move |path| get.get(path)),
            list: Box::new(move |prefix| list.list(prefix)),
            put: Box::new(move |path, version, value| put.put(path, version, value)),
        }
    }
}

impl Debug for Store {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}
