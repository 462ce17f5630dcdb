//! A stand-in of the platform's store, by PROTOCOL.md and the news pages.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json;

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Objects by kind and name: revision and content.
type Objects = BTreeMap<(String, String), (u64, String)>;

#[derive(Default)]
struct State {
    down: bool,
    era: u64,
    /// Revision, kind and event.
    events: Vec<(u64, String, String)>,
    objects: Objects,
    /// Former states with their times, for lists that may be stale.
    past: Vec<(Instant, Objects, u64)>,
    revision: u64,
}

/// The store; objects on a page, and how old lists are that ask for no fresh data.
pub struct Store {
    changed: Condvar,
    page: usize,
    stale: Duration,
    state: Mutex<State>,
}

/// A copy of the whole store.
pub struct Copy {
    objects: Objects,
    revision: u64,
}

impl Store {
    pub fn start(page: usize, stale: Duration) -> (Arc<Self>, SocketAddr) {
        let state = State {
            revision: 10,
            ..State::default()
        };
        let store = Arc::new(Self {
            changed: Condvar::new(),
            page,
            stale,
            state: Mutex::new(state),
        });
        let served = store.clone();
        let address = http::serve(move |request, output| served.answer(request, output));
        (store, address)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the state")
    }

    /// Writes an object; the return is the confirmation.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.put_locked(&mut self.lock(), kind, name, spec);
    }

    fn put_locked(&self, state: &mut State, kind: &str, name: &str, spec: &str) {
        self.keep_past(state);
        state.revision += 1;
        let revision = state.revision;
        let event = format!(
            r#"{{"deleted":false,"object":{}}}"#,
            object(name, revision, spec)
        );
        state.events.push((revision, kind.to_owned(), event));
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (revision, spec.to_owned()));
        self.changed.notify_all();
    }

    fn remove_locked(&self, state: &mut State, kind: &str, name: &str) {
        self.keep_past(state);
        let removed = state.objects.remove(&(kind.to_owned(), name.to_owned()));
        if let Some((_, spec)) = removed {
            state.revision += 1;
            let revision = state.revision;
            let event = format!(
                r#"{{"deleted":true,"object":{}}}"#,
                object(name, revision, &spec)
            );
            state.events.push((revision, kind.to_owned(), event));
            self.changed.notify_all();
        }
    }

    fn keep_past(&self, state: &mut State) {
        if !self.stale.is_zero() {
            let entry = (Instant::now(), state.objects.clone(), state.revision);
            state.past.push(entry);
        }
    }

    pub fn copy(&self) -> Copy {
        let state = self.lock();
        Copy {
            objects: state.objects.clone(),
            revision: state.revision,
        }
    }

    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.changed.notify_all();
    }

    pub fn is_down(&self) -> bool {
        self.lock().down
    }

    /// Comes back from a copy; revisions after it are given out again.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.lock();
        state.objects = copy.objects.clone();
        state.revision = copy.revision;
        state.events.retain(|(at, _, _)| *at <= copy.revision);
        state.past.clear();
        state.era += 1;
        state.down = false;
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message, output: &mut TcpStream) -> bool {
        let (status, body) = self.respond(request);
        thread::sleep(ANSWER_TIME);
        let era = self.lock().era;
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
        );
        output.write_all((head + &body).as_bytes()).is_ok()
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .word(1)
            .split_once('?')
            .unwrap_or((request.word(1), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .into_iter()
                .find(|(key, _)| *key == name)
                .map(|(_, value)| decode(value))
        };
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(decode);
        if self.lock().down {
            return (503, "{}".to_owned());
        }
        if request.word(0) != "GET" {
            return self.write(request, &kind, name);
        }
        if let Some(name) = name {
            let state = self.lock();
            let found = state.objects.get(&(kind, name.clone()));
            return match found {
                Some((revision, spec)) => (200, object(&name, *revision, spec)),
                None => (404, "{}".to_owned()),
            };
        }
        if let Some(watch) = parameter("watch") {
            let wait_ms = parameter("wait_ms")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            return self.watch(
                &kind,
                watch.parse().unwrap_or(0),
                Duration::from_millis(wait_ms),
            );
        }
        let may_be_stale = parameter("serializable").is_some();
        (
            200,
            self.list(&kind, &parameter("after").unwrap_or_default(), may_be_stale),
        )
    }

    fn list(&self, kind: &str, after: &str, may_be_stale: bool) -> String {
        let state = self.lock();
        let at = Instant::now().checked_sub(self.stale);
        // The state at a time is the one that the first later change ended.
        let past = state
            .past
            .iter()
            .find(|(until, _, _)| may_be_stale && Some(*until) > at);
        let (objects, revision) = match past {
            Some((_, objects, revision)) => (objects, *revision),
            None => (&state.objects, state.revision),
        };
        let of_kind = objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after);
        let all: Vec<String> = of_kind
            .map(|((_, name), (at, spec))| object(name, *at, spec))
            .collect();
        let items = all
            .iter()
            .take(self.page)
            .cloned()
            .collect::<Vec<_>>()
            .join(",");
        let more = all.len() > self.page;
        format!(r#"{{"items":[{items}],"more":{more},"store_revision":{revision}}}"#)
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, String) {
        let ends = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if state.down {
                return (503, "{}".to_owned());
            }
            if from > state.revision {
                return (410, "{}".to_owned());
            }
            let newer = state
                .events
                .iter()
                .filter(|(at, of, _)| *at > from && of == kind);
            let events: Vec<&str> = newer.map(|(_, _, event)| event.as_str()).collect();
            if !events.is_empty() || Instant::now() >= ends {
                let revision = state.revision;
                let events = events.join(",");
                return (
                    200,
                    format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#),
                );
            }
            let waited = self.changed.wait_timeout(state, Duration::from_millis(20));
            state = waited.expect("the state").0;
        }
    }

    fn write(&self, request: &Message, kind: &str, name: Option<String>) -> (u16, String) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let meta = json::field(&body, "meta").unwrap_or("{}");
        let named = json::field(meta, "name").map(|value| json::text(value).to_owned());
        let name = name.or(named).unwrap_or_default();
        let mut state = self.lock();
        let exists = state.objects.contains_key(&(kind.to_owned(), name.clone()));
        match request.word(0) {
            "POST" if exists => return (409, "{}".to_owned()),
            "PUT" | "DELETE" if !exists => return (404, "{}".to_owned()),
            "DELETE" => self.remove_locked(&mut state, kind, &name),
            _ => {
                let spec = json::field(&body, "spec").unwrap_or("null");
                self.put_locked(&mut state, kind, &name, spec);
            }
        }
        (200, "{}".to_owned())
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"meta":{{"name":"{name}","revision":{revision},"created":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

/// Decodes percent-encoding and plus signs in a query or a path.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
