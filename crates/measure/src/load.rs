use std::collections::BTreeMap;

use fastrand::Rng;

use crate::fake_target::SERVICE_US;
use wigeonhall_types::ClassKey;
use wigeonhall_types::ClassKind;
use wigeonhall_types::Deployment;
use wigeonhall_types::ServiceKey;

/// Spread of the time of a request: standard deviation of its logarithm.
const SIGMA: f64 = 0.35;

/// Mean of the time of a request over its median.
const MEAN_OVER_MEDIAN: f64 = 1.063;

/// Queries per second of each read class at a share of capacity.
///
/// The capacity of a service is what its slots do in a second; classes that share
/// a service share its capacity evenly.
#[must_use]
pub fn rates(deployment: &Deployment, load: f64) -> BTreeMap<ClassKey, f64> {
    let mut users: BTreeMap<ServiceKey, u32> = BTreeMap::new();
    let reads = || {
        let classes = deployment.classes.iter();
        classes.filter(|(_, class)| class.kind == ClassKind::Read)
    };
    for (_, class) in reads() {
        for &service in &class.depends_on {
            *users.entry(service).or_default() += 1;
        }
    }
    let rate = |service: ServiceKey| {
        let replicas = &deployment.services[&service].replicas;
        let slots: u32 = replicas
            .iter()
            .map(|it| deployment.replicas[it].slots)
            .sum();
        let request_s = SERVICE_US as f64 * MEAN_OVER_MEDIAN / 1e6;
        load * f64::from(slots) / request_s / f64::from(users[&service])
    };
    let per_class = reads().map(|(&key, class)| {
        let services = class.depends_on.iter();
        let lowest = services.map(|&it| rate(it)).fold(f64::INFINITY, f64::min);
        (key, lowest)
    });
    per_class.collect()
}

/// Random numbers for arrivals and their entry nodes. They are apart from those for service
/// times, so that runs of one seed see the same arrivals whatever is decided in them.
#[must_use]
pub fn arrivals_rng(seed: u64) -> Rng {
    Rng::with_seed(!seed)
}

/// Time of the first arrival of each class, in microseconds.
#[must_use]
pub fn first_arrivals_us(rng: &mut Rng, rates: &BTreeMap<ClassKey, f64>) -> Vec<(u64, ClassKey)> {
    let arrivals = rates.iter();
    arrivals
        .map(|(&class, &per_second)| (next_arrival_us(rng, per_second), class))
        .collect()
}

/// Time until the next arrival of a Poisson process, in microseconds.
#[must_use]
pub fn next_arrival_us(rng: &mut Rng, per_second: f64) -> u64 {
    (-(1.0 - rng.f64()).ln() / per_second * 1e6) as u64
}

/// Time of one request at a target, in microseconds.
#[must_use]
pub fn service_time_us(rng: &mut Rng, factor: f64) -> u64 {
    // Twelve uniform numbers sum to nearly a normal one with variance 1.
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (SERVICE_US as f64 * (SIGMA * normal).exp() * factor) as u64
}
