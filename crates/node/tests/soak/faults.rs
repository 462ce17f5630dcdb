//! Faults in series that overlap, drawn from a seed.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;

use wigeonhall_dispatch::RegistrationState;

use crate::oracle::SHARDS;
use crate::proxy::Mode;
use crate::proxy::Proxy;
use crate::world::Deployment;

/// Longest pause between two faults.
const PAUSE_MAX_MS: u64 = 300;

/// Longest time for which a process stands still.
const PAUSED_MAX_MS: u64 = 1_500;

/// Injects faults until the time is over, and heals what can be healed.
pub fn inject(deployment: &mut Deployment, rng: &mut Rng, length: Duration) {
    let ends = Instant::now() + length;
    while Instant::now() < ends {
        one(deployment, rng);
        thread::sleep(Duration::from_millis(rng.u64(20..PAUSE_MAX_MS)));
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

fn one(deployment: &mut Deployment, rng: &mut Rng) {
    match rng.u8(0..14) {
        0 => deployment.stop_node(rng, "TERM"),
        1 => deployment.stop_node(rng, "KILL"),
        2 => pause(deployment, rng),
        3 => deployment.signal_node(rng, "HUP"),
        4 => harm(&deployment.store_proxies, rng),
        5 => harm(&deployment.replica_proxies, rng),
        // Few replicas run the requests that must run once; most faults would miss them.
        6..=7 => harm(&deployment.replica_proxies[SHARDS * 2..], rng),
        8 => deployment.store.set_down(rng.bool()),
        9 => deployment.store.set_silent(rng.bool()),
        10 => deployment.store.compact(),
        11 => deployment.next_version(),
        12 => deployment.move_replica(rng, RegistrationState::Draining),
        _ => deployment.move_replica(rng, RegistrationState::Ready),
    }
}

fn harm(proxies: &[Proxy], rng: &mut Rng) {
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

fn pause(deployment: &mut Deployment, rng: &mut Rng) {
    let Some(id) = deployment.signal_some_node(rng, "STOP") else {
        return;
    };
    let length = Duration::from_millis(rng.u64(50..PAUSED_MAX_MS));
    thread::spawn(move || {
        thread::sleep(length);
        crate::deployment::signal(id, "CONT");
    });
}
