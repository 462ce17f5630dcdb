use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::http_message::Request;
use crate::http_message::Response;
use crate::http_server::ConnectionPolicy;
use crate::http_server::HttpServer;
use crate::http_server::lock;

/// Maximum size of a stored value.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Availability of the store to its callers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Availability {
    /// Closes each new connection without reading from it.
    Closing,
    /// Reads requests but neither executes them nor responds.
    Hanging,
    /// Responds with status 503 without executing the request.
    Rejecting,
    /// Serves normally.
    #[default]
    Up,
}

/// Number of calls received, by kind, including those that were read during an outage but
/// not executed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreCounts {
    /// Writes and deletes refused because of a version mismatch.
    pub conflicts: u64,
    /// Deletes.
    pub deletes: u64,
    /// Reads of a single object.
    pub gets: u64,
    /// Listings of paths and versions.
    pub lists: u64,
    /// Writes and deletes that were applied but got no response, as set by
    /// `lose_write_replies`.
    pub lost_replies: u64,
    /// Maximum number of concurrently pending watches.
    pub max_watches: u64,
    /// Writes: creates and updates, all conditional on the version.
    pub puts: u64,
    /// Watches received.
    pub watches: u64,
    /// Currently pending watches.
    pub watches_pending: u64,
}

#[derive(Default)]
struct State {
    availability: Availability,
    counts: StoreCounts,
    delay: Duration,
    responses_to_lose: u32,
    objects: BTreeMap<String, Object>,
    stopped: bool,
    /// Version of the most recent change to any object; versions are store-wide.
    version: u64,
}

#[derive(Clone, Serialize)]
struct Object {
    value: String,
    version: u64,
}

/// Entry of a listing: an object without its value.
#[derive(Serialize)]
struct ObjectHead<'a> {
    path: &'a str,
    version: u64,
}

struct Shared {
    /// Notified after each change of an object or of the availability, and on stop.
    changed: Condvar,
    state: Mutex<State>,
}

/// Stand-in for the object API; stops when dropped.
pub struct ObjectStore {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl std::fmt::Debug for ObjectStore {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("ObjectStore")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

impl ObjectStore {
    /// Starts a store at `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            changed: Condvar::new(),
            state: Mutex::default(),
        });
        let server = HttpServer::start(address, ConnectionPolicy::default(), {
            let shared = Arc::clone(&shared);
            move |request| shared.handle(request)
        })?;
        Ok(Self { server, shared })
    }

    /// Returns the address of the store.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        lock(&self.shared.state).counts
    }

    /// Sends no responses to the next `count` writes or deletes that are applied.
    pub fn lose_write_replies(&self, count: u32) {
        lock(&self.shared.state).responses_to_lose = count;
    }

    /// Returns the value and version of the object at `path`, regardless of outages.
    #[must_use]
    pub fn object(&self, path: &str) -> Option<(String, u64)> {
        let state = lock(&self.shared.state);
        let object = state.objects.get(path)?;
        Some((object.value.clone(), object.version))
    }

    /// Starts or ends an outage. Pending watches are closed without a response when the
    /// store stops being up.
    pub fn set_availability(&self, availability: Availability) {
        lock(&self.shared.state).availability = availability;
        self.server
            .set_refusing(availability == Availability::Closing);
        self.shared.changed.notify_all();
    }

    /// Delays the execution of each later call by `delay_ms`.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        lock(&self.shared.state).delay = Duration::from_millis(delay_ms);
    }
}

