//! Classifies the sub-requests of a request as first sends, hedges, retries or restarts.

use std::collections::HashMap;
use std::sync::Arc;

use wigeonhall_query::QueryId;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

/// State of one request that distinguishes first sends, hedges, retries and restarts.
#[derive(Debug)]
pub struct RequestTrace {
    request_id: Arc<str>,
    /// Sends to each service at `version`.
    sends: HashMap<ServiceKey, ServiceSends>,
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
pub enum SendKind {
    /// First send to the service.
    First,
    /// An earlier sub-request to the service has no reply yet.
    Hedge,
    /// First send of the request, which pins its index version.
    Pin,
    /// First send after the index version changed.
    Restart,
    /// All earlier sub-requests to the service were refused or failed.
    Retry,
}

#[derive(Debug, Default)]
struct ServiceSends {
    /// Sub-requests without a reply.
    unanswered: u32,
}

impl RequestTrace {
    /// Creates the trace of a request that has no sub-request yet.
    #[must_use]
    pub fn new(request_id: Arc<str>) -> Self {
        Self {
            request_id,
            sends: HashMap::new(),
            version: None,
        }
    }

    /// Returns the id under which decisions on the request are recorded.
    #[must_use]
    pub const fn request_id(&self) -> &Arc<str> {
        &self.request_id
    }

    /// Records a send to a service and classifies it.
    pub fn record_send(&mut self, service: ServiceKey, version: Option<IndexVersion>) -> SendKind {
        let pinned = self.version;
        if pinned != version {
            self.sends.clear();
            self.version = version;
        }
        let unanswered = self.sends.get(&service).map(|it| it.unanswered);
        self.sends.entry(service).or_default().unanswered += 1;
        match unanswered {
            _ if pinned.is_none() => SendKind::Pin,
            _ if pinned != version => SendKind::Restart,
            None => SendKind::First,
            Some(0) => SendKind::Retry,
            Some(_) => SendKind::Hedge,
        }
    }

    /// Records the reply to a sub-request.
    pub fn record_reply(&mut self, sub: &SentSubRequest) {
        if sub.version == self.version
            && let Some(sends) = self.sends.get_mut(&sub.service)
        {
            sends.unanswered = sends.unanswered.saturating_sub(1);
        }
    }
}
