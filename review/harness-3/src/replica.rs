//! A stand-in of a replica, by PROTOCOL.md.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;

pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    runs: AtomicU64,
    connections: AtomicUsize,
    connections_max: usize,
    work: Duration,
    body: Vec<u8>,
    /// Requests that are being processed or wait for a slot.
    room: Mutex<Room>,
    freed: Condvar,
    /// Time, id and `Tenant-Id` of each request that it ran.
    ran: Mutex<Vec<Run>>,
}

/// A request that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub request: String,
    pub tenant: String,
}

#[derive(Default)]
struct Room {
    processing: usize,
    waiting: usize,
}

/// Requests processed at the same time, and requests that wait, as in the site file.
const SLOTS: usize = 2;
const QUEUE: usize = 12;

impl Shared {
    /// Waits for a slot; false if the queue is full.
    fn enter(&self) -> bool {
        let mut room = self.room.lock().expect("the room");
        if room.processing == SLOTS && room.waiting == QUEUE {
            return false;
        }
        room.waiting += 1;
        while room.processing == SLOTS {
            room = self.freed.wait(room).expect("the room");
        }
        room.waiting -= 1;
        room.processing += 1;
        true
    }

    fn leave(&self) {
        self.room.lock().expect("the room").processing -= 1;
        self.freed.notify_one();
    }
}

impl Replica {
    pub fn start(
        ip: &str,
        id: &str,
        service: &str,
        connections_max: usize,
        work: Duration,
        body: Vec<u8>,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a replica");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            runs: AtomicU64::new(0),
            connections: AtomicUsize::new(0),
            connections_max,
            work,
            body,
            room: Mutex::default(),
            freed: Condvar::new(),
            ran: Mutex::default(),
        });
        let accepting = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = accepting.clone();
                if shared.connections.load(Ordering::SeqCst) >= shared.connections_max {
                    continue;
                }
                shared.connections.fetch_add(1, Ordering::SeqCst);
                let small = thread::Builder::new().stack_size(128 * 1024);
                drop(small.spawn(move || {
                    serve(&shared, stream);
                    shared.connections.fetch_sub(1, Ordering::SeqCst);
                }));
            }
        });
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            shared,
        }
    }

    /// What the replica writes under its id.
    pub fn entry(&self, zone: &str, born: u64) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": zone,
            "version": "v1", "slots": 2, "state": "ready", "warmup_remaining_ms": 0,
            "sequence": 4, "born": born,
        })
    }

    pub fn runs(&self) -> u64 {
        self.shared.runs.load(Ordering::SeqCst)
    }

    pub fn ran(&self) -> Vec<Run> {
        self.shared.ran.lock().expect("the runs").clone()
    }
}

fn serve(shared: &Shared, stream: TcpStream) {
    drop(stream.set_nodelay(true));
    let Ok(mut output) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = http::read(&mut reader) {
        let other = request
            .header("expect-instance")
            .is_some_and(|id| id != shared.id);
        if other {
            let head = format!(
                "HTTP/1.1 421 X\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                shared.id
            );
            if output.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if !shared.enter() {
            let head =
                "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            if output.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let run = shared.runs.fetch_add(1, Ordering::SeqCst);
        let header = |name: &str| request.header(name).unwrap_or("").to_owned();
        shared.ran.lock().expect("the runs").push(Run {
            at: Instant::now(),
            request: header("request-id"),
            tenant: header("tenant-id"),
        });
        thread::sleep(shared.work);
        shared.leave();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: {}.{run:x}\r\nContent-Length: {}\r\n\r\n",
            request.header("request-id").unwrap_or(""),
            shared.id,
            shared.body.len(),
        );
        if output
            .write_all(&[head.as_bytes(), &shared.body].concat())
            .is_err()
        {
            return;
        }
    }
}
