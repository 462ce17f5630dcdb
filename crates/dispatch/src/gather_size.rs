use crate::Pool;
use crate::Route;
use crate::ServiceKey;

/// What decides whether nodes divide the legs of a gather among them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatherSize {
    /// Number of legs.
    pub legs: usize,
    /// Whether the replicas of the shards run one request at a time.
    pub single_slots: bool,
    /// Latency that the caller aims for.
    pub target_latency_ms: u64,
}

impl Pool {
    /// Returns what decides whether nodes divide the legs of a gather.
    #[must_use]
    pub fn gather_size(&self, route: &Route) -> GatherSize {
        let services = route.services();
        GatherSize {
            legs: services.len(),
            single_slots: self.policy().shared_single_slots && self.have_single_slots(&services),
            target_latency_ms: route.spec.target_latency_ms,
        }
    }

    /// Whether most of the known replicas of these services run one request at a time.
    fn have_single_slots(&self, services: &[ServiceKey]) -> bool {
        let replicas = services.iter().flat_map(|key| self.replicas_of(*key));
        let known = replicas.filter_map(|key| self.replica(*key));
        let (single, all) = known.fold((0, 0), |(single, all), replica| {
            (single + u32::from(replica.registration.slots <= 1), all + 1)
        });
        2 * single > all
    }
}
