//! Stand-in for a replica: runs requests in its slots, checks `Expect-Instance`, echoes the
//! request id, and says `Server-Leaving` in all its answers while it leaves.

use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::http::Message;
use crate::http::response;

/// Requests that a replica runs at the same time, and those that it queues.
const SLOTS: usize = 2;
const QUEUE: usize = 8;

#[derive(Clone, Debug)]
pub struct Run {
    /// Time of its arrival.
    pub at: Instant,
    pub request_id: String,
    /// Whether a slot became free and the replica began to work on it.
    pub ran: bool,
    /// Whether its answer was written before the replica ended.
    pub answered: bool,
}

#[derive(Clone)]
pub struct Replica {
    pub address: SocketAddr,
    pub id: String,
    pub service: String,
    pub zone: String,
    shared: Arc<Shared>,
}

struct Shared {
    busy: AtomicUsize,
    ended: AtomicBool,
    leaving: AtomicBool,
    runs: Mutex<Vec<Run>>,
    /// Requests that run now, `SLOTS` at most, and a signal for each end.
    running: (Mutex<usize>, Condvar),
    streams: Mutex<Vec<TcpStream>>,
    /// Body of the answers; `None` for a line of text that names the request.
    body: Option<Vec<u8>>,
    work: Duration,
}

impl Replica {
    pub fn start(ip: IpAddr, service: &str, id: &str, zone: &str, work: Duration) -> Self {
        Self::start_with_body(ip, service, id, zone, work, None)
    }

    pub fn start_with_body(
        ip: IpAddr,
        service: &str,
        id: &str,
        zone: &str,
        work: Duration,
        body: Option<Vec<u8>>,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a replica");
        let replica = Self {
            address: listener.local_addr().expect("an address"),
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            shared: Arc::new(Shared {
                busy: AtomicUsize::new(0),
                ended: AtomicBool::new(false),
                leaving: AtomicBool::new(false),
                runs: Mutex::default(),
                running: (Mutex::new(0), Condvar::new()),
                streams: Mutex::default(),
                body,
                work,
            }),
        };
        let accepting = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.shared.ended.load(Ordering::SeqCst) {
                    return;
                }
                stream.set_nodelay(true).ok();
                let clone = stream.try_clone().expect("a clone");
                accepting.shared.streams.lock().unwrap().push(clone);
                let replica = accepting.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str) -> Value {
        let sequence = if state == "ready" { 5 } else { 6 };
        self.entry_with(state, sequence, 0)
    }

    pub fn entry_with(&self, state: &str, sequence: u32, warmup_remaining_ms: u64) -> Value {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": SLOTS, "state": state,
            "warmup_remaining_ms": warmup_remaining_ms,
            "sequence": sequence, "born": 1_790_000_000_000_u64,
        })
    }

    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the replica: its connections close, whatever it works on is lost.
    pub fn end(&self) {
        self.shared.ended.store(true, Ordering::SeqCst);
        for stream in self.shared.streams.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
        TcpStream::connect(self.address).ok();
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = Message::read(&mut reader) {
            let leaving = self.shared.leaving.load(Ordering::SeqCst);
            let (text, run) = self.respond(&request, leaving);
            if self.shared.ended.load(Ordering::SeqCst) || output.write_all(&text).is_err() {
                return;
            }
            if let Some(run) = run {
                self.shared.runs.lock().unwrap()[run].answered = true;
            }
        }
    }

    fn respond(&self, request: &Message, leaving: bool) -> (Vec<u8>, Option<usize>) {
        let id = request.header("request-id").unwrap_or("").to_owned();
        let mut headers = vec![
            ("Request-Id", id.clone()),
            ("Keep-Alive", "timeout=30".to_owned()),
        ];
        if leaving {
            headers.push(("Server-Leaving", "1".to_owned()));
        }
        if request.word(1) == "/health" {
            headers.push(("Instance-Id", self.id.clone()));
            return (
                response(if leaving { 503 } else { 200 }, &headers, b""),
                None,
            );
        }
        if request
            .header("expect-instance")
            .is_some_and(|it| it != self.id)
        {
            headers.push(("Not-Executed", "1".to_owned()));
            return (response(421, &headers, b""), None);
        }
        if self.shared.busy.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
            self.shared.busy.fetch_sub(1, Ordering::SeqCst);
            headers.push(("Not-Executed", "1".to_owned()));
            return (response(503, &headers, b""), None);
        }
        let run = {
            let mut runs = self.shared.runs.lock().unwrap();
            let request_id = id.clone();
            runs.push(Run {
                at: Instant::now(),
                request_id,
                ran: false,
                answered: false,
            });
            runs.len() - 1
        };
        let (running, freed) = &self.shared.running;
        let busy = |running: &mut usize| *running >= SLOTS;
        *freed.wait_while(running.lock().unwrap(), busy).unwrap() += 1;
        if !self.shared.ended.load(Ordering::SeqCst) {
            self.shared.runs.lock().unwrap()[run].ran = true;
        }
        thread::sleep(self.shared.work);
        *running.lock().unwrap() -= 1;
        freed.notify_one();
        self.shared.busy.fetch_sub(1, Ordering::SeqCst);
        headers.push(("Server-Stamp", format!("{}.{id}", self.id)));
        let body = self.shared.body.clone();
        let body = body.unwrap_or_else(|| format!("run of {id}").into_bytes());
        (response(200, &headers, &body), Some(run))
    }
}
