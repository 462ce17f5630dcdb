//! Guards against rollouts that accept bad versions, roll good ones back, or give a bad version
//! more requests than its bounds allow, on drawn cases in virtual time.

mod common;
mod rollout_tier;

use rollout_tier::Fault;
use rollout_tier::Tier;
use rollout_tier::TierShape;
use wigeonhall_dispatch::RolloutState;

const CASES: u64 = 100;

/// Draws where and when a version is bad.
fn fault(rng: &mut fastrand::Rng) -> Fault {
    let fails = rng.bool();
    let mut fault = Fault {
        failing_share: if fails { 0.3 + 0.7 * rng.f64() } else { 0.0 },
        from_fraction: 0.0,
        only_route: None,
        only_under_load: false,
        slowdown: if fails { 1.0 } else { 3.0 + 5.0 * rng.f64() },
    };
    match rng.u32(0..4) {
        0 => {}
        1 => fault.from_fraction = 0.3 * rng.f64(),
        2 => fault.only_under_load = true,
        _ => fault.only_route = Some(0),
    }
    if fault.only_route.is_some() && fails {
        fault.failing_share = 0.5 + 0.5 * rng.f64();
    }
    fault
}

fn shape(rng: &mut fastrand::Rng) -> TierShape {
    let is_shard = rng.bool();
    let partition = if rng.u32(0..4) == 0 {
        let from = 0.5 * rng.f64();
        (from, from + 0.1 + 0.4 * rng.f64())
    } else {
        (0.0, 0.0)
    };
    TierShape {
        duration_s: rng.u64(12..=20),
        earlier_failing_share: 0.01 * rng.f64(),
        latency_sigma: 0.2 + 0.4 * rng.f64(),
        latency_us: 10_000.0 + 60_000.0 * rng.f64(),
        nodes: rng.usize(1..=60),
        partition,
        rate_per_s: if is_shard { 40.0 } else { 8.0 },
        routes: rng.usize(1..=3),
    }
}

/// Runs the drawn cases; returns the seeds of those that ended in `state`, and checks the bounds of
/// the exposure.
fn ended_in(state: RolloutState, is_bad: bool) -> Vec<String> {
    let mut found = Vec::new();
    for seed in 0..CASES {
        let mut rng = fastrand::Rng::with_seed(seed);
        let shape = shape(&mut rng);
        let fault = is_bad.then(|| fault(&mut rng));
        let end = Tier::new(shape, fault, rng).run();
        let case = format!("{seed}: {shape:?} {fault:?} {end:?}");
        assert!(end.states.len() <= 1, "two final states, {case}");
        assert!(!end.states.is_empty(), "no final state in time, {case}");
        if is_bad {
            let allowed = 0.1 * f64::from(end.requests) + 50.0;
            assert!(f64::from(end.to_target) <= allowed, "exposure, {case}");
            assert!(end.late_to_target == 0, "late requests, {case}");
        }
        if end.states[0] == state {
            found.push(case);
        }
    }
    found
}

/// A version that fails or is slow at once, later, under load or on one route must not be accepted.
#[test]
fn no_bad_version_is_accepted_or_exceeds_its_exposure() {
    let accepted = ended_in(RolloutState::Succeeded, true);
    assert!(accepted.is_empty(), "{}", accepted.join("\n"));
}

/// Rare failures of both versions and varying latencies must not stop a good version.
#[test]
fn at_most_two_of_a_hundred_good_versions_are_rolled_back() {
    let rolled_back = ended_in(RolloutState::RolledBack, false);
    assert!(rolled_back.len() <= 2, "{}", rolled_back.join("\n"));
}

/// Returns a service with 40 requests a second over three routes.
fn three_routes(partition: (f64, f64)) -> TierShape {
    TierShape {
        duration_s: 12,
        earlier_failing_share: 0.005,
        latency_sigma: 0.4,
        latency_us: 40_000.0,
        nodes: 15,
        partition,
        rate_per_s: 40.0,
        routes: 3,
    }
}

/// The other routes would hide what one route shows.
#[test]
fn no_version_that_is_bad_on_one_route_is_accepted() {
    for seed in 0..CASES {
        let mut rng = fastrand::Rng::with_seed(seed);
        let fails = rng.bool();
        let fault = Fault {
            failing_share: if fails { 0.5 } else { 0.0 },
            from_fraction: 0.0,
            only_route: Some(0),
            only_under_load: false,
            slowdown: if fails { 1.0 } else { 3.0 },
        };
        let end = Tier::new(three_routes((0.0, 0.0)), Some(fault), rng).run();
        assert_eq!(end.states, [RolloutState::RolledBack], "{seed}: {end:?}");
    }
}

/// Two groups of nodes must not both spend the slack.
#[test]
fn nodes_that_do_not_see_each_other_keep_the_exposure_bound() {
    for seed in 0..CASES {
        let rng = fastrand::Rng::with_seed(seed);
        // So rare that the version is seldom rolled back before the end.
        let fault = Fault {
            failing_share: 0.1,
            from_fraction: 0.0,
            only_route: None,
            only_under_load: false,
            slowdown: 1.0,
        };
        let end = Tier::new(three_routes((0.0, 1.0)), Some(fault), rng).run();
        let allowed = 0.1 * f64::from(end.requests) + 50.0;
        let accepted = end.states == [RolloutState::Succeeded];
        assert!(
            accepted || f64::from(end.to_target) <= allowed,
            "{seed}: {end:?}"
        );
    }
}
