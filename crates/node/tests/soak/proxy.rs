//! A loopback proxy that harms the connections through it.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Time between two looks of a held-up direction at the mode.
const LOOK: Duration = Duration::from_millis(10);

/// What a proxy does with bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Each piece waits this long.
    Delay(u64),
    /// Answers are held up, requests pass.
    OneWay,
    Pass,
    /// New connections are closed.
    Refuse,
    /// Both directions are held up.
    Silent,
}

#[derive(Debug)]
struct Shared {
    mode: Mode,
    streams: Vec<TcpStream>,
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub struct Proxy {
    pub address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Mutex::new(Shared {
            mode: Mode::Pass,
            streams: Vec::new(),
        }));
        let accepting = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connect(&accepting, stream, target);
            }
        });
        Self { address, shared }
    }

    pub fn set_mode(&self, mode: Mode) {
        self.shared.lock().unwrap().mode = mode;
    }

    /// Ends all connections.
    pub fn reset(&self) {
        for stream in self.shared.lock().unwrap().streams.drain(..) {
            // The connection may have ended by itself.
            drop(stream.shutdown(Shutdown::Both));
        }
    }
}

fn connect(shared: &Arc<Mutex<Shared>>, near: TcpStream, target: SocketAddr) {
    let mut state = shared.lock().unwrap();
    if state.mode == Mode::Refuse {
        return;
    }
    let Ok(far) = TcpStream::connect(target) else {
        return;
    };
    let pairs = [(&near, &far, false), (&far, &near, true)];
    for (from, to, answers) in pairs {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let shared = shared.clone();
        thread::spawn(move || pump(&shared, from, to, answers));
    }
    state.streams.extend([near, far]);
}

fn pump(shared: &Mutex<Shared>, mut from: TcpStream, mut to: TcpStream, answers: bool) {
    let mut buffer = [0; 16_384];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        loop {
            let mode = shared.lock().unwrap().mode;
            match mode {
                Mode::Silent => thread::sleep(LOOK),
                Mode::OneWay if answers => thread::sleep(LOOK),
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
    // Either side may have ended by itself.
    drop(to.shutdown(Shutdown::Write));
    drop(from.shutdown(Shutdown::Read));
}
