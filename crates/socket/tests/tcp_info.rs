//! Guards against a read of the wrong socket option or field: the round-trip time of a connection
//! would be zero or have no relation to the network.

use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::os::fd::AsFd;

use wigeonhall_socket::TcpInfo;

#[test]
fn an_open_connection_has_a_round_trip_time() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (accepted, _) = listener.accept().unwrap();
    for stream in [caller, accepted] {
        let info = TcpInfo::read(stream.as_fd()).unwrap();
        assert!(info.round_trip_us > 0, "{info:?}");
        assert!(info.round_trip_deviation_us > 0, "{info:?}");
    }
}

#[test]
fn a_socket_of_another_protocol_is_an_error() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    assert!(TcpInfo::read(socket.as_fd()).is_err());
}
