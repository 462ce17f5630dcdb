use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time;
use tokio::time::Sleep;

type PollRead =
    dyn FnMut(Pin<&mut TcpStream>, &mut Context<'_>, &mut ReadBuf<'_>) -> Poll<io::Result<()>>;

/// A TCP connection with hooks: one closure performs the reads, another is told of each write
/// whether it made progress.
pub(crate) struct HookedStream {
    /// Returns how long the connection stays open after its last write.
    linger: Box<dyn Fn() -> Option<Duration>>,
    /// Timer of a connection that stays open after its last write.
    linger_timer: Option<Pin<Box<Sleep>>>,
    on_write: Box<dyn Fn(bool)>,
    poll_read: Box<PollRead>,
    stream: TcpStream,
    /// Timer of a write that the other side delays; `None` while writes make progress.
    write_stall: Option<Pin<Box<Sleep>>>,
    /// Time without progress after which a write fails.
    write_timeout: Option<Duration>,
}

impl HookedStream {
    pub(crate) fn new(stream: TcpStream, poll_read: Box<PollRead>) -> Self {
        Self {
            linger: Box::new(|| None),
            linger_timer: None,
            on_write: Box::new(|_| {}),
            poll_read,
            stream,
            write_stall: None,
            write_timeout: None,
        }
    }

    /// Sets the closure that is called after each write.
    pub(crate) fn on_write(mut self, on_write: impl Fn(bool) + 'static) -> Self {
        self.on_write = Box::new(on_write);
        self
    }

    /// Lets writes fail that make no progress for the given time.
    pub(crate) const fn with_write_timeout(mut self, timeout: Duration) -> Self {
        self.write_timeout = Some(timeout);
        self
    }

    /// Sets the closure that returns how long the connection stays open after its last write.
    pub(crate) fn with_linger(mut self, linger: impl Fn() -> Option<Duration> + 'static) -> Self {
        self.linger = Box::new(linger);
        self
    }

    fn after_write(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        (self.on_write)(result.is_ready());
        if result.is_ready() {
            self.write_stall = None;
            return result;
        }
        let Some(timeout) = self.write_timeout else {
            return result;
        };
        let stall = self
            .write_stall
            .get_or_insert_with(|| Box::pin(time::sleep(timeout)));
        let expired = stall.as_mut().poll(cx);
        expired.map(|()| Err(io::ErrorKind::TimedOut.into()))
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
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.after_write(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger_timer.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.linger_timer = (self.linger)().map(|period| Box::pin(time::sleep(period)));
        }
        match &mut self.linger_timer {
            Some(timer) => timer.as_mut().poll(cx).map(Ok),
            None => Poll::Ready(Ok(())),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.after_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
