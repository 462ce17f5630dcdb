use std::future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

use crate::accepted::Accepted;
use crate::arrival_probe::ArrivalProbe;
use crate::loop_times::LoopTimes;
use crate::socket;

/// Pause after an error of `accept`, such as a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A listener whose connections know since when they may have been waiting.
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

    /// The next connection.
    pub(crate) async fn accept(&mut self) -> Accepted {
        loop {
            match self.try_accept().await {
                Ok(stream) => {
                    let arrived_us = self.probe.arrived_us();
                    let probe = ArrivalProbe::new(self.times.clone(), arrived_us);
                    return Accepted { probe, stream };
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
        socket::prepare(&stream)?;
        Ok(stream)
    }
}
