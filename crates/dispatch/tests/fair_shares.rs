//! Guards against tenants that lose their share of a short capacity to others, in virtual time.

mod common;
mod overload;

use fastrand::Rng;
use std::ops::Range;

use overload::Counts;
use overload::Stream;
use overload::World;
use overload::kind;
use overload::max_min_shares;
use overload::tenant;

const CAPACITY_PER_S: f64 = 50.0;
const MEASURED_S: Range<u64> = 300..3_300;

/// A deployment with one large tenant and 80 small ones, in which demand is 1.5 times the capacity.
fn overloaded(seed: u64, demand_known: bool) -> World {
    let mut rng = Rng::with_seed(seed);
    let mut rates: Vec<f64> = (0..80).map(|_| 0.05 + 0.8 * rng.f64()).collect();
    rates.push(17.0);
    let demands: Vec<f64> = rates.iter().map(|rate| rate * (0.3 + rng.f64())).collect();
    let factor = 1.5 * CAPACITY_PER_S / demands.iter().sum::<f64>();
    let streams = demands.iter().enumerate();
    let named = rates.iter().enumerate();
    World {
        capacity_per_s: CAPACITY_PER_S,
        demand_known,
        nodes: 125,
        routes: vec![kind("one", 0)],
        streams: streams
            .map(|(index, demand)| Stream::steady(index, demand * factor))
            .collect(),
        tenants: Some(
            named
                .map(|(index, rate)| tenant(&format!("t{index}"), *rate))
                .collect(),
        ),
    }
}

fn total(counts: &[Counts]) -> Counts {
    let mut sum = Counts::default();
    for one in counts {
        sum.admitted += one.admitted;
        sum.in_time += one.in_time;
        sum.offered += one.offered;
    }
    sum
}

fn print(world: &World, counts: &[Counts]) {
    let all = total(counts);
    let seconds = (MEASURED_S.end - MEASURED_S.start) as f64;
    let claims: Vec<(f64, f64)> = world
        .streams
        .iter()
        .zip(counts)
        .map(|(stream, counts)| {
            let weight = world.tenants.as_ref().unwrap()[stream.tenant].rate_per_s;
            (weight, counts.offered as f64 / seconds)
        })
        .collect();
    let by_admitted = max_min_shares(all.admitted as f64 / seconds, &claims);
    let by_capacity = max_min_shares(world.capacity_per_s, &claims);
    eprintln!("{all:?}");
    let mut worst = [9.0f64; 4];
    for ((counts, a), c) in counts.iter().zip(by_admitted).zip(by_capacity) {
        let admitted = counts.admitted as f64 / seconds;
        let in_time = counts.in_time as f64 / seconds;
        let now = [
            admitted / a,
            admitted / c,
            in_time / c,
            counts.admitted_share() / all.admitted_share(),
        ];
        for (w, n) in worst.iter_mut().zip(now) {
            *w = w.min(n);
        }
    }
    eprintln!("worst: {worst:.3?}");
}

#[test]
fn trial() {
    for known in [true, false] {
        for seed in 0..3 {
            let world = overloaded(seed, known);
            let counts = world.run(seed, MEASURED_S);
            print(&world, &counts);
        }
    }
}
