use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// A connection from which only so many bytes may be read as its user allows.
///
/// The library reads interim answers, and a head, as fast as they come; a server in trouble
/// may send them without end, and the event loop would do nothing else meanwhile.
#[derive(Debug)]
pub(crate) struct AllowanceStream {
    allowance_bytes: Rc<Cell<usize>>,
    stream: TcpStream,
}

impl AllowanceStream {
    pub(crate) const fn new(stream: TcpStream, allowance_bytes: Rc<Cell<usize>>) -> Self {
        Self {
            allowance_bytes,
            stream,
        }
    }
}

impl AsyncRead for AllowanceStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance_bytes.get() == 0 {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let before_bytes = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let read_bytes = buffer.filled().len() - before_bytes;
        let left_bytes = self.allowance_bytes.get().saturating_sub(read_bytes);
        self.allowance_bytes.set(left_bytes);
        result
    }
}

impl AsyncWrite for AllowanceStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
