use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Body of the response to `GET /explain?request=…` or `GET /explain?replica=…`, as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Decisions on the subject, oldest first.
    pub decisions: Vec<Decision>,
    /// Number of decisions on any subject of this kind that the node has evicted from its
    /// buffer.
    pub forgotten: u64,
    /// Name of the node.
    pub node: Arc<str>,
}

/// One recorded decision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Decision {
    /// Time since the decision, in microseconds. A duration, because clocks differ between
    /// nodes.
    pub age_us: u64,
    /// Reason in words.
    pub reason: Arc<str>,
    /// Name of the replica that the decision concerns.
    pub replica: Option<Arc<str>>,
    /// Id of the request that the decision concerns, as the caller gave or received it.
    pub request: Option<Arc<str>>,
    /// Decision in words.
    pub what: Arc<str>,
}

/// Subject of an explanation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Subject {
    /// A replica, by name.
    Replica(Arc<str>),
    /// A request, by id.
    Request(Arc<str>),
}
