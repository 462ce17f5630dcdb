use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

use crate::socket;

/// Read buffer of a connection to a replica or the store.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Sends requests over one connection.
pub(crate) type HttpSender = SendRequest<Full<Bytes>>;

/// Opens a connection and runs it until its sender is dropped.
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<HttpSender> {
    let stream = time::timeout(timeout, TcpStream::connect(address)).await??;
    socket::prepare(&stream)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    task::spawn_local(async move {
        // The sender of the request reports the same error to whoever waits for it.
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(sender)
}
