/// Times of round trips on a caller's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoundTrip {
    /// Mean deviation from the mean.
    pub deviation_us: u64,
    /// Moving mean.
    pub mean_us: u64,
}

impl Default for RoundTrip {
    /// Returns the times that are assumed where none are known: those between cities.
    fn default() -> Self {
        Self {
            deviation_us: 1_500,
            mean_us: 6_000,
        }
    }
}
