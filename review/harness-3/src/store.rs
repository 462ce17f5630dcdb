//! A stand-in of the platform's metadata store, by PROTOCOL.md: kinds, paged lists (500 items or
//! 1 MB a page), watches, conditional writes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Message};

/// Items on a page at most.
const PAGE_ITEMS: usize = 500;

/// Size of a page at most, but for a single larger object.
const PAGE_BYTES: usize = 1_048_576;

/// Size of an object at most, `value_bytes` of the settings.
pub const VALUE_BYTES: usize = 1_048_576;

#[derive(Default)]
struct State {
    /// Encoded objects by kind and name.
    objects: BTreeMap<(String, String), Stored>,
    /// Revision, kind and encoded event.
    events: Vec<(u64, String, Arc<str>)>,
    revision: u64,
    calls: u64,
    /// Requests that were refused as malformed.
    refused: u64,
}

struct Stored {
    text: Arc<str>,
    spec: Value,
    revision: u64,
    created: u64,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                revision: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let accepting = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = accepting.clone();
                thread::spawn(move || serve(&shared, stream));
            }
        });
        Self { address, shared }
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = lock(&self.shared);
        let names = state.objects.keys().filter(|(of, _)| of == kind);
        names.map(|(_, name)| name.clone()).collect()
    }

    /// Removes an object that has no finalizers.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = lock(&self.shared);
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = state.objects.remove(&key) {
            record_removal(&mut state, kind, &known.text);
        }
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Writes an object, as the operator, a replica or another writer does.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        put(&mut lock(&self.shared), kind, name, spec);
        self.shared.changed.notify_all();
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.state.lock().expect("the state of the store")
}

fn put(state: &mut State, kind: &str, name: &str, spec: Value) -> Arc<str> {
    let key = (kind.to_owned(), name.to_owned());
    if let Some(known) = state.objects.get(&key)
        && known.spec == spec
    {
        return known.text.clone();
    }
    state.revision += 1;
    let revision = state.revision;
    let created = state
        .objects
        .get(&key)
        .map_or(revision, |known| known.created);
    let object = json!({
        "meta": { "name": name, "revision": revision, "created": created, "finalizers": [], "deleting": false },
        "spec": spec, "status": null,
    });
    let text: Arc<str> = object.to_string().into();
    assert!(
        text.len() <= VALUE_BYTES,
        "an object is value_bytes at most"
    );
    let event = format!("{{\"deleted\":false,\"object\":{text}}}");
    state.events.push((revision, kind.to_owned(), event.into()));
    let stored = Stored {
        text: text.clone(),
        spec,
        revision,
        created,
    };
    state.objects.insert(key, stored);
    text
}

fn record_removal(state: &mut State, kind: &str, text: &str) {
    state.revision += 1;
    let event = format!("{{\"deleted\":true,\"object\":{text}}}");
    state
        .events
        .push((state.revision, kind.to_owned(), event.into()));
}

fn serve(shared: &Shared, stream: TcpStream) {
    drop(stream.set_nodelay(true));
    let Ok(mut output) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = http::read(&mut reader) {
        let (status, body) = respond(shared, &request);
        let head = format!(
            "HTTP/1.1 {status} X\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if output
            .write_all(&[head.as_bytes(), body.as_bytes()].concat())
            .is_err()
        {
            return;
        }
    }
}

fn respond(shared: &Shared, request: &Message) -> (u16, String) {
    let (path, query) = request
        .target()
        .split_once('?')
        .unwrap_or((request.target(), ""));
    let params: BTreeMap<String, String> = query
        .split('&')
        .filter_map(|item| item.split_once('='))
        .map(|(name, value)| (name.to_owned(), http::unescape(value)))
        .collect();
    let segments: Vec<String> = path.split('/').skip(1).map(http::unescape).collect();
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    lock(shared).calls += 1;
    match (request.method(), &*segments) {
        ("GET", ["objects", kind]) => match params.get("watch") {
            Some(from) => watch(shared, kind, from, &params),
            None => (
                200,
                list(&lock(shared), kind, params.get("after").map(String::as_str)),
            ),
        },
        ("GET", ["objects", kind, name]) => {
            let state = lock(shared);
            match state.objects.get(&((*kind).to_owned(), (*name).to_owned())) {
                Some(stored) => (200, stored.text.to_string()),
                None => (404, "{}".to_owned()),
            }
        }
        ("POST" | "PUT" | "DELETE", ["objects", kind, rest @ ..]) => {
            write(shared, request, kind, rest.first().copied())
        }
        _ => {
            lock(shared).refused += 1;
            (400, "{}".to_owned())
        }
    }
}

fn write(shared: &Shared, request: &Message, kind: &str, name: Option<&str>) -> (u16, String) {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
    let name = name
        .or(body["meta"]["name"].as_str())
        .unwrap_or("")
        .to_owned();
    let mut state = lock(shared);
    let key = (kind.to_owned(), name.clone());
    let known = state
        .objects
        .get(&key)
        .map(|known| (known.text.clone(), known.revision));
    let wanted = body["meta"]["revision"]
        .as_u64()
        .filter(|revision| *revision > 0);
    let response = match (request.method(), known) {
        ("POST", Some((text, _))) => (409, text.to_string()),
        ("PUT" | "DELETE", None) => (404, "{}".to_owned()),
        ("PUT" | "DELETE", Some((text, revision))) if wanted.is_some_and(|it| it != revision) => {
            (409, text.to_string())
        }
        ("DELETE", Some((text, _))) => {
            state.objects.remove(&key);
            record_removal(&mut state, kind, &text);
            (200, text.to_string())
        }
        _ => (
            200,
            put(&mut state, kind, &name, body["spec"].clone()).to_string(),
        ),
    };
    drop(state);
    shared.changed.notify_all();
    response
}

fn list(state: &State, kind: &str, after: Option<&str>) -> String {
    let mut items: Vec<&str> = Vec::new();
    let (mut bytes, mut more) = (0, false);
    for ((of, name), stored) in &state.objects {
        if of != kind || after.is_some_and(|after| name.as_str() <= after) {
            continue;
        }
        let full = items.len() == PAGE_ITEMS || bytes + stored.text.len() > PAGE_BYTES;
        if full && !items.is_empty() {
            more = true;
            break;
        }
        bytes += stored.text.len();
        items.push(&stored.text);
    }
    let (items, revision) = (items.join(","), state.revision);
    format!("{{\"items\":[{items}],\"more\":{more},\"store_revision\":{revision}}}")
}

fn watch(
    shared: &Shared,
    kind: &str,
    from: &str,
    params: &BTreeMap<String, String>,
) -> (u16, String) {
    let Ok(from) = from.parse::<u64>() else {
        return (400, "{}".to_owned());
    };
    let wait_ms = params
        .get("wait_ms")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let ends = Instant::now() + Duration::from_millis(wait_ms);
    let mut state = lock(shared);
    loop {
        if from > state.revision {
            return (410, "{}".to_owned());
        }
        let new = state
            .events
            .iter()
            .filter(|(at, of, _)| *at > from && of == kind);
        let events: Vec<&str> = new.map(|(_, _, event)| &**event).collect();
        let left = ends.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let (events, revision) = (events.join(","), state.revision);
            return (
                200,
                format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"),
            );
        }
        state = shared
            .changed
            .wait_timeout(state, left)
            .expect("the state of the store")
            .0;
    }
}
