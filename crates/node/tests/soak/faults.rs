//! Injects overlapping random faults, drawn from the seed of the run.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;

use wigeonhall_dispatch::RegistrationState;

use crate::oracle::SHARDS;
use crate::proxy::Mode;
use crate::proxy::Proxy;
use crate::soak_run::Deployment;

/// Longest interval between two faults.
const FAULT_INTERVAL_MAX_MS: u64 = 300;

/// Longest suspension of a process.
const SUSPENSION_MAX_MS: u64 = 1_500;

/// Maximum number of writes that a restored store has lost and that nobody repeats.
const LOST_WRITES_MAX: usize = 300;

/// Injects faults for `length`, then resets the proxies and the store.
pub fn inject(deployment: &mut Deployment, rng: &mut Rng, length: Duration) {
    let ends = Instant::now() + length;
    while Instant::now() < ends {
        inject_one(deployment, rng);
        thread::sleep(Duration::from_millis(rng.u64(20..FAULT_INTERVAL_MAX_MS)));
    }
    for proxy in deployment
        .store_proxies
        .iter()
        .chain(&deployment.replica_proxies)
    {
        proxy.set_mode(Mode::Pass);
    }
    deployment.store.set_down(false);
    deployment.store.set_silent(false);
}

/// Injects one random fault.
fn inject_one(deployment: &mut Deployment, rng: &mut Rng) {
    match rng.u8(0..14) {
        0 => deployment.restart_node(rng, "TERM"),
        1 => deployment.restart_node(rng, "KILL"),
        2 => suspend_node(deployment, rng),
        3 => deployment.signal_node(rng, "HUP"),
        4 => disturb(&deployment.store_proxies, rng),
        5 => disturb(&deployment.replica_proxies, rng),
        // Only a few of the replicas run at-most-once requests, so they get faults of their own.
        6..=7 => disturb(&deployment.replica_proxies[SHARDS * 2..], rng),
        8 => deployment.store.set_down(rng.bool()),
        9 => deployment.store.set_silent(rng.bool()),
        10 => deployment.store.compact(),
        11 => deployment.store_next_version(),
        12 => deployment.set_replica_state(rng, RegistrationState::Draining),
        _ => deployment.set_replica_state(rng, RegistrationState::Ready),
    }
}

/// Keeps a copy of the store now and then, or restores the store from it.
pub fn restore_store(deployment: &Deployment, rng: &mut Rng) {
    match rng.u8(0..6) {
        0..=1 => deployment.store.keep_copy(),
        2 => deployment.restore_store(rng.usize(..LOST_WRITES_MAX)),
        _ => {}
    }
}

/// Resets the connections of a random proxy or changes its mode.
fn disturb(proxies: &[Proxy], rng: &mut Rng) {
    let proxy = &proxies[rng.usize(..proxies.len())];
    match rng.u8(0..10) {
        0 => proxy.set_mode(Mode::Silent),
        1 => proxy.set_mode(Mode::OneWay),
        2 => proxy.set_mode(Mode::Refuse),
        3 => proxy.set_mode(Mode::Delay(rng.u64(5..200))),
        4..=6 => proxy.reset(),
        _ => proxy.set_mode(Mode::Pass),
    }
}

/// Suspends a random node for a random time.
fn suspend_node(deployment: &mut Deployment, rng: &mut Rng) {
    let Some(id) = deployment.signal_and_return_id(rng, "STOP") else {
        return;
    };
    let length = Duration::from_millis(rng.u64(50..SUSPENSION_MAX_MS));
    thread::spawn(move || {
        thread::sleep(length);
        crate::deployment::signal(id, "CONT");
    });
}
