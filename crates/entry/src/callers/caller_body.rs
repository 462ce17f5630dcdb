//! Receives the bodies of requests within the memory budget.

use std::future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;

use wigeonhall_dispatch::BodyKey;
use wigeonhall_dispatch::MemoryUse;

use crate::callers::caller_limits::CallerLimit;
use crate::callers::caller_request::Rejection;
use crate::callers::open_bodies::OpenBody;
use crate::process::held_memory::HeldMemory;
use crate::process::node_state::NodeState;

/// Memory of a request without its headers and body; its header values keep a read buffer alive.
const REQUEST_BYTES: usize = 8 * 1024;

/// Memory that `hyper` holds for a body that is being received: a frame that was not taken yet.
const FRAME_BYTES: usize = 16 * 1024;

/// Memory of a header in the parsed head and in its copy for replicas, without its text.
const HEADER_BYTES: usize = 256;

/// First buffer of a body without a stated length.
const FIRST_BUFFER_BYTES: usize = 4 * 1024;

/// Further buffers of such a body. All have one size, so that the heap keeps no holes between
/// bodies of different lengths.
const BLOCK_BYTES: usize = 16 * 1024;

/// Reserves memory for a request and receives its whole body, at most `limit_bytes` of it.
///
/// A stated length is reserved as a whole before anything is read: a body that was admitted can
/// then be completed. A body of unknown length is reserved as its buffer grows.
pub(crate) async fn read(
    shared: &Rc<NodeState>,
    mut body: Incoming,
    headers: usize,
    limit_bytes: usize,
) -> Result<(Bytes, HeldMemory), Rejection> {
    let stated_bytes = body.size_hint().exact();
    let stated_bytes = stated_bytes.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if stated_bytes.is_some_and(|bytes| bytes > limit_bytes) {
        return Err(Rejection::body_too_long());
    }
    let buffer_bytes = stated_bytes.unwrap_or(FIRST_BUFFER_BYTES);
    let frame_bytes = if body.is_end_stream() { 0 } else { FRAME_BYTES };
    let request_bytes = REQUEST_BYTES + headers * HEADER_BYTES + frame_bytes + buffer_bytes;
    let Some(memory) = make_room(shared, || {
        HeldMemory::reserve(shared, MemoryUse::Requests, request_bytes)
    }) else {
        shared.caller_limits.count(CallerLimit::RequestRefused);
        return Err(Rejection::no_memory());
    };
    if body.is_end_stream() {
        return Ok((Bytes::new(), memory));
    }
    let reader = BodyReader {
        key: shared
            .open_bodies
            .borrow_mut()
            .add(shared.clock.now_us(), memory),
        shared,
    };
    while let Some(frame) = reader.next_frame(&mut body).await? {
        // Trailers aren't part of the body.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        // Most bodies arrive in one frame and aren't copied.
        if stated_bytes == Some(data.len()) {
            return Ok((data, reader.finish()?.1));
        }
        reader.push(&data, buffer_bytes, limit_bytes)?;
    }
    reader.finish()
}

/// Closes the slowest incomplete body, if one has had time enough; returns whether one was closed.
fn close_slowest(shared: &NodeState) -> bool {
    let now_us = shared.clock.now_us();
    let closed = shared.open_bodies.borrow_mut().close_slowest(now_us);
    if closed.is_some() {
        shared.caller_limits.count(CallerLimit::BodyClosed);
    }
    closed.is_some()
}

/// Closes slow bodies until `reserve` succeeds; `None` if there is still no room.
fn make_room<T>(shared: &NodeState, mut reserve: impl FnMut() -> Option<T>) -> Option<T> {
    loop {
        let reserved = reserve();
        if reserved.is_some() || !close_slowest(shared) {
            return reserved;
        }
    }
}

/// Receives a body; removes it from the open bodies when dropped.
struct BodyReader<'a> {
    key: BodyKey,
    shared: &'a Rc<NodeState>,
}

impl BodyReader<'_> {
    /// Waits for the next frame; fails when the body is cut short or closed in favour of others.
    async fn next_frame(&self, body: &mut Incoming) -> Result<Option<Frame<Bytes>>, Rejection> {
        future::poll_fn(|cx| {
            if let Poll::Ready(frame) = Pin::new(&mut *body).poll_frame(cx) {
                let cut_short = |_| Rejection::body_cut_short();
                return Poll::Ready(frame.transpose().map_err(cut_short));
            }
            self.poll_closed(cx).map(Err)
        })
        .await
    }

    fn poll_closed(&self, cx: &Context<'_>) -> Poll<Rejection> {
        let mut bodies = self.shared.open_bodies.borrow_mut();
        let Some(body) = bodies.get(self.key) else {
            return Poll::Ready(Rejection::no_memory());
        };
        match &body.reader {
            Some(reader) if reader.will_wake(cx.waker()) => {}
            _ => body.reader = Some(cx.waker().clone()),
        }
        Poll::Pending
    }

    /// Appends to the last buffer, and adds buffers as needed; chunks of any size fill them.
    fn push(&self, data: &[u8], first_bytes: usize, limit_bytes: usize) -> Result<(), Rejection> {
        let mut data = data;
        let length_bytes = data.len() + self.with_body(|body| body.len())?;
        if length_bytes > limit_bytes {
            return Err(Rejection::body_too_long());
        }
        while !data.is_empty() {
            if self.with_body(|body| body.spare_bytes())? == 0 {
                self.add_block(first_bytes)?;
            }
            data = self.with_body(|body| body.fill(data))?;
        }
        let mut bodies = self.shared.open_bodies.borrow_mut();
        bodies.received(self.key, length_bytes);
        Ok(())
    }

    /// Adds a buffer; the memory of the first one was reserved with the request.
    fn add_block(&self, first_bytes: usize) -> Result<(), Rejection> {
        if self.with_body(|body| body.len())? == 0 {
            return self.with_body(|body| body.add_block(first_bytes));
        }
        let reserved = make_room(self.shared, || {
            let grown = self.with_body(|body| body.memory.grow(BLOCK_BYTES));
            // A closed body needs no more room.
            grown.map_or(Some(false), |grown| grown.then_some(true))
        });
        if reserved != Some(true) {
            self.shared.caller_limits.count(CallerLimit::BodyClosed);
            return Err(Rejection::no_memory());
        }
        self.with_body(|body| body.add_block(BLOCK_BYTES))
    }

    /// Returns the body and its memory.
    fn finish(self) -> Result<(Bytes, HeldMemory), Rejection> {
        let body = self.shared.open_bodies.borrow_mut().remove(self.key);
        let body = body.ok_or(Rejection::no_memory())?;
        Ok(body.finish())
    }

    fn with_body<T>(&self, apply: impl FnOnce(&mut OpenBody) -> T) -> Result<T, Rejection> {
        let mut bodies = self.shared.open_bodies.borrow_mut();
        bodies
            .get(self.key)
            .map(apply)
            .ok_or(Rejection::no_memory())
    }
}

impl Drop for BodyReader<'_> {
    fn drop(&mut self) {
        drop(self.shared.open_bodies.borrow_mut().remove(self.key));
    }
}
