use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time after which a connection is checked for a peer that went silent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two checks.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Checks without an answer that end a connection.
const KEEPALIVE_RETRIES: u32 = 2;

/// Sets what every connection needs: no delay, and notice of a peer that went silent.
pub(crate) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
