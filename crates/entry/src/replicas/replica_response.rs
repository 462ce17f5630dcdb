use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;

use wigeonhall_dispatch::Notice;
use wigeonhall_dispatch::Reply;

use crate::replicas::response_body::ReservedMemory;

/// The whole response of a replica.
#[derive(Debug)]
pub(crate) struct ReplicaResponse {
    pub(crate) body: Bytes,
    pub(crate) headers: HeaderMap,
    /// Memory reserved for the body.
    pub(crate) memory: ReservedMemory,
    pub(crate) status: StatusCode,
}

/// The result of a sub-request, with the response if there is a usable one.
#[derive(Debug)]
pub(crate) struct SubRequestResult {
    /// What the replica asked of its callers in the response.
    pub(crate) notice: Notice,
    pub(crate) reply: Reply,
    pub(crate) response: Option<ReplicaResponse>,
}

impl SubRequestResult {
    pub(crate) fn without_response(reply: Reply) -> Self {
        Self {
            notice: Notice::default(),
            reply,
            response: None,
        }
    }
}
