//! An in-memory store and nodes, which a command calls through the closures of its context.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use wigeonhall_ctl::Context;
use wigeonhall_ctl::NodeClient;
use wigeonhall_ctl::Store;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_fleet::PartHash;
use wigeonhall_platform::ChangeOutcome;
use wigeonhall_platform::ObjectHead;
use wigeonhall_platform::PlatformError;
use wigeonhall_platform::StoredObject;
use wigeonhall_protocol::CURRENT_PATH;
use wigeonhall_protocol::HISTORY_PREFIX;
use wigeonhall_protocol::NodeStatus;
use wigeonhall_protocol::StoredConfig;
use wigeonhall_protocol::StoredPart;

pub const TEXT: &str = "\
region: demo
defaults: { slots: 2, connections: 3, connect_us: 0, cold: { slots: 1, requests_per_s: 1 } }
data_centres:
  north:  # the first one
  south:
services:
  search:
    kind: read
    depends_on: [shard]
    deadline_ms: 100
    level: { latency_ms: 50, objective: 0.9 }
  shard:
    replicas:
      a: north 127.0.0.1:1
      b: south 127.0.0.1:2
vms:
  n-1: north 127.0.0.1:11 127.0.0.1:21
  s-1: south 127.0.0.1:12 127.0.0.1:22
";

/// Fault that the next conditional update of `config/current` meets.
pub enum PutFault {
    /// The closure, a command of another operator, runs before the update.
    OtherChangeFirst(Box<dyn FnOnce(&FakeCluster) + Send>),
    /// The closure, a command of another operator, runs before the update; the reply to the
    /// update is lost.
    OtherChangeThenReplyLost(Box<dyn FnOnce(&FakeCluster) + Send>),
    /// The request is lost; then the closure runs.
    RequestLostThen(Box<dyn FnOnce(&FakeCluster) + Send>),
    /// The update takes effect after the next read; the reply is lost.
    AppliedAfterNextRead,
    /// The update takes effect when [`FakeCluster::deliver`] is called; the reply is lost.
    Held,
    /// The request is lost.
    RequestLost,
    /// The update takes effect; the reply is lost.
    ReplyLost,
    /// The update takes effect, then the closure runs; the reply is lost.
    ReplyLostThen(Box<dyn FnOnce(&FakeCluster) + Send>),
    /// The update takes effect, the reply is lost and the store goes down.
    ReplyLostThenDown,
}

/// State of the store and the nodes.
#[derive(Default)]
pub struct FakeState {
    /// Answers of nodes by address and path; other requests get the default status.
    pub answers: BTreeMap<(SocketAddr, String), String>,
    /// Nodes that refuse connections.
    pub unreachable_nodes: Vec<SocketAddr>,
    /// Generation (version) and change id of each value that `config/current` had.
    pub effects: Vec<(u64, String)>,
    /// Whether reads and writes of the store fail.
    pub down: bool,
    /// Number of reads and lists that fail before the next one succeeds.
    pub failing_reads: u32,
    pub put_faults: VecDeque<PutFault>,
    /// Whether writes to the history fail.
    pub history_fails: bool,
    /// Expected versions and values of updates that take effect after the next read.
    pub delayed_updates: Vec<(u64, String)>,
    /// Expected versions and values of updates that wait for [`FakeCluster::deliver`].
    pub held_updates: Vec<(u64, String)>,
    pub objects: BTreeMap<String, StoredObject>,
    pub overrides: Vec<EvacuationOverride>,
    /// Number of updates of `config/current` that were sent.
    pub puts: u32,
    /// Lines that the commands printed about their progress.
    pub said: Vec<String>,
    /// Time that the commands read.
    pub unix_ms: u64,
    /// Version of the last change to any object.
    pub version: u64,
}

/// Store, nodes and operators of one test; clones share their state.
#[derive(Clone, Default)]
pub struct FakeCluster {
    state: Arc<Mutex<FakeState>>,
}

impl FakeCluster {
    pub fn state(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().unwrap()
    }

