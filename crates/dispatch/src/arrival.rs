use crate::RoundTrip;

/// Number of mean deviations by which a round trip may be longer than the mean.
const DEVIATIONS: u64 = 2;

/// Time from the end of a timer, which has a resolution of a millisecond, until the answer is
/// written.
const WRITE_US: u64 = 2_000;

/// When and how a caller's request arrived at its node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival {
    /// The node's own delay between the time at which an answer is due and that at which it is made.
    pub answer_lag_us: u64,
    /// Time at which the request arrived.
    pub arrived_us: u64,
    /// Whether an earlier request was answered on the same connection, so that the caller did not
    /// wait for a new one.
    pub connection_reused: bool,
    /// Round trips on the connection.
    pub round_trip: RoundTrip,
}

impl Arrival {
    /// Returns how long before the target latency, counted from the arrival, an answer is due so
    /// that it reaches its caller in time.
    ///
    /// The caller waits for one round trip of the request and its answer, and for another one if it
    /// opened a connection.
    pub(crate) const fn margin_us(&self) -> u64 {
        let round_trips = if self.connection_reused { 1 } else { 2 };
        let network_us =
            round_trips * self.round_trip.mean_us + DEVIATIONS * self.round_trip.deviation_us;
        network_us + WRITE_US + self.answer_lag_us
    }
}
