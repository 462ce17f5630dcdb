/// Sizes and times of a simulated deployment; the shards are those of one index.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentShape {
    /// One-way delay between callers and nodes.
    pub caller_us: u64,
    /// One-way delay between data centres.
    pub cross_us: u64,
    /// Number of data centres, over which nodes and replicas are dealt in turn.
    pub data_centres: usize,
    /// One-way delay within a data centre.
    pub local_us: u64,
    /// Name in tables.
    pub name: String,
    /// Number of nodes of the entry tier.
    pub nodes: usize,
    /// Length of a replica's pauses; 0 for no pauses.
    pub pause_us: u64,
    /// Time from the start of a pause of a replica to that of the next one.
    pub pause_every_us: u64,
    /// Share of a core that a node may use; answers are due earlier at nodes with less. The work of
    /// nodes takes no time here.
    pub processor_share: f64,
    /// Number of requests that wait at a replica before it refuses more.
    pub queue: usize,
    /// Number of replicas of each shard.
    pub replicas: usize,
    /// Kinds of request.
    pub routes: Vec<RouteShape>,
    /// Number of shards.
    pub shards: usize,
    /// Share of the time in which a replica is slow, at times of its own; 0 if none ever is.
    pub slow_share: f64,
    /// Number of requests that a replica runs at once.
    pub slots: u32,
}

/// A kind of request to all shards.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteShape {
    /// Maximum number of replicas that may run a request, for each shard.
    pub max_attempts: u32,
    /// Minimum share of the shards in a success.
    pub min_fraction: f64,
    /// Share of the requests, relative to the other routes.
    pub share: f64,
    /// Latency for the full benefit.
    pub target_ms: u64,
    /// Time that the caller waits.
    pub timeout_ms: u64,
    /// Mean time that a replica works on a part.
    pub work_ms: f64,
    /// Size of a replica's response.
    pub part_bytes: u64,
    /// Benefit of a whole answer in time.
    pub worth: f64,
}

impl DeploymentShape {
    /// Returns the rate, in requests a second, at which the slots of a shard are all in use.
    #[must_use]
    pub fn capacity_per_s(&self) -> f64 {
        let shares: f64 = self.routes.iter().map(|route| route.share).sum();
        let work = self.routes.iter().map(|route| route.work_ms * route.share);
        let slots = self.slots as usize * self.replicas;
        let mean_work_s = work.sum::<f64>() / shares / 1_000.0;
        slots as f64 / mean_work_s
    }
}