    /// Returns the context of an operator whose change ids are `<author>-1` and so on.
    pub fn operator(&self, author: &str) -> Context {
        let ids = Mutex::new(0);
        let id_author = author.to_owned();
        let (clock, said) = (self.clone(), self.clone());
        Context {
            author: Arc::from(author),
            new_change_id: Box::new(move || {
                let mut last = ids.lock().unwrap();
                *last += 1;
                Arc::from(format!("{id_author}-{last}"))
            }),
            node_addresses: Vec::new(),
            node_client: self.node_client(),
            // Allows two more attempts after the first one, without a pause.
            new_backoff: Box::new(|| {
                let mut tries = 3;
                Box::new(move || {
                    tries -= 1;
                    tries > 0
                })
            }),
            print_progress: Box::new(move |line| said.state().said.push(line.to_owned())),
            store: Some(self.store()),
            unix_ms: Box::new(move || clock.state().unix_ms),
        }
    }

    fn node_client(&self) -> NodeClient {
        let (get, post) = (self.clone(), self.clone());
        NodeClient {
            get: Box::new(move |address, path, params| get.node_get(address, path, params)),
            post: Box::new(move |address, path, body| {
                if is_unreachable(&post, address) {
                    return Err("connection refused".into());
                }
                assert_eq!(path, "/evacuate");
                let evacuation = serde_json::from_str(body).unwrap();
                post.state().overrides.push(evacuation);
                Ok(String::new())
            }),
        }
    }

    fn node_get(
        &self,
        address: SocketAddr,
        path: &str,
        params: &[(&str, &str)],
    ) -> Result<String, String> {
        if is_unreachable(self, address) {
            return Err("connection refused".into());
        }
        let params = params.iter().map(|(key, value)| format!("?{key}={value}"));
        let path = format!("{path}{}", params.collect::<String>());
        if let Some(answer) = self.state().answers.get(&(address, path)) {
            return Ok(answer.clone());
        }
        Ok(serde_json::to_string(&self.node_status(address)).unwrap())
    }

    /// Returns the status of a node, which has the accepted generation in force at once.
    fn node_status(&self, address: SocketAddr) -> NodeStatus {
        let current = self.current();
        let contains = current
            .as_ref()
            .map_or(Vec::new(), |(it, _)| it.contains.clone());
        let state = self.state();
        let open = state.overrides.iter();
        NodeStatus {
            boot: Arc::from("1f"),
            change_id: current.as_ref().map(|(it, _)| Arc::clone(&it.change_id)),
            data_centre: Arc::from("north"),
            generation: current.map_or(0, |(_, version)| version),
            members: Vec::new(),
            name: Arc::from(address.to_string()),
            not_ready: None,
            overrides: open
                .filter(|it| !contains.contains(&it.change_id))
                .cloned()
                .collect(),
            replicas: Vec::new(),
        }
    }

    /// Returns the accepted configuration and its generation.
    pub fn current(&self) -> Option<(StoredConfig, u64)> {
        let state = self.state();
        let object = state.objects.get(CURRENT_PATH)?;
        Some((serde_json::from_str(&object.value).unwrap(), object.version))
    }

    /// Returns the accepted text.
    pub fn text(&self) -> String {
        let (config, version) = self.current().unwrap();
        let manifest = config.into_manifest(version).0;
        let state = self.state();
        let part = |hash: &PartHash| {
            let object = &state.objects[&StoredPart::path(*hash)];
            StoredPart::read(*hash, &object.value).unwrap().text
        };
        manifest.parts.iter().map(part).collect::<Vec<_>>().concat()
    }

    /// Stores a text in the format of old releases, which did not cut it into parts.
    pub fn store_unsplit_text(&self, text: &str) -> u64 {
        let config = serde_json::json!({
            "author": "old", "change_id": "old-1", "contains": [], "text": text,
        });
        let version = self.current().map_or(0, |it| it.1);
        match self.set(CURRENT_PATH, version, &config.to_string()) {
            ChangeOutcome::Stored { version } => version,
            ChangeOutcome::Conflict(object) => panic!("{object:?}"),
        }
    }

    /// Returns the path and change id of each generation in the history.
    pub fn kept(&self) -> Vec<String> {
        let state = self.state();
        let kept = state
            .objects
            .iter()
            .filter(|(path, _)| path.starts_with("config/history/"));
        kept.map(|(path, object)| {
            let config = serde_json::from_str::<StoredConfig>(&object.value).unwrap();
            format!("{path} {}", config.change_id)
        })
        .collect()
    }

