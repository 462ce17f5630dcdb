use std::collections::BTreeMap;

use fastrand::Rng;

use crate::fake_target::MEDIAN_SERVICE_US;
use wigeonhall_types::ClassKey;
use wigeonhall_types::ClassKind;
use wigeonhall_types::Deployment;
use wigeonhall_types::ServiceKey;

/// Standard deviation of the logarithm of service times.
const SERVICE_TIME_LOG_SD: f64 = 0.35;

/// Ratio of the mean service time to the median: exp(0.35² / 2) for a log-normal distribution.
const MEAN_OVER_MEDIAN: f64 = 1.063;

/// Returns the arrival rate of each read class, in queries per second, at a share of capacity.
///
/// The capacity of a service is the number of requests that its slots complete in one
/// second. It is divided evenly among the classes that depend on the service. A class gets the
/// lowest rate that one of its services allows.
#[must_use]
pub fn rates(deployment: &Deployment, load: f64) -> BTreeMap<ClassKey, f64> {
    let mut class_counts: BTreeMap<ServiceKey, u32> = BTreeMap::new();
    let reads = || {
        let classes = deployment.classes.iter();
        classes.filter(|(_, class)| class.kind == ClassKind::Read)
    };
    for (_, class) in reads() {
        for &service in &class.depends_on {
            *class_counts.entry(service).or_default() += 1;
        }
    }
    let rate = |service: ServiceKey| {
        let replicas = &deployment.services[&service].replicas;
        let slots: u32 = replicas
            .iter()
            .map(|it| deployment.replicas[it].slots)
            .sum();
        let request_s = MEDIAN_SERVICE_US as f64 * MEAN_OVER_MEDIAN / 1e6;
        load * f64::from(slots) / request_s / f64::from(class_counts[&service])
    };
    let per_class = reads().map(|(&key, class)| {
        let services = class.depends_on.iter();
        let lowest = services.map(|&it| rate(it)).fold(f64::INFINITY, f64::min);
        (key, lowest)
    });
    per_class.collect()
}

/// Returns the random number generator for arrivals and their entry nodes.
///
/// It is separate from the generator for service times, so that runs with the same seed
/// get the same arrivals whatever their schedulers decide.
#[must_use]
pub fn arrivals_rng(seed: u64) -> Rng {
    Rng::with_seed(!seed)
}

/// Returns the time of the first arrival of each class, in microseconds.
#[must_use]
pub fn first_arrivals_us(rng: &mut Rng, rates: &BTreeMap<ClassKey, f64>) -> Vec<(u64, ClassKey)> {
    let arrivals = rates.iter();
    arrivals
        .map(|(&class, &per_second)| (next_arrival_us(rng, per_second), class))
        .collect()
}

/// Returns the time until the next arrival of a Poisson process, in microseconds.
#[must_use]
pub fn next_arrival_us(rng: &mut Rng, per_second: f64) -> u64 {
    (-(1.0 - rng.f64()).ln() / per_second * 1e6) as u64
}

/// Returns a random service time of one request at a target, in microseconds.
#[must_use]
pub fn service_time_us(rng: &mut Rng, factor: f64) -> u64 {
    // The sum of 12 uniform numbers is nearly normal with variance 1.
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (MEDIAN_SERVICE_US as f64 * (SERVICE_TIME_LOG_SD * normal).exp() * factor) as u64
}
