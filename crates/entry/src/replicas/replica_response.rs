use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;

use wigeonhall_adapter::RECEIPT;
use wigeonhall_adapter::listed_receipt;
use wigeonhall_dispatch::Notice;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::UnknownCause;

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

impl ReplicaResponse {
    /// Returns the receipt as it stands in the answer to a gather, if it can.
    pub(crate) fn listed_receipt(&self) -> Option<&str> {
        self.headers.get(&RECEIPT).and_then(listed_receipt)
    }
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
    /// Takes a success for one without proof if its receipt cannot stand in the answer to a gather.
    pub(crate) fn require_listed_receipt(&mut self) {
        let response = self.response.as_ref();
        let has_receipt = response.is_some_and(|response| response.listed_receipt().is_some());
        if self.reply == Reply::Success && !has_receipt {
            self.reply = Reply::Unknown(UnknownCause::Unproved);
        }
    }

    pub(crate) fn without_response(reply: Reply) -> Self {
        Self {
            notice: Notice::default(),
            reply,
            response: None,
        }
    }
}
