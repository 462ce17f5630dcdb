//! A process of the entry tier, started with the command of the deploy file.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
    settings: PathBuf,
    /// Where the node gets the store's changes from, as its log says: a peer's name, `store`.
    source: Arc<Mutex<String>>,
}

/// Returns a loopback address that is this run's own; `number` tells its users apart.
pub fn own_ip(number: u8) -> IpAddr {
    let id = std::process::id();
    IpAddr::V4(Ipv4Addr::new(
        127,
        64 | (id >> 8) as u8 & 0x3f,
        id as u8,
        number,
    ))
}

/// Returns distinct free ports.
fn free_ports(ip: IpAddr, count: usize) -> Vec<u16> {
    let bind = |_| TcpListener::bind((ip, 0)).expect("a free port");
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    let port = |it: &TcpListener| it.local_addr().expect("an address").port();
    listeners.iter().map(port).collect()
}

impl Node {
    /// Starts a node with settings like those of a small installation.
    pub fn start(
        folder: &Path,
        store: SocketAddr,
        zone: &str,
        number: u8,
        first_start: bool,
    ) -> Self {
        Self::start_sized(folder, store, zone, number, first_start, (0.17, 182))
    }

    /// Starts a node on a machine with this share of a core and memory in MB.
    pub fn start_sized(
        folder: &Path,
        store: SocketAddr,
        zone: &str,
        number: u8,
        first_start: bool,
        (cpu_share, memory_mb): (f64, u32),
    ) -> Self {
        let ip = own_ip(100 + number);
        let ports = free_ports(ip, 4);
        let name = format!("frontend-{zone}-{number}");
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "node_name: \"{name}\"\nrole: \"entry\"\nmachine_class: \"frontend\"\n\
             serves:\n  - \"frontend\"\nip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"delta-south\"\n\
             zones:\n  {zone}: \"delta-south\"\n\
             listen_addrs:\n  front: \"{ip}:{}\"\n  ready: \"{ip}:{}\"\n\
             internal_port_range:\n  - {}\n  - {}\nseeds: []\nbootstrap: {first_start}\n\
             limits:\n  cpu_share: {cpu_share}\n  cpu_cores: 1\n  memory_mb: {memory_mb}\n  \
             max_file_descriptors: 2870\n  link_mbps: 700.0\n  disk_mb: 0\n\
             data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_interval_ms: 1200\n\
             bounds:\n  address_reuse_s: 2\n  stability_window_ms: 4000\n  drain_ms: 3000\n  \
             grace_s: 6\n  loss_slack_ms: 200\n  config_apply_ms: 3000\n  \
             downgrade_slack_ms: 250\n  retry_budget_ratio: 0.2\n  retry_window_s: 10\n  \
             retry_budget_slack: 116\n  evacuation_ms: 5000\n  recovery_s: 12\n\
             platform:\n  address: \"{store}\"\n  form: \"objects\"\n  writes_per_s: 400\n  \
             reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n",
            ports[0], ports[1], ports[2], ports[2],
        );
        fs::write(&settings, text).expect("a settings file");
        let mut node = Self {
            name,
            front: SocketAddr::new(ip, ports[0]),
            ready: SocketAddr::new(ip, ports[1]),
            child: spawn(&settings, ports[3]),
            settings,
            source: Arc::default(),
        };
        node.read_log();
        node
    }

    fn read_log(&mut self) {
        let output = self.child.stdout.take().expect("the node's output");
        let source = self.source.clone();
        let mut log = fs::File::create(self.settings.with_extension("log")).expect("a log file");
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                use std::io::Write;
                writeln!(log, "{line}").ok();
                let event: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
                let switched = event["event"] == "change_source";
                if let Some(name) = event["source"].as_str().filter(|_| switched) {
                    *source.lock().unwrap() = name.to_owned();
                }
            }
        });
    }

    pub fn source(&self) -> String {
        self.source.lock().unwrap().clone()
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = http::ask(self.ready, request.as_bytes(), Duration::from_secs(1));
        answer.is_some_and(|it| it.status() == 200)
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(
            status.is_ok_and(|it| it.success()),
            "cannot signal {}",
            self.name
        );
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn spawn(settings: &Path, metrics_port: u16) -> Child {
    let program = std::env::var("NODE_PROGRAM").expect("NODE_PROGRAM");
    Command::new(program)
        .args(["--entry", "--metrics-port", &metrics_port.to_string()])
        .env("WIGEONHALL_CONFIG", settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the node starts")
}

/// Waits until a condition holds; returns false after the time limit.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
