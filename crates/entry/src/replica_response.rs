use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;

use wigeonhall_dispatch::Notice;
use wigeonhall_dispatch::Reply;

use crate::held_body::HeldMemory;

/// The whole answer of a replica.
#[derive(Debug)]
pub(crate) struct ReplicaResponse {
    pub(crate) body: Bytes,
    pub(crate) headers: HeaderMap,
    /// Memory of the body.
    #[expect(dead_code, reason = "given back when the answer is dropped")]
    pub(crate) memory: HeldMemory,
    pub(crate) status: StatusCode,
}

/// What came of a send, with the answer if there is one to use.
#[derive(Debug)]
pub(crate) struct SendResult {
    /// What the replica asks of the node besides.
    pub(crate) notice: Notice,
    pub(crate) reply: Reply,
    pub(crate) response: Option<ReplicaResponse>,
}

impl SendResult {
    pub(crate) fn without_response(reply: Reply) -> Self {
        Self {
            notice: Notice::default(),
            reply,
            response: None,
        }
    }
}
