use std::collections::HashMap;
use std::sync::Arc;

use wigeonhall_query::QueryId;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

/// What tells a first send of a request from a hedge, a retry or a restart.
#[derive(Debug)]
pub struct RequestTrace {
    request_id: Arc<str>,
    /// Per service that was sent to at `version`.
    sends: HashMap<ServiceKey, Sends>,
    version: Option<IndexVersion>,
}

/// A sub-request without an outcome.
#[derive(Clone, Copy, Debug)]
pub struct SentSub {
    /// Request that it belongs to.
    pub id: QueryId,
    /// Replica that it was sent to.
    pub replica: ReplicaKey,
    /// Service of the replica.
    pub service: ServiceKey,
    /// Version that it asked for.
    pub version: Option<IndexVersion>,
}

/// What a send of a sub-request means for its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendKind {
    /// First send to its service.
    First,
    /// Another sub-request to the service has no reply yet.
    Hedge,
    /// First send of the request.
    Pin,
    /// First send at another version.
    Restart,
    /// Those before had a reply that did not do.
    Retry,
}

#[derive(Debug, Default)]
struct Sends {
    /// Sub-requests without a reply.
    open: u32,
}

impl RequestTrace {
    /// A request that nothing was sent for.
    #[must_use]
    pub fn new(request_id: Arc<str>) -> Self {
        Self {
            request_id,
            sends: HashMap::new(),
            version: None,
        }
    }

    /// Id by which the decisions on the request are recorded.
    #[must_use]
    pub const fn request_id(&self) -> &Arc<str> {
        &self.request_id
    }

    /// Takes a send to a service.
    pub fn sent(&mut self, service: ServiceKey, version: Option<IndexVersion>) -> SendKind {
        let pinned = self.version;
        if pinned != version {
            self.sends.clear();
            self.version = version;
        }
        let before = self.sends.get(&service).map(|it| it.open);
        self.sends.entry(service).or_default().open += 1;
        match before {
            _ if pinned.is_none() => SendKind::Pin,
            _ if pinned != version => SendKind::Restart,
            None => SendKind::First,
            Some(0) => SendKind::Retry,
            Some(_) => SendKind::Hedge,
        }
    }

    /// Takes the reply to a sub-request.
    pub fn replied(&mut self, sub: &SentSub) {
        if sub.version == self.version
            && let Some(sends) = self.sends.get_mut(&sub.service)
        {
            sends.open = sends.open.saturating_sub(1);
        }
    }
}
