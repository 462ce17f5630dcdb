//! A small deployment on loopback, like the site file `further/ansah-wigeonhall.toml`, and its callers.

use std::fs::{self, File};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;
use crate::node::{self, Node, Spec};
use crate::replica::Replica;
use crate::store::Store;

pub const HOST: &str = "pupu76.example";
pub const SHARDS: usize = 20;

/// `recovery_s` of the site file.
pub const RECOVERY: Duration = Duration::from_secs(12);

/// What is written to `record.txt`.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let Ok(file) = File::create(PathBuf::from(folder).join("record.txt")) else {
            eprintln!("cannot write record.txt");
            process::exit(2);
        };
        Self {
            file: Mutex::new(file),
            began: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.began.elapsed().as_secs_f64());
        let mut file = self.file.lock().expect("the record");
        file.write_all(line.as_bytes()).expect("record.txt");
        print!("{line}");
    }
}

pub struct Deployment {
    pub store: Store,
    pub replicas: Vec<Replica>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
    ids: AtomicU64,
}

/// A loopback network of this run's own: 127.X.Y.
fn network() -> String {
    let id = std::process::id();
    format!("127.{}.{}", 64 + id % 128, (id / 128) % 250)
}

impl Deployment {
    pub fn start(nodes: usize, memory_mb: u64, work: Duration) -> Self {
        let network = network();
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start(&format!("{network}.1"));
        let mut replicas = Vec::new();
        for shard in 0..SHARDS {
            for copy in 0..2 {
                let id = format!("i-{:08x}", 0x1000_0000 + shard * 16 + copy);
                let record: Vec<u8> = (0..16)
                    .map(|byte| (byte + shard * 2 + copy) as u8)
                    .collect();
                let ip = format!("{network}.2");
                replicas.push(Replica::start(
                    &ip,
                    &id,
                    &format!("shard{shard:02}"),
                    61,
                    work,
                    record,
                ));
            }
        }
        for copy in 0..5 {
            let id = format!("i-{:08x}", 0x2000_0000 + copy);
            let ip = format!("{network}.3");
            replicas.push(Replica::start(
                &ip,
                &id,
                "archive",
                257,
                work,
                b"a whole answer".to_vec(),
            ));
        }
        let nodes = (0..nodes).map(|number| Spec {
            name: format!("frontend-{}", number + 1),
            ip: format!("{network}.{}", 10 + number),
            zone: "gh-south-accra".to_owned(),
            store: store.address,
            memory_mb,
        });
        let nodes = nodes.map(|spec| Node::new(spec, &folder)).collect();
        let deployment = Self {
            store,
            replicas,
            nodes,
            folder,
            ids: AtomicU64::new(1),
        };
        for replica in &deployment.replicas {
            let entry = replica.entry("gh-south-accra", 1_700_000_000_000);
            deployment.store.put("servers", &replica.id, entry);
        }
        deployment.store.put("config", "main", configuration(7));
        deployment
    }

    /// Starts all processes and waits until they are ready; returns how many are.
    pub fn start_nodes(&mut self, limit: Duration) -> usize {
        self.nodes.iter_mut().for_each(Node::start);
        let ends = Instant::now() + limit;
        let left = || ends.saturating_duration_since(Instant::now());
        self.nodes
            .iter()
            .filter(|node| node.wait_ready(left()))
            .count()
    }

    /// Sends requests to all nodes in turn for a time, 20 a second; returns how many were sent and
    /// served, by route.
    pub fn press(&self, record: &Record, what: &str, time: Duration) -> Counts {
        let began = Instant::now();
        let ran = || -> u64 { self.replicas.iter().map(Replica::runs).sum() };
        let ran_before = ran();
        let mut counts = Counts::default();
        let mut statuses: std::collections::BTreeMap<String, u64> = Default::default();
        for number in 0.. {
            if began.elapsed() >= time {
                break;
            }
            let node = &self.nodes[number % self.nodes.len()];
            let gather = number % 2 == 0;
            let outcome = self.request(node, gather);
            counts.sent += 1;
            counts.served += u64::from(outcome.is_served());
            *statuses
                .entry(format!(
                    "{} {}",
                    if gather { "gather" } else { "single" },
                    outcome.0
                ))
                .or_default() += 1;
            thread::sleep(Duration::from_millis(50));
        }
        record.line(&format!(
            "{what}: sent {}, served {}; answers {statuses:?}; replicas ran {} parts",
            counts.sent,
            counts.served,
            ran() - ran_before
        ));
        counts
    }