impl Drop for ObjectStore {
    fn drop(&mut self) {
        lock(&self.shared.state).stopped = true;
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn handle(&self, request: &Request) -> Response {
        let mut state = lock(&self.state);
        count_call(&mut state.counts, request);
        let delayed_until = Instant::now() + state.delay;
        state = self.wait(state, delayed_until, |_| false);
        if state.availability == Availability::Hanging {
            let latest = Instant::now() + Duration::from_hours(1);
            let _state = self.wait(state, latest, |state| {
                state.availability != Availability::Hanging
            });
            return Response::Close;
        }
        match state.availability {
            Availability::Rejecting => return response(503, &"unavailable"),
            Availability::Up if !state.stopped => (),
            _ => return Response::Close,
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/object") => get_object(&state, request),
            ("GET", "/objects") => list_objects(&state, request),
            ("GET", "/watch") => self.watch(state, request),
            ("PUT" | "DELETE", "/object") => {
                let response = change_object(&mut state, request);
                drop(state);
                self.changed.notify_all();
                response
            }
            _ => response(400, &"unknown call"),
        }
    }

    /// Waits until `done` returns true, until `until`, or until the store stops.
    fn wait<'a>(
        &self,
        mut state: MutexGuard<'a, State>,
        until: Instant,
        done: impl Fn(&State) -> bool,
    ) -> MutexGuard<'a, State> {
        while !state.stopped && !done(&state) {
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            state = self
                .changed
                .wait_timeout(state, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        state
    }

    fn watch(&self, mut state: MutexGuard<State>, request: &Request) -> Response {
        let (Some(path), Some(after), Some(wait_ms)) = (
            request.params.get("path"),
            request.param::<u64>("after_version"),
            request.param::<u64>("wait_ms"),
        ) else {
            return response(400, &"missing parameter");
        };
        let newer = |state: &State| {
            let object = state.objects.get(path);
            object.filter(|object| object.version > after).cloned()
        };
        state.counts.watches_pending += 1;
        state.counts.max_watches = state.counts.max_watches.max(state.counts.watches_pending);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        state = self.wait(state, until, |state| {
            state.availability != Availability::Up || newer(state).is_some()
        });
        state.counts.watches_pending -= 1;
        if state.stopped || state.availability != Availability::Up {
            return Response::Close;
        }
        newer(&state).map_or_else(|| response(204, &""), |object| response(200, &object))
    }
}

fn response(status: u16, body: &impl Serialize) -> Response {
    let body = serde_json::to_string(body).unwrap_or_default();
    Response::Send {
        body: if status == 204 { String::new() } else { body },
        status,
    }
}

fn count_call(counts: &mut StoreCounts, request: &Request) {
    match (request.method.as_str(), request.path.as_str()) {
        ("DELETE", _) => counts.deletes += 1,
        ("PUT", _) => counts.puts += 1,
        (_, "/objects") => counts.lists += 1,
        (_, "/watch") => counts.watches += 1,
        _ => counts.gets += 1,
    }
}

fn get_object(state: &State, request: &Request) -> Response {
    let Some(path) = request.params.get("path") else {
        return response(400, &"missing parameter");
    };
    state
        .objects
        .get(path)
        .map_or_else(|| response(404, &"no such object"), |it| response(200, it))
}

fn list_objects(state: &State, request: &Request) -> Response {
    let Some(prefix) = request.params.get("prefix") else {
        return response(400, &"missing parameter");
    };
    let heads = state
        .objects
        .range(prefix.clone()..)
        .take_while(|(path, _)| path.starts_with(prefix))
        .map(|(path, object)| ObjectHead {
            path,
            version: object.version,
        })
        .collect::<Vec<_>>();
    response(200, &BTreeMap::from([("objects", heads)]))
}

fn change_object(state: &mut State, request: &Request) -> Response {
    let (Some(path), Some(expected)) = (
        request.params.get("path"),
        request.param::<u64>("expected_version"),
    ) else {
        return response(400, &"missing parameter");
    };
    if request.body.len() > MAX_VALUE_BYTES {
        return response(413, &"value too large");
    }
    let Ok(value) = String::from_utf8(request.body.clone()) else {
        return response(400, &"value is not UTF-8");
    };
    let delete = request.method == "DELETE";
    let current = state.objects.get(path);
    if current.map_or(0, |object| object.version) != expected || delete && current.is_none() {
        state.counts.conflicts += 1;
        return response(409, &current);
    }
    state.version += 1;
    let version = state.version;
    if delete {
        state.objects.remove(path);
    } else {
        state
            .objects
            .insert(path.clone(), Object { value, version });
    }
    if state.responses_to_lose > 0 {
        state.responses_to_lose -= 1;
        state.counts.lost_replies += 1;
        return Response::Close;
    }
    response(200, &BTreeMap::from([("version", version)]))
}
