use std::io;
use std::mem;
use std::os::fd::AsRawFd;
use std::os::fd::BorrowedFd;

/// What Linux knows of a TCP connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TcpInfo {
    /// Smoothed round-trip time.
    pub round_trip_us: u32,
    /// Smoothed mean deviation of the round-trip time.
    pub round_trip_deviation_us: u32,
}

impl TcpInfo {
    /// Reads the option `TCP_INFO` of a socket.
    ///
    /// # Errors
    ///
    /// When the socket is not a TCP socket, or the kernel does not have the option.
    pub fn read(socket: BorrowedFd<'_>) -> io::Result<Self> {
        #[expect(unsafe_code, reason = "all fields are integers")]
        // SAFETY: `tcp_info` consists of integers, for which zero bytes are valid.
        let mut info: libc::tcp_info = unsafe { mem::zeroed() };
        let mut info_bytes = mem::size_of_val(&info) as libc::socklen_t;
        #[expect(unsafe_code, reason = "no library has a safe call")]
        // SAFETY: both pointers are valid for writes, and the kernel writes at most `info_bytes`.
        let result = unsafe {
            libc::getsockopt(
                socket.as_raw_fd(),
                libc::IPPROTO_TCP,
                libc::TCP_INFO,
                (&raw mut info).cast(),
                &raw mut info_bytes,
            )
        };
        if result != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(Self {
            round_trip_us: info.tcpi_rtt,
            round_trip_deviation_us: info.tcpi_rttvar,
        })
    }
}
