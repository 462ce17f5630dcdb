//! Receives the bodies of requests to the HTTP front end within limits.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tokio::sync::Semaphore;
use tokio::task;
use tokio::time;

/// Limit on the size of a request body.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Memory for the bodies of all requests together.
const ALL_BODIES_BYTES: usize = 32 * 1024 * 1024;

/// Divisor of the free memory; a body may need at most the quotient. The rest stays free for small
/// bodies.
const FREE_DIVISOR: usize = 4;

/// Unit in which the memory for bodies is reserved.
const UNIT_BYTES: usize = 1024;

/// Timeout for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a caller may read a response that its body has not been read for. A close with
/// unread bytes resets the connection, and the caller would lose the response.
const LAST_RESPONSE_PERIOD: Duration = Duration::from_millis(500);

/// Why a request body is not available.
#[derive(Debug)]
pub(crate) enum BodyError {
    Malformed(String),
    Missing,
    NoMemory,
    Oversized,
}

/// Memory for the bodies of all requests.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    units: Semaphore,
}

impl BodyMemory {
    pub(crate) const fn new() -> Self {
        Self {
            units: Semaphore::const_new(ALL_BODIES_BYTES / UNIT_BYTES),
        }
    }

    /// Receives and parses a body. Its memory is reserved before it is read, for a body without a
    /// stated length that of the largest one.
    pub(crate) async fn parse<T: DeserializeOwned>(&self, body: Incoming) -> Result<T, BodyError> {
        let stated_bytes = stated_bytes(&body);
        if stated_bytes.is_some_and(|bytes| bytes > MAX_BODY_BYTES) {
            close_later(body);
            return Err(BodyError::Oversized);
        }
        let buffer_bytes = stated_bytes.unwrap_or(MAX_BODY_BYTES);
        let units = buffer_bytes.div_ceil(UNIT_BYTES);
        let has_room = units <= self.units.available_permits() / FREE_DIVISOR;
        let reserved = self.units.try_acquire_many(units as u32).ok();
        let Some(_reserved) = reserved.filter(|_| has_room) else {
            skip(body);
            return Err(BodyError::NoMemory);
        };
        let reading = read(body, Vec::with_capacity(buffer_bytes));
        let bytes = match time::timeout(BODY_TIMEOUT, reading).await {
            Ok(read) => read?,
            Err(_) => return Err(BodyError::Missing),
        };
        serde_json::from_slice(&bytes).map_err(|error| BodyError::Malformed(error.to_string()))
    }
}

/// Returns the length that the head of the request states.
pub(crate) fn stated_bytes(body: &Incoming) -> Option<usize> {
    body.size_hint().exact().map(|bytes| bytes as usize)
}

/// Reads the rest of a body that a response does not wait for, so that the connection can be used
/// again.
pub(crate) fn skip(body: Incoming) {
    task::spawn_local(async move {
        // A body that ends early or late ends the connection.
        drop(time::timeout(BODY_TIMEOUT, discard(body)).await);
    });
}

async fn discard(mut body: Incoming) {
    let mut read_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        read_bytes += frame.data_ref().map_or(0, Bytes::len);
        if read_bytes > MAX_BODY_BYTES {
            return;
        }
    }
}

/// Ends the connection without reading more, once the caller could read the response.
fn close_later(body: Incoming) {
    task::spawn_local(async move {
        time::sleep(LAST_RESPONSE_PERIOD).await;
        drop(body);
    });
}

async fn read(mut body: Incoming, mut whole: Vec<u8>) -> Result<Vec<u8>, BodyError> {
    while let Some(frame) = body.frame().await {
        // Trailers aren't part of the body.
        let Ok(data) = frame.map_err(|_| BodyError::Missing)?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > MAX_BODY_BYTES {
            close_later(body);
            return Err(BodyError::Oversized);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole)
}
