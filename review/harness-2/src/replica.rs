//! A stand-in of a replica, by PROTOCOL.md.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Message;
use crate::http::Server;
use crate::record::Record;
use crate::store::Store;

/// Time for which a replica works on a request.
const WORK: Duration = Duration::from_millis(5);

/// Requests that a replica works on at once, as its entry says, and those that may wait for that.
const SLOTS: usize = 2;
const QUEUE: usize = 8;

/// `warmup_s`.
const COLD_MS: u64 = 3_000;

/// How a replica ends a request that it has run.
pub enum Ending {
    /// With 200 and its receipt.
    Success,
    /// With 200 and its receipt, after some time of work.
    After(Duration),
    /// With a failure of its own and its receipt. It does not state that the request was not run.
    Failure(&'static str),
}

/// A request that was run.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub body: String,
    pub request_id: String,
}

#[derive(Clone)]
pub struct Replica {
    pub address: SocketAddr,
    /// Unix milliseconds of the start.
    pub born_ms: u64,
    pub id: String,
    runs: Arc<Mutex<Vec<Run>>>,
    server: Arc<Server>,
    service: String,
    zone: String,
}

impl Replica {
    /// Starts a replica; `ending` decides by the number of the run.
    pub fn start(
        record: &Arc<Record>,
        service: &str,
        id: &str,
        zone: &str,
        ending: impl Fn(usize) -> Ending + Send + Sync + 'static,
    ) -> Self {
        Self::start_at(record, service, id, zone, 0, 1_700_000_000_000, ending)
    }

    /// Starts a replica on a port, as a process that was born at a time.
    pub fn start_at(
        record: &Arc<Record>,
        service: &str,
        id: &str,
        zone: &str,
        port: u16,
        born_ms: u64,
        ending: impl Fn(usize) -> Ending + Send + Sync + 'static,
    ) -> Self {
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let (own, kept, record) = (id.to_owned(), runs.clone(), record.clone());
        let load = Load::default();
        let server = Server::start(port, move |request, output| {
            let text = respond(&own, born_ms, &load, &kept, &record, &ending, request);
            output.write_all(text.as_bytes()).is_ok()
        });
        Self {
            address: server.address,
            born_ms,
            id: id.to_owned(),
            runs,
            server: Arc::new(server),
            service: service.to_owned(),
            zone: zone.to_owned(),
        }
    }

    /// Checks in at the store.
    pub fn check_in(&self, store: &Store, sequence: u64) {
        let born_ms = self.born_ms;
        let cold_ms = cold_ms(born_ms);
        let (service, address, zone) = (&self.service, self.address, &self.zone);
        let spec = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{SLOTS},"state":"ready","warmup_remaining_ms":{cold_ms},"sequence":{sequence},"born":{born_ms}}}"#
        );
        store.put("servers", &self.id, &spec);
    }

    /// Ends like a process that crashes.
    pub fn crash(&self) {
        self.server.crash();
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("the runs").clone()
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Returns how long a replica that started at a time stays cold.
fn cold_ms(born_ms: u64) -> u64 {
    COLD_MS.saturating_sub(unix_ms().saturating_sub(born_ms))
}

/// The requests that a replica works on, and those that wait.
#[derive(Default)]
struct Load {
    counts: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Load {
    /// Waits for a slot; returns false if too many wait already.
    fn enter(&self) -> bool {
        let mut counts = self.counts.lock().expect("the load");
        if counts.0 >= SLOTS && counts.1 >= QUEUE {
            return false;
        }
        counts.1 += 1;
        while counts.0 >= SLOTS {
            counts = self.freed.wait(counts).expect("the load");
        }
        counts.1 -= 1;
        counts.0 += 1;
        true
    }

    fn leave(&self) {
        self.counts.lock().expect("the load").0 -= 1;
        self.freed.notify_one();
    }
}

fn respond(
    own: &str,
    born_ms: u64,
    load: &Load,
    runs: &Mutex<Vec<Run>>,
    record: &Record,
    ending: &impl Fn(usize) -> Ending,
    request: &Message,
) -> String {
    let request_id = request.header("request-id").unwrap_or("").to_owned();
    if request
        .header("expect-instance")
        .is_some_and(|id| id != own)
    {
        return format!(
            "HTTP/1.1 421 X\r\nRequest-Id: {request_id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
    }
    if request.word(1) == "/health" {
        let cold_ms = cold_ms(born_ms);
        return format!(
            "HTTP/1.1 200 OK\r\nInstance-Id: {own}\r\nWarmup-Ms: {cold_ms}\r\nContent-Length: 0\r\n\r\n"
        );
    }
    if !load.enter() {
        record.line(&format!("rejected {request_id} by {own}, which is full"));
        return format!(
            "HTTP/1.1 503 X\r\nRequest-Id: {request_id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        );
    }
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let run = Run {
        at: Instant::now(),
        body,
        request_id: request_id.clone(),
    };
    let number = {
        let mut runs = runs.lock().expect("the runs");
        runs.push(run);
        runs.len()
    };
    let (status, work) = match ending(number) {
        Ending::Success => ("200 OK", WORK),
        Ending::After(work) => ("200 OK", work),
        Ending::Failure(status) => (status, WORK),
    };
    thread::sleep(work);
    load.leave();
    record.line(&format!("run {request_id} by {own}, answered {status}"));
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nServer-Stamp: {own}.{request_id}\r\nContent-Length: 4\r\n\r\ndone"
    )
}
