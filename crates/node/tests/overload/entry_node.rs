//! A node of the entry tier with lowered limits, and the checks that each test makes.

use std::fs;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use wigeonhall_adapter::REMAINING_MS;
use wigeonhall_adapter::REQUEST_ID;
use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_dispatch::RequestLimits;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::TargetSpec;

use crate::caller;
use crate::crowd::Crowd;
use crate::deployment::Node;
use crate::deployment::configuration;
use crate::deployment::route;
use crate::deployment::route_to_a;
use crate::unread_bytes::MemoryWatch;

/// Memory of the node in its settings; the resident memory must stay below.
pub const MEMORY_MB: u64 = 48;

/// Limit of open descriptors of the node.
pub const DESCRIPTORS: usize = 800;

/// Descriptors that stay free for replicas, peers and the store: a quarter.
const FREE_DESCRIPTORS: usize = DESCRIPTORS / 4;

/// Largest body of a request.
pub const BODY_LIMIT_BYTES: usize = 262_144;

/// Length of the answers of the route `long`; a response may hold an eighth of a sixteenth of the
/// memory, with a buffer that grows ahead of its length.
const LONG_ANSWER_BYTES: usize = 150_000;

/// Timeout of the routes and of idle connections, longer than any test.
const LONG_TIMEOUT_MS: u64 = 60_000;

/// Body of the ordinary request.
const ORDINARY_BODY_BYTES: usize = 1_000;

/// Time between the opening of a connection and its first request.
const SENDING_DELAY: Duration = Duration::from_millis(300);

/// Interval at which the processor time of the node is read.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Processor time, in hundredths of a second, that an idle node uses in this interval at most.
const IDLE_TICKS: u64 = 5;

/// Time after which a node is checked although it is still busy.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Only one test runs at a time.
static RUNNING: Mutex<()> = Mutex::new(());

/// A node, its store and its replicas.
pub struct EntryNode {
    node: Node,
    _replicas: Vec<ReplicaStandin>,
    _running: MutexGuard<'static, ()>,
    _store: StoreStandin,
}

impl EntryNode {
    pub fn start() -> Self {
        let running = only_one();
        let replicas = vec![
            ReplicaStandin::start("a", 1, |_| Behaviour::answer("1")).unwrap(),
            ReplicaStandin::start("b", 1, |_| Behaviour::answer([7; LONG_ANSWER_BYTES])).unwrap(),
        ];
        let mut ordinary = route_to_a("a");
        ordinary.timeout_ms = LONG_TIMEOUT_MS;
        let target = TargetSpec::Service("b".into());
        let mut long = route("long", "/long/", RouteKind::Idempotent, target);
        long.timeout_ms = LONG_TIMEOUT_MS;
        let mut configuration = configuration(1, vec![ordinary, long]);
        configuration.limits = RequestLimits {
            body_bytes: BODY_LIMIT_BYTES,
            header_bytes: 16_384,
            header_timeout_ms: 3_000,
            idle_timeout_ms: LONG_TIMEOUT_MS,
        };
        let store = StoreStandin::start().unwrap();
        store.configure(&configuration);
        for replica in &replicas {
            store.register(&replica.registration("north"));
        }
        let node = Node::start_with_limits(&store, "node-1", MEMORY_MB, DESCRIPTORS);
        node.wait_ready();
        Self {
            node,
            _replicas: replicas,
            _running: running,
            _store: store,
        }
    }

    pub fn callers(&self) -> SocketAddr {
        self.node.callers
    }

    /// Begins to watch the memory of the node and the bytes that it has not read.
    pub fn watch_memory(&self) -> MemoryWatch {
        MemoryWatch::start(self.node.id(), self.callers())
    }

    /// Checks that the node, and the bytes that it has not read, stayed within its memory.
    pub fn check_memory(watch: &MemoryWatch) {
        let peak_bytes = watch.peak_bytes();
        println!("{peak_bytes} bytes at peak with those not read");
        assert!(peak_bytes < MEMORY_MB * 1_000_000, "{peak_bytes} bytes");
    }

    /// Sends an ordinary request; returns the status of its answer, or `None` if the connection
    /// was closed without one.
    pub fn ask(&self) -> Option<u16> {
        let body = "x".repeat(ORDINARY_BODY_BYTES);
        let mut caller = caller::Caller::try_connect(self.callers())?;
        thread::sleep(SENDING_DELAY);
        caller.try_ask("POST", "/a/x", "ordinary", &body, "");
        caller.read().map(|answer| answer.status)
    }

    /// Waits until the node has no more work with what the crowd sent.
    fn wait_idle(&self) {
        let start = Instant::now();
        let mut before = processor_ticks(self.node.id());
        while start.elapsed() < IDLE_TIMEOUT {
            thread::sleep(IDLE_CHECK_INTERVAL);
            let now = processor_ticks(self.node.id());
            if now - before <= IDLE_TICKS {
                return;
            }
            before = now;
        }
    }

    /// Checks that the process lives within its limits and serves an ordinary request while the
    /// connections of the crowd are open.
    pub fn check_with(&mut self, crowd: &Crowd) {
        self.wait_idle();
        assert!(self.node.is_running(), "the process ended");
        let peak_bytes = self.node.peak_memory_bytes();
        let descriptors = self.node.open_descriptors();
        let body = "x".repeat(ORDINARY_BODY_BYTES);
        let mut caller = caller::Caller::connect(self.callers());
        caller.ask("POST", "/a/x", "ordinary", &body);
        let answer = caller.read();
        let status = answer.as_ref().map(|answer| answer.status);
        let text = answer.map_or(Vec::new(), |answer| answer.message.body);
        let text = String::from_utf8_lossy(&text);
        let seen = format!(
            "{} callers, {peak_bytes} bytes at peak, {descriptors} descriptors, status {status:?} {text}",
            crowd.len()
        );
        println!("{seen}");
        assert!(self.node.is_running(), "the process ended: {seen}");
        assert!(peak_bytes < MEMORY_MB * 1_000_000, "memory: {seen}");
        assert!(
            descriptors <= DESCRIPTORS - FREE_DESCRIPTORS,
            "descriptors: {seen}"
        );
        assert_eq!(status, Some(200), "ordinary request: {seen}");
    }
}

/// Waits until no other test runs.
pub fn only_one() -> MutexGuard<'static, ()> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the head of a request up to its last header.
pub fn head(method: &str, path: &str, version: &str, fields: &str) -> String {
    format!(
        "{method} {path} HTTP/{version}\r\nHost: shop.example\r\n{REQUEST_ID}: q\r\n\
         {REMAINING_MS}: 30000\r\n{fields}\r\n"
    )
}

/// Returns the processor time that a process has used, in hundredths of a second; 0 if it ended.
fn processor_ticks(id: u32) -> u64 {
    let Ok(stat) = fs::read_to_string(format!("/proc/{id}/stat")) else {
        return 0;
    };
    // The name of the program, in parentheses, may contain spaces.
    let fields = stat.rsplit_once(") ").unwrap().1;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<u64>().unwrap();
    ticks(11) + ticks(12)
}
