use std::sync::Arc;

/// A data centre, as the deployment defines it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DataCentre {
    /// Whether operators took the data centre out of service. Its targets and nodes then get no
    /// new work.
    pub out: bool,
    /// Name of the region of this data centre.
    pub region: Arc<str>,
}
