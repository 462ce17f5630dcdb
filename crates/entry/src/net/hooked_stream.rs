use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

type PollRead =
    dyn FnMut(Pin<&mut TcpStream>, &mut Context<'_>, &mut ReadBuf<'_>) -> Poll<io::Result<()>>;

/// A TCP connection with hooks: one closure performs the reads, another is called before each
/// write.
pub(crate) struct HookedStream {
    on_write: Box<dyn Fn()>,
    poll_read: Box<PollRead>,
    stream: TcpStream,
}

impl HookedStream {
    pub(crate) fn new(stream: TcpStream, poll_read: Box<PollRead>) -> Self {
        Self {
            on_write: Box::new(|| {}),
            poll_read,
            stream,
        }
    }

    /// Sets the closure that is called before each write.
    pub(crate) fn on_write(mut self, on_write: impl Fn() + 'static) -> Self {
        self.on_write = Box::new(on_write);
        self
    }
}

impl fmt::Debug for HookedStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HookedStream")
            .field("stream", &self.stream)
            .finish_non_exhaustive()
    }
}

impl AsyncRead for HookedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        (this.poll_read)(Pin::new(&mut this.stream), cx, buffer)
    }
}

impl AsyncWrite for HookedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        (self.on_write)();
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
        (self.on_write)();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
