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
    /// Reserves more bytes; returns false if the node's limit doesn't allow them.
    fn grow(&mut self, more_bytes: usize) -> bool {
        let to_bytes = self.bytes + more_bytes;
        let mut memory = self.shared.response_memory.borrow_mut();
        let grown = memory.grow(self.bytes, to_bytes);
        if grown {
            self.bytes = to_bytes;
        }
        grown
    }
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        self.shared.response_memory.borrow_mut().release(self.bytes);
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
    let mut first = Bytes::new();
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| UnknownCause::Reset)?;
        let Ok(data) = frame.into_data() else {
            // Trailers aren't part of the body.
            continue;
        };
        if !reserved.grow(data.len()) {
            return Err(UnknownCause::TooLong);
        }
        if first.is_empty() && whole.is_empty() {
            first = data;
            continue;
        }
        whole.extend_from_slice(&std::mem::take(&mut first));
        whole.extend_from_slice(&data);
    }
    let body = if whole.is_empty() {
        first
    } else {
        whole.freeze()
    };
    Ok((body, reserved))
}
