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

use crate::http_message::Reply;
use crate::http_message::Request;
use crate::http_server::ConnectionPolicy;
use crate::http_server::HttpServer;
use crate::http_server::lock;

/// Largest value that the store takes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Whether the store serves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Availability {
    /// Closes each connection without reading it.
    Closing,
    /// Reads requests and neither acts on them nor replies.
    Hanging,
    /// Replies with status 503 before any effect.
    Rejecting,
    /// Serves.
    #[default]
    Up,
}

/// Calls by kind that arrived, including those that an outage turned away after
/// they were read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreCounts {
    /// Updates and deletes refused since the object is at another version.
    pub conflicts: u64,
    /// Deletes.
    pub deletes: u64,
    /// Reads of one object.
    pub gets: u64,
    /// Reads of paths and versions.
    pub lists: u64,
    /// Writes that took effect and whose reply was dropped.
    pub lost_replies: u64,
    /// Largest number of watches pending at once.
    pub max_watches: u64,
    /// Conditional updates.
    pub puts: u64,
    /// Watches that arrived.
    pub watches: u64,
    /// Watches pending now.
    pub watches_pending: u64,
}

#[derive(Default)]
struct State {
    availability: Availability,
    counts: StoreCounts,
    delay: Duration,
    lose_replies: u32,
    objects: BTreeMap<String, Object>,
    stopped: bool,
    /// Version of the last change to any object.
    version: u64,
}

#[derive(Clone, Serialize)]
struct Object {
    value: String,
    version: u64,
}

#[derive(Serialize)]
struct Head<'a> {
    path: &'a str,
    version: u64,
}

struct Shared {
    /// Notified after each change of an object or of the availability.
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
    /// Starts a store at `address`; port 0 stands for any free port.
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

    /// Address of the store.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Calls so far.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        lock(&self.shared.state).counts
    }

    /// Drops the replies of the next `count` writes that take effect.
    pub fn lose_write_replies(&self, count: u32) {
        lock(&self.shared.state).lose_replies = count;
    }

    /// Value and version of the object at `path`, read past any outage.
    #[must_use]
    pub fn object(&self, path: &str) -> Option<(String, u64)> {
        let state = lock(&self.shared.state);
        let object = state.objects.get(path)?;
        Some((object.value.clone(), object.version))
    }

    /// Starts or ends an outage. Pending watches end without a reply when the
    /// store is no longer up.
    pub fn set_availability(&self, availability: Availability) {
        lock(&self.shared.state).availability = availability;
        self.server
            .set_refusing(availability == Availability::Closing);
        self.shared.changed.notify_all();
    }

    /// Delays each later call by `delay_ms` before it takes effect.
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
    fn handle(&self, request: &Request) -> Reply {
        let mut state = lock(&self.state);
        count(&mut state.counts, request);
        let delayed_until = Instant::now() + state.delay;
        state = self.wait(state, delayed_until, |_| false);
        if state.availability == Availability::Hanging {
            let far = Instant::now() + Duration::from_hours(1);
            let _ended = self.wait(state, far, |state| {
                state.availability != Availability::Hanging
            });
            return Reply::Close;
        }
        match state.availability {
            Availability::Rejecting => return reply(503, &"unavailable"),
            Availability::Up if !state.stopped => (),
            _ => return Reply::Close,
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/object") => get(&state, request),
            ("GET", "/objects") => list(&state, request),
            ("GET", "/watch") => self.watch(state, request),
            ("PUT" | "DELETE", "/object") => {
                let reply = change(&mut state, request);
                drop(state);
                self.changed.notify_all();
                reply
            }
            _ => reply(400, &"unknown call"),
        }
    }

    /// Waits until `end` of an event, or the end of the store.
    fn wait<'a>(
        &self,
        mut state: MutexGuard<'a, State>,
        until: Instant,
        end: impl Fn(&State) -> bool,
    ) -> MutexGuard<'a, State> {
        while !state.stopped && !end(&state) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        state
    }

    fn watch(&self, mut state: MutexGuard<State>, request: &Request) -> Reply {
        let (Some(path), Some(after), Some(wait_ms)) = (
            request.params.get("path"),
            request.param::<u64>("after_version"),
            request.param::<u64>("wait_ms"),
        ) else {
            return reply(400, &"missing parameter");
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
            return Reply::Close;
        }
        newer(&state).map_or_else(|| reply(204, &""), |object| reply(200, &object))
    }
}

fn reply(status: u16, body: &impl Serialize) -> Reply {
    let body = serde_json::to_string(body).unwrap_or_default();
    Reply::Send {
        body: if status == 204 { String::new() } else { body },
        status,
    }
}

fn count(counts: &mut StoreCounts, request: &Request) {
    match (request.method.as_str(), request.path.as_str()) {
        ("DELETE", _) => counts.deletes += 1,
        ("PUT", _) => counts.puts += 1,
        (_, "/objects") => counts.lists += 1,
        (_, "/watch") => counts.watches += 1,
        _ => counts.gets += 1,
    }
}

fn get(state: &State, request: &Request) -> Reply {
    let Some(path) = request.params.get("path") else {
        return reply(400, &"missing parameter");
    };
    state
        .objects
        .get(path)
        .map_or_else(|| reply(404, &"no such object"), |it| reply(200, it))
}

fn list(state: &State, request: &Request) -> Reply {
    let Some(prefix) = request.params.get("prefix") else {
        return reply(400, &"missing parameter");
    };
    let heads = state
        .objects
        .range(prefix.clone()..)
        .take_while(|(path, _)| path.starts_with(prefix))
        .map(|(path, object)| Head {
            path,
            version: object.version,
        })
        .collect::<Vec<_>>();
    reply(200, &BTreeMap::from([("objects", heads)]))
}

fn change(state: &mut State, request: &Request) -> Reply {
    let (Some(path), Some(expected)) = (
        request.params.get("path"),
        request.param::<u64>("expected_version"),
    ) else {
        return reply(400, &"missing parameter");
    };
    if request.body.len() > MAX_VALUE_BYTES {
        return reply(413, &"value too large");
    }
    let Ok(value) = String::from_utf8(request.body.clone()) else {
        return reply(400, &"value is not UTF-8");
    };
    let delete = request.method == "DELETE";
    let current = state.objects.get(path);
    if current.map_or(0, |object| object.version) != expected || delete && current.is_none() {
        state.counts.conflicts += 1;
        return reply(409, &current);
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
    if state.lose_replies > 0 {
        state.lose_replies -= 1;
        state.counts.lost_replies += 1;
        return Reply::Close;
    }
    reply(200, &BTreeMap::from([("version", version)]))
}
