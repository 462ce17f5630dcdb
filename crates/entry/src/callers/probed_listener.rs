use std::future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

use crate::callers::accepted_connection::AcceptedConnection;
use crate::callers::arrival_probe::ArrivalProbe;
use crate::net::socket;
use crate::process::loop_times::LoopTimes;

/// Pause after an error of `accept`, such as a shortage of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A listener that records for each connection the earliest time at which it may have arrived.
#[derive(Debug)]
pub(crate) struct ProbedListener {
    listener: TcpListener,
    probe: ArrivalProbe,
    times: Arc<LoopTimes>,
}

impl ProbedListener {
    pub(crate) fn new(listener: TcpListener, times: Arc<LoopTimes>) -> Self {
        let probe = ArrivalProbe::new(times.clone(), 0);
        Self {
            listener,
            probe,
            times,
        }
    }

    /// Accepts the next connection; retries after errors.
    pub(crate) async fn accept(&mut self) -> AcceptedConnection {
        loop {
            match self.try_accept().await {
                Ok(stream) => {
                    let arrived_us = self.probe.arrived_us();
                    let probe = ArrivalProbe::new(self.times.clone(), arrived_us);
                    return AcceptedConnection { probe, stream };
                }
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn try_accept(&mut self) -> io::Result<TcpStream> {
        let Self {
            listener, probe, ..
        } = self;
        let (stream, _) =
            future::poll_fn(|cx| probe.poll(cx, |cx| listener.poll_accept(cx))).await?;
        socket::configure(&stream)?;
        Ok(stream)
    }
}
