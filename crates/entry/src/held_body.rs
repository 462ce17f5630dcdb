use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use wigeonhall_dispatch::UnknownCause;

use crate::node_state::NodeState;

/// Memory that the body of an answer holds, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    bytes: usize,
    shared: Rc<NodeState>,
}

impl HeldMemory {
    /// Adds bytes; false if the node has no room for them.
    fn grow(&mut self, more_bytes: usize) -> bool {
        let to_bytes = self.bytes + more_bytes;
        let mut memory = self.shared.answer_memory.borrow_mut();
        let grown = memory.grow(self.bytes, to_bytes);
        if grown {
            self.bytes = to_bytes;
        }
        grown
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.shared.answer_memory.borrow_mut().release(self.bytes);
    }
}

/// Reads the whole body of an answer, as far as the node has memory for it.
pub(crate) async fn read(
    shared: &Rc<NodeState>,
    mut body: Incoming,
) -> Result<(Bytes, HeldMemory), UnknownCause> {
    let mut held = HeldMemory {
        bytes: 0,
        shared: shared.clone(),
    };
    let mut first = Bytes::new();
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| UnknownCause::Reset)?;
        let Ok(data) = frame.into_data() else {
            // Trailers are no part of the body.
            continue;
        };
        if !held.grow(data.len()) {
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
    Ok((body, held))
}