    pub fn request(&self, node: &Node, gather: bool) -> Outcome {
        let id = self.ids.fetch_add(1, Ordering::SeqCst);
        let (path, deadline_ms) = if gather {
            ("/ziti980/ti38/", 2_000)
        } else {
            ("/timi402/", 8_000)
        };
        let head = format!(
            "GET {path}{id:x} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id:016x}\r\n\
             Request-Deadline-Ms: {deadline_ms}\r\nConnection: close\r\n\r\n"
        );
        match http::ask(
            node.front(),
            &head,
            b"",
            Duration::from_millis(deadline_ms + 500),
        ) {
            Ok(response) => Outcome(response.status().to_string()),
            Err(error) => Outcome(format!("none ({})", error.kind())),
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.clear();
        drop(fs::remove_dir_all(&self.folder));
    }
}

pub struct Outcome(pub String);

impl Outcome {
    pub fn is_served(&self) -> bool {
        self.0.starts_with('2')
    }
}

#[derive(Clone, Copy, Default)]
pub struct Counts {
    pub sent: u64,
    pub served: u64,
}

impl Counts {
    /// Whether a quarter or more was served.
    pub fn has_quarter(&self) -> bool {
        self.served * 4 >= self.sent
    }
}

/// Which machines receive new connections: the platform asks each one for `/readiness` once a second
/// and leaves it out after two misses, until it answers 200 again.
pub struct Rotation {
    fronts: Vec<SocketAddr>,
    misses: Vec<AtomicU64>,
}

impl Rotation {
    pub fn start(nodes: &[Node]) -> Arc<Self> {
        let rotation = Arc::new(Self {
            fronts: nodes.iter().map(Node::front).collect(),
            misses: nodes.iter().map(|_| AtomicU64::new(0)).collect(),
        });
        for (number, address) in nodes.iter().map(Node::readiness).enumerate() {
            let rotation = rotation.clone();
            thread::spawn(move || {
                loop {
                    let misses = &rotation.misses[number];
                    if node::is_ready(address) {
                        misses.store(0, Ordering::SeqCst);
                    } else {
                        misses.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        rotation
    }

    /// Returns the machine for a new connection; all are used if fewer than half are in rotation.
    pub fn choose(&self, number: usize) -> SocketAddr {
        let in_rotation = |index: &usize| self.misses[*index].load(Ordering::SeqCst) < 2;
        let ready: Vec<usize> = (0..self.fronts.len()).filter(in_rotation).collect();
        if ready.len() * 2 < self.fronts.len() {
            return self.fronts[number % self.fronts.len()];
        }
        self.fronts[ready[number % ready.len()]]
    }
}

/// The key and the allotment of the tenant in [`with_tenant`].
pub const KEY: &str = "2dm2buc7takhi73vr5y2";
pub const TENANT: &str = "ralo620";
pub const RATE_PER_S: f64 = 17.0;
pub const BURST: f64 = 17.0;

/// A configuration with a tenant, as `fleetbench wire` shows it.
pub fn with_tenant(version: u64) -> Value {
    let mut value = configuration(version);
    value["tenants"] = json!([{
        "name": TENANT, "api_keys": [KEY], "priority": 1, "rate_per_s": RATE_PER_S, "burst_size": BURST,
    }]);
    value
}

pub fn configuration(version: u64) -> Value {
    let shards: Vec<String> = (0..SHARDS)
        .map(|shard| format!("shard{shard:02}"))
        .collect();
    let service = |name: &str, connections: u64| {
        json!({ "name": name, "health_check_path": "/health", "max_connections": connections,
                "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0 })
    };
    let mut services: Vec<Value> = shards.iter().map(|name| service(name, 61)).collect();
    services.push(service("archive", 257));
    json!({
        "version": version,
        "routes": [
            { "name": "r-1", "host": HOST, "path_prefix": "/ziti980/ti38/", "kind": "safe",
              "timeout_ms": 2000, "target_latency_ms": 120, "priority": 1, "gather": shards,
              "max_attempts": 2, "top_k": 10, "min_shard_fraction": 0.89 },
            { "name": "r-2", "host": HOST, "path_prefix": "/timi402/", "kind": "safe",
              "timeout_ms": 8000, "target_latency_ms": 500, "priority": 2, "service": "archive",
              "max_attempts": 2 },
        ],
        "services": services,
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 262144,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    })
}
