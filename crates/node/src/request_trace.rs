//! Classifies the sub-requests of a caller's request as pins, first sub-requests, hedges, retries
//! or restarts.

use std::collections::HashMap;
use std::sync::Arc;

use wigeonhall_query::QueryId;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

/// Classifies the sub-requests of one request by the ones sent before.
#[derive(Debug)]
pub struct SubRequestClassifier {
    request_id: Arc<str>,
    /// Sub-requests to each service at `version`.
    services: HashMap<ServiceKey, ServiceSubRequests>,
    /// Index version of the last sub-request; `None` before the first one. The query core sets a
    /// version on every sub-request.
    version: Option<IndexVersion>,
}

/// Sub-request that was sent and has no outcome yet.
#[derive(Clone, Copy, Debug)]
pub struct SentSubRequest {
    /// Request that the sub-request belongs to.
    pub id: QueryId,
    /// Replica that the sub-request was sent to.
    pub replica: ReplicaKey,
    /// Service of the replica.
    pub service: ServiceKey,
    /// Index version that the sub-request reads.
    pub version: Option<IndexVersion>,
}

/// Role of a sub-request within its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubRequestKind {
    /// First sub-request to the service at this index version.
    First,
    /// An earlier sub-request to the service has no reply yet.
    Hedge,
    /// First sub-request of the request. Its index version is pinned: the other sub-requests read
    /// the same version, unless it is gone.
    Pin,
    /// First sub-request after the index version changed.
    Restart,
    /// All earlier sub-requests to the service were refused or failed.
    Retry,
}

#[derive(Debug, Default)]
struct ServiceSubRequests {
    /// Sub-requests without a reply.
    unanswered: u32,
}

impl SubRequestClassifier {
    /// Creates the classifier of a request that has no sub-request yet.
    #[must_use]
    pub fn new(request_id: Arc<str>) -> Self {
        Self {
            request_id,
            services: HashMap::new(),
            version: None,
        }
    }

    /// Returns the id under which decisions on the request are recorded.
    #[must_use]
    pub const fn request_id(&self) -> &Arc<str> {
        &self.request_id
    }

    /// Records a sub-request to a service and classifies it.
    pub fn record_sub_request(
        &mut self,
        service: ServiceKey,
        version: Option<IndexVersion>,
    ) -> SubRequestKind {
        let pinned = self.version;
        if pinned != version {
            self.services.clear();
            self.version = version;
        }
        let unanswered = self.services.get(&service).map(|it| it.unanswered);
        self.services.entry(service).or_default().unanswered += 1;
        match unanswered {
            _ if pinned.is_none() => SubRequestKind::Pin,
            _ if pinned != version => SubRequestKind::Restart,
            None => SubRequestKind::First,
            Some(0) => SubRequestKind::Retry,
            Some(_) => SubRequestKind::Hedge,
        }
    }

    /// Records the reply to a sub-request.
    pub fn record_reply(&mut self, sub: &SentSubRequest) {
        if sub.version == self.version
            && let Some(sub_requests) = self.services.get_mut(&sub.service)
        {
            sub_requests.unanswered = sub_requests.unanswered.saturating_sub(1);
        }
    }
}
