use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::replicas::response_body::ReservedMemory;

/// Largest frame that is passed to the HTTP connection at once; it asks for the next one when the
/// caller has read most of what it has.
const FRAME_BYTES: usize = 32 * 1024;

/// A response to a caller.
pub(crate) type CallerResponse = Response<ResponseBody>;

/// The body of a response to a caller. Its memory is reserved until the caller has read it.
#[derive(Debug)]
pub(crate) struct ResponseBody {
    memory: Option<ReservedMemory>,
    rest: Bytes,
}

impl ResponseBody {
    /// Returns a body whose memory is not reserved, as it is small.
    pub(crate) const fn new(bytes: Bytes) -> Self {
        Self {
            memory: None,
            rest: bytes,
        }
    }

    /// Returns the body of a replica's response.
    pub(crate) const fn with_memory(bytes: Bytes, memory: ReservedMemory) -> Self {
        Self {
            memory: Some(memory),
            rest: bytes,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            drop(self.memory.take());
            return Poll::Ready(None);
        }
        let frame_bytes = self.rest.len().min(FRAME_BYTES);
        let data = self.rest.split_to(frame_bytes);
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
