use crate::RoundTrip;

/// Strengths of the mechanisms by which replicas are chosen, hedged and suspended.
///
/// The default is in use on every deployment. Measurements and tests change single fields to
/// find out what a mechanism is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each turns off one mechanism of its own"
)]
pub struct Policy {
    /// Whether the timeout of a new connection follows the latencies of earlier ones.
    pub adaptive_connect_timeout: bool,
    /// Whether some gathers are refused while more arrive than can be answered in time.
    pub admission: bool,
    /// Whether a cold (newly started) replica gets no more requests than its service states.
    pub cold_rate: bool,
    /// Cost factor of a replica in another data centre, at least; traffic between data centres is
    /// charged for.
    pub cross_data_centre_cost: f64,
    /// Whether a gather that cannot succeed is refused before anything is sent.
    pub early_refusal: bool,
    /// Exponent of the share of successful requests by which the cost of a replica is divided; 0 if
    /// failures do not raise the cost. A failed request costs its own time and a retry, which the
    /// budget of its service limits.
    pub failure_exponent: f64,
    /// Distance of another data centre, in time of a round trip, from which the choice between data
    /// centres weighs more than a constant factor. A replica that is nearer is as good for callers
    /// as an own one, and each detour to an own replica that is slow costs them more.
    pub far_distance_us: f64,
    /// Whether the slowness of a replica is the geometric mean of its latencies, in which a single
    /// long one counts for less.
    pub geometric_slowness: bool,
    /// Whether hedges are sent only to data centres whose responses show room for them.
    pub hedge_room: bool,
    /// Whether late legs are sent to a second replica.
    pub hedging: bool,
    /// Share of the legs of recent gathers, from 0 to 1, that were queued by their replicas, above
    /// which no leg is hedged.
    pub hedging_queue_share: f64,
    /// Whether a leg without an available replica is sent to a suspended one.
    pub last_resort: bool,
    /// Whether hedges to another data centre are sent only when the time left is needed for them.
    pub later_remote_hedges: bool,
    /// Whether the cost factor of a replica in another data centre follows the time that callers
    /// have left, the distance, and the load there.
    pub locality: bool,
    /// Whether the latencies of a replica are compared with the median of their route instead of
    /// the moving mean, which follows the slowest parts of the last gather.
    pub median_ratio: bool,
    /// Whether hedges are postponed once when many legs are late at the same time.
    pub postponement: bool,
    /// Whether connections to replicas are opened before the first request.
    pub preconnects: bool,
    /// Whether callers are told to wait longer the longer a service has had no room for requests.
    pub prolonged_retries: bool,
    /// Whether the nodes together stay within the rates that replicas name in their responses.
    pub rate_limits: bool,
    /// Extra sub-requests for which credit remains after a hedge.
    pub reserved_retries: u32,
    /// Whether the time reserved for the answer's way to the caller follows the caller's round
    /// trips.
    pub round_trips: bool,
    /// Whether nodes with little processor time divide the legs of a gather among them.
    pub shared_gathers: bool,
    /// Whether nodes divide the legs of a gather among them also where they have enough processor
    /// time, if the replicas run one request at a time. Two requests that nodes send without
    /// knowing of each other then always wait for one another.
    pub shared_single_slots: bool,
    /// Whether the latencies of a replica change its cost.
    pub slowness: bool,
    /// Weight of the newest latency in the slowness of a replica. A node sends few requests to one
    /// replica, and sees within a few that it has become slow.
    pub slowness_weight: f64,
    /// Whether a replica with requests in flight costs more the longer it returns no result.
    pub stall_costs: bool,
    /// Whether replicas are suspended after failures and refusals.
    pub suspension: bool,
    /// Largest share by which the cost of a replica is raised at random.
    pub tie_breaking: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            adaptive_connect_timeout: true,
            admission: true,
            cold_rate: true,
            cross_data_centre_cost: 1.3,
            early_refusal: true,
            failure_exponent: 2.0,
            far_distance_us: 5_000.0,
            geometric_slowness: true,
            hedge_room: true,
            hedging: true,
            hedging_queue_share: 0.35,
            last_resort: true,
            later_remote_hedges: true,
            locality: true,
            median_ratio: true,
            postponement: true,
            preconnects: true,
            prolonged_retries: true,
            rate_limits: true,
            reserved_retries: 1,
            round_trips: true,
            shared_gathers: true,
            shared_single_slots: true,
            slowness: true,
            slowness_weight: 0.3,
            stall_costs: true,
            suspension: true,
            tie_breaking: 0.05,
        }
    }
}

impl Policy {
    /// Returns the policy that charges for other data centres by a constant factor alone.
    #[must_use]
    pub fn constant_distance() -> Self {
        Self::default().without_locality()
    }

    /// Returns this policy with a constant factor alone for other data centres.
    pub(crate) const fn without_locality(self) -> Self {
        Self {
            hedge_room: false,
            later_remote_hedges: false,
            locality: false,
            median_ratio: false,
            slowness_weight: 0.2,
            stall_costs: false,
            ..self
        }
    }

    /// Returns the round trips by which answers are timed; `measured` is `None` if they are
    /// unknown.
    #[must_use]
    pub fn round_trip(&self, measured: Option<RoundTrip>) -> RoundTrip {
        measured.filter(|_| self.round_trips).unwrap_or_default()
    }
}
