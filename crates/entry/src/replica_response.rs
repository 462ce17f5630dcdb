use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;

use wigeonhall_dispatch::Reply;

/// The whole answer of a replica.
#[derive(Debug)]
pub(crate) struct ReplicaResponse {
    pub(crate) body: Bytes,
    pub(crate) headers: HeaderMap,
    pub(crate) status: StatusCode,
}

/// What came of a send, with the answer if there is one to use.
#[derive(Debug)]
pub(crate) struct SendResult {
    pub(crate) reply: Reply,
    pub(crate) response: Option<ReplicaResponse>,
}

impl SendResult {
    pub(crate) const fn without_response(reply: Reply) -> Self {
        Self {
            reply,
            response: None,
        }
    }
}
