//! Opens the listening sockets of a node.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

use wigeonhall_dispatch::RECEIVE_BUFFER_BYTES;

use crate::process::run::EntryError;

/// Connections of callers that may wait to be accepted.
const CALLER_BACKLOG: u32 = 1_024;

/// Listens for callers.
///
/// Their connections inherit a small receive buffer: bytes that were not read count toward the
/// memory of the machine, and many callers may send far more than the node reads.
pub(crate) fn for_callers(address: SocketAddr) -> Result<TcpListener, EntryError> {
    open_for_callers(address).map_err(|error| EntryError::Listen(address, error))
}

fn open_for_callers(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32)?;
    socket.bind(address)?;
    socket.listen(CALLER_BACKLOG)
}

/// Listens for other nodes and the platform.
pub(crate) async fn with_defaults(address: SocketAddr) -> Result<TcpListener, EntryError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| EntryError::Listen(address, error))
}
