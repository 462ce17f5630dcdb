use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::process::held_memory::HeldMemory;

/// Why a body was not received.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// The body is longer than the limit.
    TooLong,
    /// The connection failed.
    Transport(hyper::Error),
}

/// Receives a whole body of at most `limit_bytes` in one buffer, whose size is counted in `memory`.
pub(crate) async fn read(
    mut body: Incoming,
    limit_bytes: usize,
    memory: &mut HeldMemory,
) -> Result<Bytes, BodyError> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::Transport)?;
        // Trailers aren't part of the body.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit_bytes {
            return Err(BodyError::TooLong);
        }
        whole.extend_from_slice(&data);
        memory.resize(whole.capacity());
    }
    Ok(whole.freeze())
}
