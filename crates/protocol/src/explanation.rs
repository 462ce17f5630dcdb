use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// What a node serves at `GET /explain?request=…` or `GET /explain?replica=…`, as
/// JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Decisions by falling age.
    pub decisions: Vec<Decision>,
    /// Decisions on any subject of this kind that the node no longer holds.
    pub forgotten: u64,
    /// Name of the node.
    pub node: Arc<str>,
}

/// One recorded decision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Decision {
    /// Time since the decision in microseconds; a duration, since clocks differ.
    pub age_us: u64,
    /// Why.
    pub reason: Arc<str>,
    /// Replica that it concerns.
    pub replica: Option<Arc<str>>,
    /// Request that it concerns, by the id that its caller gave or was told.
    pub request: Option<Arc<str>>,
    /// What was decided.
    pub what: Arc<str>,
}

/// What an explanation is asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subject {
    /// A replica, by name.
    Replica(Arc<str>),
    /// A request, by id.
    Request(Arc<str>),
}
