//! Processes of the system under review, started with the command of the deploy file.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The command of `deploy/system.toml`.
const RUN: [&str; 4] = [
    "target/release/wigeonhall-node",
    "--entry",
    "--metrics-port",
    "9464",
];

/// Time after which all processes are ended; a script may run for 120 s.
const LIMIT: Duration = Duration::from_secs(112);

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes of this run at the limit, and the run itself.
pub fn end_after_limit() {
    thread::sleep(LIMIT);
    for id in RUNNING.lock().expect("the ids").iter() {
        drop(
            Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status(),
        );
    }
    eprintln!("the case did not end in time");
    process::exit(2);
}

pub struct Spec {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub store: SocketAddr,
    pub memory_mb: u64,
}

pub struct Node {
    pub spec: Spec,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    starts: u32,
}

impl Node {
    pub fn new(spec: Spec, folder: &Path) -> Self {
        let settings = folder.join(format!("{}.yaml", spec.name));
        let log = folder.join(format!("{}.log", spec.name));
        Self {
            spec,
            child: None,
            settings,
            log,
            starts: 0,
        }
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:8104", self.spec.ip)
            .parse()
            .expect("an address")
    }

    /// Starts the process, with `bootstrap` at the first start only.
    pub fn start(&mut self) {
        let bootstrap = self.starts == 0;
        self.starts += 1;
        let Spec {
            name,
            ip,
            zone,
            store,
            memory_mb,
        } = &self.spec;
        let text = format!(
            "node_name: \"{name}\"\nrole: \"entry\"\nmachine_class: \"frontend\"\nserves:\n  - \"frontend\"\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"gh-south\"\nzones:\n  {zone}: \"gh-south\"\n\
             listen_addrs:\n  front: \"{ip}:8104\"\n  ready: \"{ip}:8108\"\n\
             internal_port_range:\n  - 7380\n  - 7395\nbootstrap: {bootstrap}\nloss_counts: false\n\
             limits:\n  cpu_share: 0.17\n  cpu_cores: 1\n  memory_mb: {memory_mb}\n  \
             max_file_descriptors: 2870\n  link_mbps: 700.0\n  disk_mb: 0\n\
             discovery: \"platform\"\nentry: \"vip\"\nheartbeat_interval_ms: 1200\n\
             bounds:\n  stability_window_ms: 4000\n  drain_ms: 3000\n  grace_s: 6\n  loss_slack_ms: 200\n  \
             config_apply_ms: 3000\n  downgrade_slack_ms: 250\n  max_stretch_ms: 12000\n  \
             retry_budget_ratio: 0.2\n  retry_window_s: 10\n  retry_budget_slack: 135\n  \
             quota_window_s: 5\n  quota_overage: 0.1\n  quota_slack: 20\n  evacuation_ms: 5000\n  recovery_s: 12\n\
             platform:\n  address: \"{store}\"\n  form: \"objects\"\n  writes_per_s: 400\n  \
             reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  min_ttl_ms: 1000\n"
        );
        fs::write(&self.settings, text).expect("the settings file");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let child = Command::new(RUN[0])
            .args(&RUN[1..])
            .env_clear()
            .env("WIGEONHALL_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        RUNNING.lock().expect("the ids").push(child.id());
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
            RUNNING
                .lock()
                .expect("the ids")
                .retain(|id| *id != child.id());
        }
    }

    /// Sends SIGTERM; the platform kills the process after `grace_s`.
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            drop(
                Command::new("kill")
                    .args(["-TERM", &child.id().to_string()])
                    .status(),
            );
        }
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        let ended = self.child.as_mut().map(|child| child.try_wait());
        matches!(ended, Some(Ok(None)))
    }

    /// Address at which the platform asks whether the machine receives consumers.
    pub fn readiness(&self) -> SocketAddr {
        format!("{}:8108", self.spec.ip)
            .parse()
            .expect("an address")
    }

    pub fn ready(&self) -> bool {
        is_ready(self.readiness())
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let ends = Instant::now() + limit;
        while Instant::now() < ends {
            if self.ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Resident memory now and at its peak, in bytes.
    pub fn memory(&self) -> (u64, u64) {
        let Some(child) = &self.child else {
            return (0, 0);
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name));
            let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
            kb.unwrap_or(0) * 1024
        };
        (field("VmRSS:"), field("VmHWM:"))
    }
}

/// Asks for the readiness as the platform does.
pub fn is_ready(address: SocketAddr) -> bool {
    let head = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let response = http::ask(address, head, b"", Duration::from_secs(1));
    response.is_ok_and(|response| response.status() == 200)
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
