use std::sync::Arc;

/// A data centre of the deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DataCentre {
    /// Taken out by operators: no new work for its targets and nodes.
    pub out: bool,
    /// Name of the region that holds this data centre.
    pub region: Arc<str>,
}
