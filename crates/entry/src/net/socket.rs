use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

use wigeonhall_dispatch::RoundTrip;
use wigeonhall_socket::TcpInfo;

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

/// Returns the times of round trips on a connection; `None` if the kernel does not know them, as
/// after a handshake whose packets were lost.
pub(crate) fn round_trip(stream: &TcpStream) -> Option<RoundTrip> {
    match TcpInfo::read(stream.as_fd()) {
        Ok(info) => (info.round_trip_us > 0).then(|| RoundTrip {
            deviation_us: info.round_trip_deviation_us.into(),
            mean_us: info.round_trip_us.into(),
        }),
        Err(error) => {
            log::warn!("cannot read the round-trip time of a caller's connection: {error}");
            None
        }
    }
}
