use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::CtlError;
use crate::DemoError;
use crate::Report;
use wigeonhall_settings::parse;
use wigeonhall_settings::resolve;
use wigeonhall_standins::ObjectStore;
use wigeonhall_standins::Target;
use wigeonhall_standins::TargetSettings;
use wigeonhall_standins::VmListServer;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::VmState;
use wigeonhall_types::VmStatus;

/// Delay after which the stand-in for the VM list publishes a change, in milliseconds.
const VM_LIST_LAG_MS: u64 = 500;

/// Pause between two checks of the time limit.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Addresses, service time and run time of the stand-ins.
#[derive(Clone, Copy, Debug)]
pub struct StandinOptions {
    /// Typical time of a request at a target, in microseconds.
    pub service_us: u64,
    /// Address of the object API, the platform's store.
    pub store: SocketAddr,
    /// Time after which the stand-ins stop, in seconds.
    pub run_s: u64,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
}

/// Runs stand-ins for the targets of a deployment, the object API and the VM list as threads of
/// this process. The object API starts empty.
///
/// # Errors
///
/// If the text has errors or an address is in use.
pub fn standins(text: &str, options: StandinOptions) -> Result<Report, CtlError> {
    let failed = |error| CtlError::Demo(DemoError::Listen(error).to_string());
    let text = parse(text).map_err(CtlError::Settings)?;
    // The catalog assigns a key to each name; the generation (1) does not matter for the targets.
    let mut catalog = NameCatalog::default();
    let deployment = resolve(&text, 1, &mut catalog);
    let mut settings = TargetSettings::of_deployment(&deployment, &catalog);
    for target in &mut settings {
        target.service_us = options.service_us;
    }
    let targets = Target::start_all(settings).map_err(failed)?;
    // A target starts cold, with lower limits on its load; the stand-ins skip this phase.
    for target in &targets {
        target.warm_up();
    }
    let store = ObjectStore::start(options.store).map_err(failed)?;
    let vms = text.vms.keys().map(|name| VmStatus {
        name: Arc::clone(name),
        state: VmState::Live,
    });
    let vm_list =
        VmListServer::start(options.vm_list, VM_LIST_LAG_MS, vms.collect()).map_err(failed)?;
    println!(
        "{} targets, object API at {}, list of VMs at {}; stops after {} s",
        targets.len(),
        store.address(),
        vm_list.address(),
        options.run_s
    );
    let end = Instant::now() + Duration::from_secs(options.run_s);
    while Instant::now() < end {
        thread::sleep(CHECK_INTERVAL);
    }
    Ok(Report::new(0, &targets.len(), String::from("stopped\n")))
}