    fn store(&self) -> Store {
        let (delete, get, list, put) = (self.clone(), self.clone(), self.clone(), self.clone());
        let many = self.clone();
        Store {
            delete: Box::new(move |path, _| {
                delete.state().objects.remove(path);
                Ok(ChangeOutcome::Stored { version: 0 })
            }),
            get: Box::new(move |path| get.read(path)),
            get_many: Box::new(move |paths| paths.iter().map(|it| many.read(it)).collect()),
            list: Box::new(move |prefix| list.list(prefix)),
            put: Box::new(move |path, expected, value| put.put(path, expected, value)),
        }
    }

    fn read(&self, path: &str) -> Result<Option<StoredObject>, PlatformError> {
        if self.fails_read() {
            return Err(not_sent());
        }
        let object = self.state().objects.get(path).cloned();
        let delayed = std::mem::take(&mut self.state().delayed_updates);
        for (expected, value) in delayed {
            self.set(CURRENT_PATH, expected, &value);
        }
        Ok(object)
    }

    fn fails_read(&self) -> bool {
        let mut state = self.state();
        let fails = state.failing_reads > 0;
        state.failing_reads = state.failing_reads.saturating_sub(1);
        fails || state.down
    }

    /// Executes the held updates.
    pub fn deliver(&self) {
        let held = std::mem::take(&mut self.state().held_updates);
        for (expected, value) in held {
            self.set(CURRENT_PATH, expected, &value);
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<ObjectHead>, PlatformError> {
        if self.fails_read() {
            return Err(not_sent());
        }
        let state = self.state();
        let found = state
            .objects
            .iter()
            .filter(|(path, _)| path.starts_with(prefix));
        Ok(found
            .map(|(path, object)| ObjectHead {
                path: Arc::from(path.as_str()),
                version: object.version,
            })
            .collect())
    }

    fn put(&self, path: &str, expected: u64, value: &str) -> Result<ChangeOutcome, PlatformError> {
        if self.state().down || (path.starts_with(HISTORY_PREFIX) && self.state().history_fails) {
            return Err(not_sent());
        }
        if path != CURRENT_PATH {
            return Ok(self.set(path, expected, value));
        }
        self.state().puts += 1;
        let fault = self.state().put_faults.pop_front();
        match fault {
            None => return Ok(self.set(path, expected, value)),
            Some(PutFault::OtherChangeFirst(other)) => {
                other(self);
                return Ok(self.set(path, expected, value));
            }
            Some(PutFault::OtherChangeThenReplyLost(other)) => {
                other(self);
                self.set(path, expected, value);
            }
            Some(PutFault::AppliedAfterNextRead) => self
                .state()
                .delayed_updates
                .push((expected, value.to_owned())),
            Some(PutFault::Held) => self.state().held_updates.push((expected, value.to_owned())),
            Some(PutFault::RequestLostThen(other)) => other(self),
            Some(PutFault::RequestLost) => {}
            Some(PutFault::ReplyLost) => drop(self.set(path, expected, value)),
            Some(PutFault::ReplyLostThen(other)) => {
                self.set(path, expected, value);
                other(self);
            }
            Some(PutFault::ReplyLostThenDown) => {
                self.set(path, expected, value);
                self.state().down = true;
            }
        }
        Err(PlatformError::ReplyLost {
            reason: "timed out".into(),
        })
    }

    fn set(&self, path: &str, expected: u64, value: &str) -> ChangeOutcome {
        let mut state = self.state();
        let object = state.objects.get(path).cloned();
        if object.as_ref().map_or(0, |it| it.version) != expected {
            return ChangeOutcome::Conflict(object);
        }
        state.version += 1;
        let version = state.version;
        if path == CURRENT_PATH {
            let config = serde_json::from_str::<StoredConfig>(value).unwrap();
            state.effects.push((version, config.change_id.to_string()));
        }
        let value = Arc::from(value);
        state
            .objects
            .insert(path.to_owned(), StoredObject { value, version });
        ChangeOutcome::Stored { version }
    }
}

fn is_unreachable(fake: &FakeCluster, address: SocketAddr) -> bool {
    fake.state().unreachable_nodes.contains(&address)
}

fn not_sent() -> PlatformError {
    PlatformError::NotSent {
        reason: "connection refused".into(),
    }
}
