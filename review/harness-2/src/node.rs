//! Nodes of the system: the project's own program, started with the command of the deploy file.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// A process of the system; killed when dropped.
pub struct Node {
    child: Child,
    folder: PathBuf,
    pub front: u16,
    metrics: u16,
    pub name: String,
    ready: u16,
}

/// What differs between the nodes of a deployment.
pub struct Place<'a> {
    pub bounds: &'a str,
    pub name: &'a str,
    pub store: SocketAddr,
    pub zone: &'a str,
}

impl Node {
    /// Starts a node during the first start of the whole system.
    pub fn start(folder: &Path, place: &Place<'_>) -> Self {
        let [front, ready, internal, metrics] = free_ports();
        let Place {
            bounds,
            name,
            store,
            zone,
        } = place;
        let settings = format!(
            "node_name: \"{name}\"\nrole: \"entry\"\nmachine_class: \"frontend\"\nserves:\n  - \"frontend\"\n\
             ip: \"127.0.0.1\"\nzone: \"{zone}\"\nregion: \"r-1\"\nzones:\n  z-a: \"r-1\"\n  z-b: \"r-1\"\n\
             listen_addrs:\n  front: \"127.0.0.1:{front}\"\n  ready: \"127.0.0.1:{ready}\"\n\
             internal_port_range:\n  - {internal}\n  - {internal}\nbootstrap: true\nloss_counts: false\n\
             limits:\n  cpu_share: 0.17\n  cpu_cores: 1\n  memory_mb: 182\n  max_file_descriptors: 2870\n  link_mbps: 700.0\n  disk_mb: 0\n\
             heartbeat_interval_ms: 1200\n\
             bounds:\n  seed_lag_s: 3\n  address_reuse_s: 2\n  stability_window_ms: 4000\n  ack_timeout_ms: 5000\n  catch_up_s: 4\n  \
             drain_ms: 3000\n  grace_s: 6\n  loss_slack_ms: 200\n  config_apply_ms: 3000\n  downgrade_slack_ms: 250\n  \
             max_stretch_ms: 12000\n  retry_budget_ratio: 0.2\n  retry_window_s: 10\n  retry_budget_slack: 116\n  \
             warmup_overage: 1.5\n  warmup_slack: 5\n  evacuation_ms: 5000\n  recovery_s: 12\n{bounds}\
             platform:\n  address: \"{store}\"\n  form: \"objects\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  min_ttl_ms: 1000\n"
        );
        let folder = folder.join(name);
        fs::create_dir_all(&folder).expect("a folder");
        fs::write(folder.join("boot.yaml"), settings).expect("settings");
        let child = spawn(&folder, metrics);
        Self {
            child,
            folder,
            front,
            metrics,
            name: (*name).to_owned(),
            ready,
        }
    }

    /// Kills the process without a signal to stop.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Starts the process again; the first start of the whole system is over.
    pub fn start_again(&mut self) {
        let path = self.folder.join("boot.yaml");
        let text = fs::read_to_string(&path).expect("settings");
        fs::write(&path, text.replace("bootstrap: true", "bootstrap: false")).expect("settings");
        self.child = spawn(&self.folder, self.metrics);
    }

    pub fn is_ready(&self) -> bool {
        http::ask(self.ready, "GET", "/readiness", "", "")
            .is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(folder: &Path, metrics: u16) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join("log"));
    let log = log.expect("a log");
    Command::new("target/release/wigeonhall-node")
        .args(["--entry", "--metrics-port", &metrics.to_string()])
        .env("WIGEONHALL_CONFIG", folder.join("boot.yaml"))
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn()
        .expect("the program of the deploy file, built")
}

/// Returns ports that are free now and that no other node of this run got. They lie below those that
/// the system gives to connections, which could take one before the node has opened it.
fn free_ports<const COUNT: usize>() -> [u16; COUNT] {
    const FIRST: u32 = 11_000;
    const PORTS: u32 = 20_000;
    static TRIED: AtomicU32 = AtomicU32::new(0);
    [(); COUNT].map(|()| {
        loop {
            let number = TRIED.fetch_add(1, Ordering::Relaxed);
            let port = FIRST + (process::id().wrapping_mul(311) + number) % PORTS;
            let port = u16::try_from(port).expect("a port");
            if TcpListener::bind(("127.0.0.1", port)).is_ok() {
                return port;
            }
        }
    })
}
