use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time after which keepalive checks start.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Interval between keepalive checks.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive checks after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Disables Nagle's algorithm and enables keepalive checks, which detect a remote host that
/// went silent.
pub(crate) fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
