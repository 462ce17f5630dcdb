/// Microseconds in one second.
pub(crate) const SECOND_US: u64 = 1_000_000;
