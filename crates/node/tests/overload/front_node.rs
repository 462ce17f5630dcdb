//! Processes with the product's own interface, and the checks that each test makes.

use std::env;
use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::MutexGuard;

use wigeonhall_settings::NodeSettings;

use crate::common;
use crate::common::Cluster;
use crate::entry_node;

/// Limit of open descriptors of the node.
const DESCRIPTORS: usize = 800;

/// Descriptors that stay free for targets and other nodes: a quarter.
const FREE_DESCRIPTORS: usize = DESCRIPTORS / 4;

/// The processes of a deployment; the crowd calls the first one.
pub struct FrontNode {
    children: Vec<Child>,
    cluster: Cluster,
    folder: PathBuf,
    _running: MutexGuard<'static, ()>,
}

impl FrontNode {
    pub fn start() -> Self {
        let running = entry_node::only_one();
        let cluster = Cluster::start_stand_ins(1);
        let name = format!(
            "wigeonhall-front-{}-{}",
            process::id(),
            cluster.address(0).port()
        );
        let folder = env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        let start = |settings: &NodeSettings| {
            let path = folder.join(format!("{}.yaml", settings.name));
            fs::write(&path, settings_text(settings)).unwrap();
            let script = format!("ulimit -n {DESCRIPTORS}; exec \"$0\" \"$@\"");
            let mut command = Command::new("sh");
            command.args(["-c", &script, env!("CARGO_BIN_EXE_wigeonhall-node")]);
            command.arg("--settings").arg(path).stderr(Stdio::null());
            command.spawn().unwrap()
        };
        let node = Self {
            children: cluster.settings.iter().map(start).collect(),
            cluster,
            folder,
            _running: running,
        };
        common::wait_for_whole_reads(node.address());
        node
    }

    pub fn address(&self) -> SocketAddr {
        self.cluster.address(0)
    }

    /// Checks that the process lives within its descriptors and answers an ordinary request.
    pub fn check(&mut self) {
        assert!(self.children[0].try_wait().unwrap().is_none(), "it ended");
        let descriptors = fs::read_dir(format!("/proc/{}/fd", self.children[0].id())).unwrap();
        let descriptors = descriptors.count();
        println!("{descriptors} descriptors");
        assert!(
            descriptors <= DESCRIPTORS - FREE_DESCRIPTORS,
            "{descriptors}"
        );
        common::wait_for_whole_reads(self.address());
        assert!(self.children[0].try_wait().unwrap().is_none(), "it ended");
    }
}

impl Drop for FrontNode {
    fn drop(&mut self) {
        // The process may have ended already.
        for child in &mut self.children {
            drop(child.kill());
            drop(child.wait());
        }
        drop(fs::remove_dir_all(&self.folder));
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
