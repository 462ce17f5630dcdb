use std::fmt::Debug;
use std::fmt::Formatter;
use std::thread;
use std::thread::ScopedJoinHandle;

use wigeonhall_platform::ChangeOutcome;
use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::ObjectHead;
use wigeonhall_platform::PlatformError;
use wigeonhall_platform::StoredObject;

/// Number of threads that read the parts of a text. A text of 1.2 MB has about 300 parts,
/// and each call opens a connection and takes some milliseconds.
const READ_THREADS: usize = 8;

type Delete = dyn Fn(&str, u64) -> Result<ChangeOutcome, PlatformError>;
type Get = dyn Fn(&str) -> Result<Option<StoredObject>, PlatformError>;
type GetMany = dyn Fn(&[String]) -> Result<Vec<Option<StoredObject>>, PlatformError>;
type List = dyn Fn(&str) -> Result<Vec<ObjectHead>, PlatformError>;
type Put = dyn Fn(&str, u64, &str) -> Result<ChangeOutcome, PlatformError>;

/// Client of the store, the platform's object API, as closures that tests can replace.
pub struct Store {
    /// Deletes an object if it is at the given version.
    pub delete: Box<Delete>,
    /// Reads an object; `None` if it does not exist.
    pub get: Box<Get>,
    /// Reads many objects; the results are in the order of the paths.
    pub get_many: Box<GetMany>,
    /// Lists the objects under a prefix.
    pub list: Box<List>,
    /// Writes an object if it is at the given version; 0 means that it must not exist.
    pub put: Box<Put>,
}

impl Store {
    /// Creates a store that calls the platform's object API.
    #[must_use]
    pub fn from_api(api: &ObjectApi) -> Self {
        let (delete, get, list, put) = (api.clone(), api.clone(), api.clone(), api.clone());
        let many = api.clone();
        Self {
            delete: Box::new(move |path, version| delete.delete(path, version)),
            get: Box::new(move |path| get.get(path)),
            get_many: Box::new(move |paths| get_many(&many, paths)),
            list: Box::new(move |prefix| list.list(prefix)),
            put: Box::new(move |path, version, value| put.put(path, version, value)),
        }
    }
}

/// Reads all paths on up to `READ_THREADS` threads, in order.
fn get_many(api: &ObjectApi, paths: &[String]) -> Result<Vec<Option<StoredObject>>, PlatformError> {
    let chunk = paths.len().div_ceil(READ_THREADS).max(1);
    let read = |paths: &[String]| paths.iter().map(|it| api.get(it)).collect();
    thread::scope(|scope| {
        let chunks = paths.chunks(chunk);
        let threads: Vec<_> = chunks.map(|it| scope.spawn(move || read(it))).collect();
        let ended = threads.into_iter().flat_map(ScopedJoinHandle::join);
        let read: Result<Vec<Vec<_>>, _> = ended.collect();
        Ok(read?.concat())
    })
}

impl Debug for Store {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}
