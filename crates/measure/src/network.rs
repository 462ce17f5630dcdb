use wigeonhall_types::DataCentreKey;

/// One-way network delays, in microseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Network {
    /// Between two data centres.
    pub between_us: u64,
    /// Between a caller and an entry node.
    pub caller_us: u64,
    /// Within a data centre.
    pub within_us: u64,
}

impl Network {
    /// Returns the delay between VMs in two data centres, which may be the same one.
    #[must_use]
    pub fn delay_us(self, from: DataCentreKey, to: DataCentreKey) -> u64 {
        if from == to {
            self.within_us
        } else {
            self.between_us
        }
    }
}
