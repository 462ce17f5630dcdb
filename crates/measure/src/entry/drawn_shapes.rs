use fastrand::Rng;

use crate::entry::DeploymentShape;
use crate::entry::RouteShape;

/// Share of a core that a node may use.
const PROCESSOR_SHARE: f64 = 0.25;

/// Returns a deployment of the size that a customer runs: two replicas of two slots a shard.
#[must_use]
pub fn customer_shape() -> DeploymentShape {
    DeploymentShape {
        caller_us: 3_000,
        cross_us: 500,
        data_centres: 3,
        local_us: 200,
        name: "two replicas, two slots".to_owned(),
        nodes: 21,
        pause_us: 150_000,
        pause_every_us: 3_600_000,
        processor_share: PROCESSOR_SHARE,
        queue: 12,
        replicas: 2,
        routes: routes(120, 15.0, 0.89, 0.75),
        shards: 20,
        slow_share: 0.0,
        slots: 2,
    }
}

/// Returns a deployment whose shards have three replicas of one slot, so that two requests at
/// once on a replica always wait for each other.
#[must_use]
pub fn single_slot_shape() -> DeploymentShape {
    DeploymentShape {
        name: "three replicas, one slot".to_owned(),
        nodes: 12,
        replicas: 3,
        slots: 1,
        ..customer_shape()
    }
}

/// Returns a deployment whose callers are in another country.
#[must_use]
pub fn far_callers_shape() -> DeploymentShape {
    DeploymentShape {
        caller_us: 8_000,
        name: "far callers".to_owned(),
        ..customer_shape()
    }
}

/// Returns a deployment with one service, to which each node sends about one request a second;
/// only one replica may run a request.
#[must_use]
pub fn lookup_shape() -> DeploymentShape {
    let lookup = RouteShape {
        max_attempts: 1,
        min_fraction: 1.0,
        share: 1.0,
        target_ms: 500,
        timeout_ms: 8_000,
        work_ms: 120.0,
        part_bytes: 1_000,
        worth: 1.0,
    };
    DeploymentShape {
        name: "one service".to_owned(),
        replicas: 6,
        routes: vec![lookup],
        shards: 1,
        ..customer_shape()
    }
}

/// Returns a deployment whose data centres are far apart: each has one replica of each shard, of
/// uneven speed, and callers with little time beside ones with more.
#[must_use]
pub fn distant_shape() -> DeploymentShape {
    let mut routes = routes(150, 15.0, 0.95, 0.85);
    routes[1].target_ms = 80;
    routes[1].part_bytes = 100;
    DeploymentShape {
        cross_us: 3_900,
        name: "distant data centres".to_owned(),
        nodes: 66,
        replicas: 3,
        routes,
        shards: 90,
        slow_share: 0.15,
        ..customer_shape()
    }
}

/// Draws deployments of many sizes; the same ones for the same seed.
#[must_use]
pub fn drawn_shapes(seed: u64, count: usize) -> Vec<DeploymentShape> {
    let mut rng = Rng::with_seed(seed);
    (0..count).map(|number| draw(&mut rng, number)).collect()
}

fn draw(rng: &mut Rng, number: usize) -> DeploymentShape {
    let target_ms = pick(rng, &[60, 120, 240, 480]);
    let pause_us = pick(rng, &[0, 50_000, 150_000]);
    let work_ms = target_ms as f64 / pick(rng, &[6.0, 8.0, 12.0]);
    let min_fraction = pick(rng, &[0.75, 0.85, 0.95]);
    DeploymentShape {
        caller_us: pick(rng, &[500, 1_000, 3_000, 8_000]),
        cross_us: pick(rng, &[500, 1_000, 2_000]),
        data_centres: rng.usize(1..=4),
        local_us: 200,
        name: format!("drawn {number}"),
        nodes: rng.usize(2..=30),
        pause_us,
        pause_every_us: pick(rng, &[2_400_000, 3_600_000]),
        processor_share: PROCESSOR_SHARE,
        queue: pick(rng, &[4, 12]),
        replicas: rng.usize(2..=5),
        routes: routes(target_ms, work_ms, min_fraction, min_fraction - 0.1),
        shards: pick(rng, &[2, 8, 20, 40, 90]),
        slow_share: 0.0,
        slots: pick(rng, &[1, 2, 4, 8]),
    }
}

/// Returns a route with full answers, and one with shorter answers within half of the time.
fn routes(target_ms: u64, work_ms: f64, long_min: f64, short_min: f64) -> Vec<RouteShape> {
    let long = RouteShape {
        max_attempts: 3,
        min_fraction: long_min,
        share: 3.0,
        target_ms,
        timeout_ms: target_ms * 16,
        work_ms,
        part_bytes: 1_000,
        worth: 2.0,
    };
    let short = RouteShape {
        max_attempts: 3,
        min_fraction: short_min,
        share: 1.0,
        target_ms: target_ms / 2,
        timeout_ms: target_ms * 8,
        work_ms: work_ms / 3.0,
        part_bytes: 1_000,
        worth: 1.0,
    };
    vec![long, short]
}

fn pick<T: Copy>(rng: &mut Rng, choices: &[T]) -> T {
    choices[rng.usize(..choices.len())]
}
