use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;

use crate::process::held_memory::HeldMemory;

/// A caller's request as it is sent to replicas.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) body: Bytes,
    /// The caller's headers without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    /// Memory reserved for the request.
    #[expect(dead_code, reason = "releases the memory when the request is dropped")]
    pub(crate) memory: HeldMemory,
    pub(crate) method: Method,
    pub(crate) request_id: HeaderValue,
    /// Path and query, unchanged.
    pub(crate) uri: Uri,
}
