use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

use crate::net::hooked_stream::HookedStream;
use crate::net::socket;

/// Read buffer of a connection to a replica, the store or a peer; also the longest head of a
/// response. A node has thousands of connections to replicas.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Bytes that may be read before the head of a response is complete, interim responses
/// included: a head and the beginning of the body that is read with it.
const HEAD_READ_LIMIT_BYTES: usize = 3 * READ_BUFFER_BYTES;

/// Sends requests over one connection.
#[derive(Debug)]
pub(crate) struct HttpSender {
    read_limit_bytes: Rc<Cell<usize>>,
    sender: SendRequest<Full<Bytes>>,
}

impl HttpSender {
    /// Sends a request; the error returns the request if none of it was written.
    pub(crate) async fn try_send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.read_limit_bytes.set(HEAD_READ_LIMIT_BYTES);
        let response = self.sender.try_send_request(request).await;
        self.read_limit_bytes.set(usize::MAX);
        response
    }

    pub(crate) async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        let response = self.try_send_request(request).await;
        response.map_err(TrySendError::into_error)
    }

    /// Waits until the previous response has been read.
    pub(crate) async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Opens a connection and drives it until its sender is dropped.
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<HttpSender> {
    let stream = time::timeout(timeout, TcpStream::connect(address)).await??;
    socket::configure(&stream)?;
    let read_limit_bytes = Rc::new(Cell::new(usize::MAX));
    let stream = with_read_limit(stream, read_limit_bytes.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    task::spawn_local(async move {
        // The pending request fails with the same error.
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(HttpSender {
        read_limit_bytes,
        sender,
    })
}

/// Wraps a connection so that reads fail after the given number of bytes.
///
/// `hyper` reads interim responses and heads as fast as they arrive; a faulty server may send
/// them without end and would block the event loop.
fn with_read_limit(stream: TcpStream, read_limit_bytes: Rc<Cell<usize>>) -> HookedStream {
    HookedStream::new(
        stream,
        Box::new(move |stream, cx, buffer| {
            if read_limit_bytes.get() == 0 {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            let before_bytes = buffer.filled().len();
            let result = stream.poll_read(cx, buffer);
            let read_bytes = buffer.filled().len() - before_bytes;
            read_limit_bytes.set(read_limit_bytes.get().saturating_sub(read_bytes));
            result
        }),
    )
}
