use crate::RoundTrip;

/// Number of mean deviations by which a round trip may be longer than the mean.
const DEVIATIONS: u64 = 2;

/// Processor time, on a whole core, by which an answer may leave later than the mean of the node's
/// delays: the node may be at work on other requests.
const PROCESSOR_TIME_US: f64 = 500.0;

/// When and how a caller's request arrived at its node.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The node's own delay between the time at which an answer is due and that at which it is made.
    pub answer_lag_us: u64,
    /// Time at which the request arrived.
    pub arrived_us: u64,
    /// Whether an earlier request was answered on the same connection, so that the caller did not
    /// wait for a new one.
    pub connection_reused: bool,
    /// Share of a core that the node may use.
    pub processor_share: f64,
    /// Round trips on the connection.
    pub round_trip: RoundTrip,
}

impl Default for Arrival {
    /// Returns the arrival of a request at time 0 on a new connection, at a node with a quarter of a
    /// core and no delay.
    fn default() -> Self {
        Self {
            answer_lag_us: 0,
            arrived_us: 0,
            connection_reused: false,
            processor_share: 0.25,
            round_trip: RoundTrip::default(),
        }
    }
}

impl Arrival {
    /// Returns how long before the target latency, counted from the arrival, an answer is due so
    /// that it reaches its caller in time.
    ///
    /// The caller waits for one round trip of the request and its answer, and for another one if it
    /// opened a connection.
    pub(crate) fn margin_us(&self) -> u64 {
        let round_trips = if self.connection_reused { 1 } else { 2 };
        let network_us =
            round_trips * self.round_trip.mean_us + DEVIATIONS * self.round_trip.deviation_us;
        let processor_us = PROCESSOR_TIME_US / self.processor_share.max(0.01);
        network_us + processor_us as u64 + self.answer_lag_us
    }
}
