use std::cell::Cell;
use std::rc::Rc;

use tokio::io::AsyncRead;
use tokio::net::TcpStream;

use crate::arrival_probe::ArrivalProbe;
use crate::hooked_stream::HookedStream;

/// A connection that was accepted, and since when it may have been waiting.
#[derive(Debug)]
pub(crate) struct Accepted {
    pub(crate) probe: ArrivalProbe,
    pub(crate) stream: TcpStream,
}

impl Accepted {
    /// The connection, and the earliest time at which the bytes that were read last may have
    /// come.
    pub(crate) fn into_stream(self) -> (HookedStream, Rc<Cell<u64>>) {
        let Self { mut probe, stream } = self;
        let arrived_us = Rc::new(Cell::new(probe.arrived_us()));
        let newest_us = arrived_us.clone();
        let stream = HookedStream::new(
            stream,
            Box::new(move |mut stream, cx, buffer| {
                let result = probe.poll(cx, |cx| stream.as_mut().poll_read(cx, buffer));
                newest_us.set(probe.arrived_us());
                result
            }),
        );
        (stream, arrived_us)
    }
}
