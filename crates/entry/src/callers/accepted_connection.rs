use std::cell::Cell;
use std::rc::Rc;

use tokio::io::AsyncRead;
use tokio::net::TcpStream;

use crate::callers::arrival_probe::ArrivalProbe;
use crate::net::hooked_stream::HookedStream;

/// An accepted connection, with the earliest time at which its first bytes may have arrived.
#[derive(Debug)]
pub(crate) struct AcceptedConnection {
    pub(crate) probe: ArrivalProbe,
    pub(crate) stream: TcpStream,
}

impl AcceptedConnection {
    /// Returns the connection and a cell that holds the earliest time at which the bytes read
    /// last may have arrived.
    pub(crate) fn into_stream(self) -> (HookedStream, Rc<Cell<u64>>) {
        let Self { mut probe, stream } = self;
        let arrived_us = Rc::new(Cell::new(probe.arrived_us()));
        let last_arrived_us = arrived_us.clone();
        let stream = HookedStream::new(
            stream,
            Box::new(move |mut stream, cx, buffer| {
                let result = probe.poll(cx, |cx| stream.as_mut().poll_read(cx, buffer));
                last_arrived_us.set(probe.arrived_us());
                result
            }),
        );
        (stream, arrived_us)
    }
}
