use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use wigeonhall_dispatch::UnknownCause;

use crate::process::node_state::NodeState;

/// Memory reserved for the body of a response; released when dropped.
#[derive(Debug)]
pub(crate) struct ReservedMemory {
    bytes: usize,
    shared: Rc<NodeState>,
}

impl ReservedMemory {
    /// Reserves memory up to `to_bytes`; returns false if the node's limit doesn't allow them.
    fn grow(&mut self, to_bytes: usize) -> bool {
        let mut memory = self.shared.memory.borrow_mut();
        let grown = memory.responses().grow(self.bytes, to_bytes);
        if grown {
            self.bytes = to_bytes;
        }
        grown
    }
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        let mut memory = self.shared.memory.borrow_mut();
        memory.responses().release(self.bytes);
    }
}

/// Reads the whole body of a response; fails when the node's memory limit is reached.
pub(crate) async fn read(
    shared: &Rc<NodeState>,
    mut body: Incoming,
) -> Result<(Bytes, ReservedMemory), UnknownCause> {
    let mut reserved = ReservedMemory {
        bytes: 0,
        shared: shared.clone(),
    };
    let mut whole = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| UnknownCause::Reset)?;
        let Ok(data) = frame.into_data() else {
            // Trailers aren't part of the body.
            continue;
        };
        if !reserved.grow(whole.bytes_with(&data)) {
            return Err(UnknownCause::TooLong);
        }
        whole.push(data);
    }
    Ok((whole.finish(), reserved))
}

/// The part of a body that has been received. A body of one frame, as most are, is not copied.
#[derive(Debug, Default)]
struct BodyBuffer {
    first: Bytes,
    whole: BytesMut,
}

impl BodyBuffer {
    /// Returns the memory that is needed with another frame: the buffer grows ahead of its length.
    fn bytes_with(&self, data: &Bytes) -> usize {
        let length_bytes = self.first.len() + self.whole.len() + data.len();
        let is_first = self.first.is_empty() && self.whole.is_empty();
        if is_first || length_bytes <= self.whole.capacity() {
            length_bytes.max(self.whole.capacity())
        } else {
            length_bytes.max(2 * self.whole.capacity())
        }
    }

    fn push(&mut self, data: Bytes) {
        if self.first.is_empty() && self.whole.is_empty() {
            self.first = data;
            return;
        }
        self.whole
            .extend_from_slice(&std::mem::take(&mut self.first));
        self.whole.extend_from_slice(&data);
    }

    fn finish(self) -> Bytes {
        if self.whole.is_empty() {
            self.first
        } else {
            self.whole.freeze()
        }
    }
}
