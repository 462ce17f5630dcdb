//! Loopback proxy that delays, blocks or closes connections.

#![allow(
    dead_code,
    reason = "shared with the tests of the entry tier, which use parts"
)]

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use wigeonhall_adapter_standins::Listener;

/// Interval between two checks of the mode by a blocked direction.
const MODE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Treatment of connections and their bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Each read is forwarded after this delay in milliseconds.
    Delay(u64),
    /// Responses are blocked; requests are forwarded.
    OneWay,
    /// Everything is forwarded.
    Pass,
    /// New connections are closed.
    Refuse,
    /// Both directions are blocked.
    Silent,
}

#[derive(Debug)]
struct ProxyState {
    /// Both streams of each open connection, by number.
    connections: BTreeMap<u64, [TcpStream; 2]>,
    mode: Mode,
    last_number: u64,
}

/// Proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    listener: Listener,
    shared: Arc<Mutex<ProxyState>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let shared = Arc::new(Mutex::new(ProxyState {
            connections: BTreeMap::new(),
            mode: Mode::Pass,
            last_number: 0,
        }));
        let accepting = shared.clone();
        let listener = Listener::start(move |stream| connect(&accepting, stream, target));
        Self {
            listener: listener.unwrap(),
            shared,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    pub fn set_mode(&self, mode: Mode) {
        self.shared.lock().unwrap().mode = mode;
    }

    /// Closes all connections.
    pub fn reset(&self) {
        for streams in self.shared.lock().unwrap().connections.values() {
            for stream in streams {
                // Fails if the peer has closed the connection already.
                drop(stream.shutdown(Shutdown::Both));
            }
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.set_mode(Mode::Pass);
        self.reset();
    }
}

/// Connects an accepted connection to the target and forwards both directions.
fn connect(shared: &Arc<Mutex<ProxyState>>, client: TcpStream, target: SocketAddr) {
    if shared.lock().unwrap().mode == Mode::Refuse {
        return;
    }
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let clones = (
        client.try_clone(),
        server.try_clone(),
        client.try_clone(),
        server.try_clone(),
    );
    let (Ok(client_in), Ok(server_out), Ok(client_out), Ok(server_in)) = clones else {
        return;
    };
    let number = {
        let mut state = shared.lock().unwrap();
        state.last_number += 1;
        let number = state.last_number;
        state.connections.insert(number, [client, server]);
        number
    };
    let response_state = shared.clone();
    let responses = thread::spawn(move || forward(&response_state, server_in, client_out, true));
    forward(shared, client_in, server_out, false);
    responses.join().unwrap();
    shared.lock().unwrap().connections.remove(&number);
}

/// Forwards one direction of a connection according to the mode.
fn forward(shared: &Mutex<ProxyState>, mut from: TcpStream, mut to: TcpStream, is_response: bool) {
    let mut buffer = [0; 16_384];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        loop {
            let mode = shared.lock().unwrap().mode;
            match mode {
                Mode::Silent => thread::sleep(MODE_POLL_INTERVAL),
                Mode::OneWay if is_response => thread::sleep(MODE_POLL_INTERVAL),
                Mode::Delay(ms) => {
                    thread::sleep(Duration::from_millis(ms));
                    break;
                }
                Mode::OneWay | Mode::Pass | Mode::Refuse => break,
            }
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // Fails if the peer has closed the connection already.
    drop(to.shutdown(Shutdown::Write));
    drop(from.shutdown(Shutdown::Read));
}
