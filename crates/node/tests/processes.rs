//! Nodes in separate processes that are killed, terminated or suspended.

mod common;

use std::env;
use std::fmt::Write;
use std::fs;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use common::Cluster;
use common::Load;
use wigeonhall_settings::NodeSettings;

/// Time for which a node is suspended, longer than its lease of 3 s, the time for which it may
/// start requests without a new proof of its ownership.
const SUSPENSION: Duration = Duration::from_secs(5);

/// Processes of the nodes of one deployment, killed on drop.
struct Processes {
    children: Vec<Option<Child>>,
    folder: PathBuf,
}

impl Processes {
    fn start(cluster: &Cluster) -> Self {
        let name = format!("wigeonhall-{}-{}", process::id(), cluster.address(0).port());
        let folder = env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        let mut processes = Self {
            children: cluster.settings.iter().map(|_| None).collect(),
            folder,
        };
        for (index, settings) in cluster.settings.iter().enumerate() {
            processes.start_node(index, settings);
        }
        for address in cluster.addresses() {
            common::wait_for_whole_reads(address);
        }
        processes
    }

    fn start_node(&mut self, index: usize, settings: &NodeSettings) {
        let path = self.folder.join(format!("{}.yaml", settings.name));
        fs::write(&path, settings_text(settings)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_wigeonhall-node"))
            .arg("--settings")
            .arg(path)
            .stderr(Stdio::null())
            .spawn();
        self.children[index] = Some(child.unwrap());
    }

    /// Sends a signal to a node by the `kill` program, because the workspace forbids unsafe code.
    fn signal(&self, index: usize, signal: &str) {
        let child = self.children[index].as_ref().unwrap();
        let status = Command::new("kill")
            .args(["-s", signal, &child.id().to_string()])
            .status();
        assert!(status.unwrap().success());
    }

    /// Waits for a node to exit and returns its exit code; `None` if a signal ended it.
    fn wait(&mut self, index: usize) -> Option<i32> {
        let mut child = self.children[index].take().unwrap();
        let mut code = None;
        common::wait_until("the end of a process", || {
            let status = child.try_wait().unwrap();
            code = status.map(|it| it.code());
            code.is_some()
        });
        code.unwrap()
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn settings_text(settings: &NodeSettings) -> String {
    let mut text = format!(
        "name: {}\nregion: {}\ndata_centre: {}\nnode_address: {}\ncaller_address: {}\n\
         object_api_address: {}\nvm_list_address: {}\nlog_level: warn\nseeds:\n",
        settings.name,
        settings.region,
        settings.data_centre,
        settings.node_address,
        settings.caller_address,
        settings.object_api_address,
        settings.vm_list_address
    );
    for seed in &settings.seeds {
        writeln!(text, "  {}: {}", seed.name, seed.address).unwrap();
    }
    text + "timeouts:\n  object_api_ms: 500\n"
}

/// Guards against failed reads at other nodes after a node is killed, and against an old and a
/// new owner that both start requests at the same targets.
#[test]
fn a_killed_node_fails_no_read_at_other_nodes() {
    let cluster = Cluster::start_stand_ins(2);
    let mut processes = Processes::start(&cluster);
    let load = Load::start(&cluster.addresses(), 6);
    load.wait_for_reads(20);
    processes.signal(0, "KILL");
    assert_eq!(processes.wait(0), None);
    // The other nodes take over the replicas when the lease of the killed node expires.
    load.wait_for_reads(200);
    processes.start_node(0, &cluster.settings[0]);
    common::wait_for_whole_reads(cluster.address(0));
    load.wait_for_reads(20);
    // Reads at the killed node itself may fail.
    for counts in &load.stop()[1..] {
        counts.assert_all_whole();
    }
    cluster.assert_target_limits();
}

/// Guards against requests that fail, or an exit code that is not 0, after SIGTERM.
#[test]
fn a_terminated_node_completes_its_requests() {
    let cluster = Cluster::start_stand_ins(2);
    let mut processes = Processes::start(&cluster);
    let load = Load::start(&cluster.addresses(), 6);
    load.wait_for_reads(20);
    processes.signal(0, "TERM");
    assert_eq!(processes.wait(0), Some(0));
    load.wait_for_reads(100);
    for counts in load.stop() {
        counts.assert_all_whole();
    }
    cluster.assert_target_limits();
}

/// Guards against a node that is suspended for longer than its lease and then starts requests
/// beside the new owner of its replicas.
#[test]
fn a_suspended_node_starts_no_request_without_a_lease() {
    let cluster = Cluster::start_stand_ins(2);
    let processes = Processes::start(&cluster);
    let load = Load::start(&cluster.addresses(), 6);
    load.wait_for_reads(20);
    processes.signal(0, "STOP");
    thread::sleep(SUSPENSION);
    processes.signal(0, "CONT");
    common::wait_for_whole_reads(cluster.address(0));
    load.wait_for_reads(200);
    // Callers of the suspended node may have waited past their deadline.
    for counts in &load.stop()[1..] {
        counts.assert_all_whole();
    }
    cluster.assert_target_limits();
    let address = cluster.address(0);
    // Counts, among others, sub-requests that a node started without a lease.
    assert_eq!(common::counter(address, "gate", "started_forbidden"), 0);
}
