use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::arrival_probe::ArrivalProbe;
use crate::loop_times::LoopTimes;

/// A connection that knows since when what was read from it may have been waiting.
#[derive(Debug)]
pub(crate) struct ProbedStream {
    arrived_us: Rc<Cell<u64>>,
    probe: ArrivalProbe,
    stream: TcpStream,
}

impl ProbedStream {
    /// A connection that may have been waiting to be accepted since `arrived_us`.
    pub(crate) fn new(stream: TcpStream, times: Arc<LoopTimes>, arrived_us: u64) -> Self {
        Self {
            arrived_us: Rc::new(Cell::new(arrived_us)),
            probe: ArrivalProbe::new(times, arrived_us),
            stream,
        }
    }

    /// Earliest time at which the bytes that were read last may have come.
    pub(crate) const fn arrived_us(&self) -> &Rc<Cell<u64>> {
        &self.arrived_us
    }
}

impl AsyncRead for ProbedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let stream = Pin::new(&mut this.stream);
        let result = this.probe.poll(cx, |cx| stream.poll_read(cx, buffer));
        if result.is_ready() {
            this.arrived_us.set(this.probe.arrived_us());
        }
        result
    }
}

impl AsyncWrite for ProbedStream {
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
