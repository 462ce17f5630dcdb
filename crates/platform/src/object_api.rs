use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use attohttpc::Method;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::ChangeOutcome;
use crate::ObjectCallCounts;
use crate::ObjectHead;
use crate::PlatformError;
use crate::StoredObject;
use crate::http::Call;
use crate::http::Reply;
use crate::object_calls::CallCounters;

/// Maximum size of a value that the store accepts.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Client of the object API, the HTTP interface of the platform's store. Clones share their call
/// counters.
#[derive(Clone, Debug)]
pub struct ObjectApi {
    address: SocketAddr,
    calls: Arc<CallCounters>,
    timeout: Duration,
}

#[derive(Deserialize)]
struct VersionBody {
    version: u64,
}

#[derive(Deserialize)]
struct ListBody<'a> {
    #[serde(borrow)]
    objects: Vec<&'a RawValue>,
}

impl ObjectApi {
    /// Creates a client of the store at `address`. Calls time out after `timeout_ms`, watches
    /// after their wait plus `timeout_ms`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self {
            address,
            calls: Arc::default(),
            timeout: Duration::from_millis(timeout_ms),
        }
    }

    /// Returns the counts of calls made so far by this client and its clones.
    #[must_use]
    pub fn calls(&self) -> ObjectCallCounts {
        self.calls.snapshot()
    }

    /// Deletes the object at `path` if it is at `expected_version`.
    ///
    /// # Errors
    ///
    /// If the call fails; see [`PlatformError::verdict`] for whether the deletion may have taken
    /// effect.
    pub fn delete(
        &self,
        path: &str,
        expected_version: u64,
    ) -> Result<ChangeOutcome, PlatformError> {
        self.change(
            Method::DELETE,
            &self.calls.deletes,
            path,
            expected_version,
            "",
        )
    }

    /// Reads the object at `path`; returns `None` if there is none.
    ///
    /// # Errors
    ///
    /// If the call fails.
    pub fn get(&self, path: &str) -> Result<Option<StoredObject>, PlatformError> {
        let call = self.new_call(Method::GET, "/object");
        let reply = self.send_counted(&self.calls.gets, || {
            Call {
                params: &[("path", path)],
                ..call
            }
            .send()
        })?;
        match reply.status {
            200 => reply.json().map(Some),
            404 => Ok(None),
            _ => reply.unexpected(),
        }
    }

    /// Lists the objects whose path begins with `prefix`, sorted by path. Objects whose path or
    /// version cannot be read are left out.
    ///
    /// # Errors
    ///
    /// If the call fails.
    pub fn list(&self, prefix: &str) -> Result<Vec<ObjectHead>, PlatformError> {
        let call = self.new_call(Method::GET, "/objects");
        let reply = self.send_counted(&self.calls.lists, || {
            Call {
                params: &[("prefix", prefix)],
                ..call
            }
            .send()
        })?;
        match reply.status {
            200 => decode_heads(&reply.body),
            _ => reply.unexpected(),
        }
    }

    /// Sets the object at `path` to `value` if it is at `expected_version`; 0 stands for an
    /// object that does not exist.
    ///
    /// # Errors
    ///
    /// If the value is too large or the call fails; see [`PlatformError::verdict`] for whether the
    /// update may have taken effect.
    pub fn put(
        &self,
        path: &str,
        expected_version: u64,
        value: &str,
    ) -> Result<ChangeOutcome, PlatformError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(PlatformError::TooLarge {
                size_bytes: value.len(),
            });
        }
        self.change(Method::PUT, &self.calls.puts, path, expected_version, value)
    }

    /// Waits up to `wait_ms` for the object at `path` to have a version above `after_version`
    /// and returns it; returns `None` if there is no newer version by then. A deletion is not
    /// reported.
    ///
    /// # Errors
    ///
    /// If the call fails.
    pub fn watch(
        &self,
        path: &str,
        after_version: u64,
        wait_ms: u64,
    ) -> Result<Option<StoredObject>, PlatformError> {
        let call = self.new_call(Method::GET, "/watch");
        let reply = self.send_counted(&self.calls.watches, || {
            Call {
                params: &[
                    ("path", path),
                    ("after_version", &after_version.to_string()),
                    ("wait_ms", &wait_ms.to_string()),
                ],
                timeout: self.timeout + Duration::from_millis(wait_ms),
                ..call
            }
            .send()
        })?;
        match reply.status {
            200 => reply.json().map(Some),
            204 => Ok(None),
            _ => reply.unexpected(),
        }
    }

    /// Creates a call without parameters and body.
    fn new_call(&self, method: Method, path: &'static str) -> Call<'static> {
        Call {
            address: self.address,
            body: &[],
            method,
            params: &[],
            path,
            timeout: self.timeout,
        }
    }

    /// Sends a conditional update or delete.
    fn change(
        &self,
        method: Method,
        counter: &AtomicU64,
        path: &str,
        expected_version: u64,
        value: &str,
    ) -> Result<ChangeOutcome, PlatformError> {
        let call = self.new_call(method, "/object");
        let reply = self.send_counted(counter, || {
            Call {
                body: value.as_bytes(),
                params: &[
                    ("path", path),
                    ("expected_version", &expected_version.to_string()),
                ],
                ..call
            }
            .send()
        })?;
        match reply.status {
            200 => reply
                .json::<VersionBody>()
                .map(|body| ChangeOutcome::Stored {
                    version: body.version,
                }),
            409 => reply.json().map(ChangeOutcome::Conflict),
            _ => reply.unexpected(),
        }
    }

    /// Sends a call and counts it, and an error if it fails.
    fn send_counted(
        &self,
        counter: &AtomicU64,
        send: impl FnOnce() -> Result<Reply, PlatformError>,
    ) -> Result<Reply, PlatformError> {
        counter.fetch_add(1, Ordering::Relaxed);
        send().inspect_err(|_| {
            self.calls.errors.fetch_add(1, Ordering::Relaxed);
        })
    }
}

/// Decodes the objects of a list one by one, so that one that cannot be read does not hide the
/// others.
fn decode_heads(body: &[u8]) -> Result<Vec<ObjectHead>, PlatformError> {
    let text = String::from_utf8_lossy(body);
    let list: ListBody<'_> =
        serde_json::from_str(&text).map_err(|error| PlatformError::BadReply {
            reason: error.to_string(),
        })?;
    let heads = list.objects.iter().filter_map(|item| decode_head(item));
    Ok(heads.collect())
}

fn decode_head(item: &RawValue) -> Option<ObjectHead> {
    let head: ObjectHead = match serde_json::from_str(item.get()) {
        Ok(head) => head,
        Err(error) => {
            log::warn!("an object of the store cannot be read: {error}");
            return None;
        }
    };
    // The store has another path for the object: calls with this one would not find it.
    if head.path.contains(char::REPLACEMENT_CHARACTER) {
        log::warn!("an object of the store has a path that is not UTF-8");
        return None;
    }
    Some(head)
}
