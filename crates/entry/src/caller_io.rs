use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time;
use tokio::time::Sleep;

/// Part of the idle time after which a connection is closed; callers use theirs up to
/// four fifths of it, so that a close never crosses a request.
const IDLE_SLACK: u32 = 2;

/// A caller's connection that ends when nothing is read or written for too long.
#[derive(Debug)]
pub(crate) struct CallerIo {
    idle: Duration,
    sleep: Pin<Box<Sleep>>,
    stream: TcpStream,
}

impl CallerIo {
    pub(crate) fn new(stream: TcpStream, idle: Duration) -> Self {
        Self {
            idle,
            sleep: Box::pin(time::sleep(idle * IDLE_SLACK)),
            stream,
        }
    }

    fn moved(&mut self) {
        let next = time::Instant::now() + self.idle * IDLE_SLACK;
        self.sleep.as_mut().reset(next);
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if result.is_ready() {
            self.moved();
            return result;
        }
        if self.sleep.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if result.is_ready() {
            self.moved();
        }
        result
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
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        if result.is_ready() {
            self.moved();
        }
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
