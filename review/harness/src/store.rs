//! Stand-in for the platform's store, as PROTOCOL.md describes it: kinds of objects with
//! revisions, paged lists, watches, writes. Its answers are correct and take 4 ms.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http::Message;
use crate::http::response;

const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_OBJECTS: usize = 500;
/// Interval at which a waiting watch checks whether its machine is turned away.
const FAULT_CHECK: Duration = Duration::from_millis(20);

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    events: Vec<(u64, String, Value)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    /// Share of the answers that are lost, in thousandths.
    lost_permille: Arc<AtomicU64>,
    /// State of the random numbers that decide which answers are lost.
    random: Arc<AtomicU64>,
    /// Number of answers that were lost, and of those to watches of the configuration.
    lost: Arc<(AtomicU64, AtomicU64)>,
}

impl Store {
    pub fn start(ip: IpAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            shared: Arc::default(),
            lost_permille: Arc::default(),
            random: Arc::new(AtomicU64::new(1)),
            lost: Arc::default(),
        };
        // Revisions start above 0.
        store.shared.0.lock().unwrap().revision = 100;
        store.accept(listener, Arc::default());
        store
    }

    /// Returns an address of the store for one machine, and a switch that turns it away there.
    pub fn gate(&self, ip: IpAddr) -> (SocketAddr, Arc<AtomicBool>) {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("an address");
        let away = Arc::new(AtomicBool::new(false));
        self.accept(listener, away.clone());
        (address, away)
    }

    /// Loses this share of the answers from now on; the draw begins at `seed`.
    pub fn lose_answers(&self, permille: u64, seed: u64) {
        self.random.store(seed, Ordering::SeqCst);
        self.lost_permille.store(permille, Ordering::SeqCst);
    }

    /// Returns the number of answers lost so far, and of those to watches of the configuration.
    pub fn lost_answers(&self) -> (u64, u64) {
        let (all, watches) = &*self.lost;
        (all.load(Ordering::SeqCst), watches.load(Ordering::SeqCst))
    }

    fn loses_this(&self) -> bool {
        let step = 0x9e37_79b9_7f4a_7c15;
        let mut drawn = self.random.fetch_add(step, Ordering::SeqCst);
        drawn = (drawn ^ (drawn >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        drawn = (drawn ^ (drawn >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (drawn ^ (drawn >> 31)) % 1_000 < self.lost_permille.load(Ordering::SeqCst)
    }

    fn accept(&self, listener: TcpListener, away: Arc<AtomicBool>) {
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, away) = (store.clone(), away.clone());
                thread::spawn(move || store.serve(stream, &away));
            }
        });
    }

    /// Writes an object; the return is the confirmation.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.put_object(&mut self.shared.0.lock().unwrap(), kind, name, spec);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.remove_object(&mut self.shared.0.lock().unwrap(), kind, name);
    }

    fn put_object(&self, state: &mut State, kind: &str, name: &str, spec: &Value) {
        let key = (kind.to_owned(), name.to_owned());
        if state
            .objects
            .get(&key)
            .is_some_and(|object| object["spec"] == *spec)
        {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let meta = json!({ "name": name, "revision": revision, "created": 1,
            "finalizers": [], "deleting": false });
        let object = json!({ "meta": meta, "spec": spec, "status": null });
        state.objects.insert(key, object.clone());
        let event = json!({ "object": object, "deleted": false });
        state.events.push((revision, kind.to_owned(), event));
        self.shared.1.notify_all();
    }

    fn remove_object(&self, state: &mut State, kind: &str, name: &str) -> bool {
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        state.revision += 1;
        let event = json!({ "object": object, "deleted": true });
        state.events.push((state.revision, kind.to_owned(), event));
        self.shared.1.notify_all();
        true
    }

    fn serve(&self, stream: TcpStream, away: &AtomicBool) {
        stream.set_nodelay(true).ok();
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = Message::read(&mut reader) {
            let (status, body) = self.respond(&request, away);
            thread::sleep(ANSWER_TIME);
            if self.loses_this() {
                self.lost.0.fetch_add(1, Ordering::SeqCst);
                if request.word(1).starts_with("/objects/config?watch=") {
                    self.lost.1.fetch_add(1, Ordering::SeqCst);
                }
                // The connection stays open and returns nothing further.
                while let Ok(Some(_)) = Message::read(&mut reader) {}
                return;
            }
            let era = [("Store-Era", "1".to_owned())];
            let text = response(status, &era, body.to_string().as_bytes());
            if output.write_all(&text).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message, away: &AtomicBool) -> (u16, Value) {
        if away.load(Ordering::SeqCst) {
            return (503, json!({}));
        }
        let path = request.word(1).split('?').next().unwrap_or("");
        let Some(path) = path.strip_prefix("/objects/") else {
            return (404, json!({}));
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        match (request.word(0), request.param("watch")) {
            ("GET", Some(after)) => self.watch(request, away, kind, after.parse().unwrap_or(0)),
            ("GET", None) if name.is_empty() => self.list(request, kind),
            ("GET", None) => {
                let state = self.shared.0.lock().unwrap();
                let found = state.objects.get(&(kind.to_owned(), name.to_owned()));
                found.map_or((404, json!({})), |object| (200, object.clone()))
            }
            (method, _) => self.write(method, kind, name, &request.body),
        }
    }

    fn list(&self, request: &Message, kind: &str) -> (u16, Value) {
        let state = self.shared.0.lock().unwrap();
        let after = request.param("after").unwrap_or("");
        let wanted = |key: &&(String, String)| key.0 == kind && key.1.as_str() > after;
        let keys: Vec<_> = state.objects.keys().filter(wanted).collect();
        let more = keys.len() > PAGE_OBJECTS;
        let items: Vec<&Value> = keys
            .iter()
            .take(PAGE_OBJECTS)
            .map(|key| &state.objects[*key])
            .collect();
        (
            200,
            json!({ "items": items, "more": more, "store_revision": state.revision }),
        )
    }

    fn watch(&self, request: &Message, away: &AtomicBool, kind: &str, after: u64) -> (u16, Value) {
        let wait_ms = request.param("wait_ms").and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if away.load(Ordering::SeqCst) {
                // A watch that is waiting is cut off.
                return (503, json!({}));
            }
            let wanted = |it: &&(u64, String, Value)| it.0 > after && it.1 == kind;
            let events: Vec<&Value> = state.events.iter().filter(wanted).map(|it| &it.2).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = json!({ "events": events, "store_revision": state.revision });
                return (200, body);
            }
            state = self
                .shared
                .1
                .wait_timeout(state, left.min(FAULT_CHECK))
                .unwrap()
                .0;
        }
    }

    fn write(&self, method: &str, kind: &str, name: &str, body: &[u8]) -> (u16, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let mut state = self.shared.0.lock().unwrap();
        let named = body["meta"]["name"].as_str().unwrap_or("").to_owned();
        let name = if name.is_empty() {
            named.as_str()
        } else {
            name
        };
        let exists = state
            .objects
            .contains_key(&(kind.to_owned(), name.to_owned()));
        match method {
            "POST" if exists => return (409, json!({})),
            "PUT" | "DELETE" if !exists => return (404, json!({})),
            "DELETE" => {
                self.remove_object(&mut state, kind, name);
            }
            _ => self.put_object(&mut state, kind, name, &body["spec"]),
        }
        (200, json!({}))
    }
}
