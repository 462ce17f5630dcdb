use crate::CallerAnswer;
use crate::Event;
use crate::ReadRequest;
use crate::WriteRequest;
use crate::metrics::Metrics;
use crate::readiness::Readiness;
use flume::Receiver;
use flume::Sender;
use rouille::Request;
use rouille::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::error::Error;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_protocol::Subject;
use wigeonhall_types::Verdict;

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: u64 = 256 * 1024;

/// Requests that are handled at once; each one blocks a thread until its answer.
const HANDLER_THREADS: usize = 256;

/// Time that the front waits for the decision thread on operators' requests.
const OPERATOR_TIMEOUT_MS: u64 = 2_000;

/// Time between looks at the stop flag.
const POLL_MS: u64 = 20;

/// The HTTP front for callers, the balancer's health check and operators.
#[derive(Debug)]
pub struct Front {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

struct Handler {
    events: Sender<Event>,
    metrics: Arc<Metrics>,
    readiness: Arc<Readiness>,
}

impl Front {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        events: Sender<Event>,
        metrics: Arc<Metrics>,
        readiness: Arc<Readiness>,
    ) -> Result<Self, Box<dyn Error + Send + Sync>> {
        let handler = Handler {
            events,
            metrics,
            readiness,
        };
        let server = rouille::Server::new(address, move |request| handler.handle(request))?
            .pool_size(HANDLER_THREADS);
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                server.poll_timeout(Duration::from_millis(POLL_MS));
            }
            // Responses that are being written end before the server goes.
            server.join();
        });
        Ok(Self {
            stop,
            thread: Some(thread),
        })
    }

    /// Stops listening and waits until open responses are written.
    pub fn stop(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Handler {
    fn handle(&self, request: &Request) -> Response {
        let path = request.url();
        match (request.method(), path.as_str()) {
            ("GET", "/burn") => self.ask(Event::Burn),
            ("GET", "/explain") => self.explain(request),
            ("GET", "/health") => self.health(),
            ("GET", "/metrics") => Response::text(self.metrics.render()),
            ("GET", "/status") => self.ask(Event::Status),
            ("POST", "/evacuate") => self.evacuate(request),
            ("POST", "/query") => self.query(request),
            ("POST", "/write") => self.write(request),
            (_, "/query" | "/write" | "/evacuate") => {
                plain_error(405, "use POST").with_additional_header("Allow", "POST")
            }
            _ => plain_error(404, "no such path"),
        }
    }

    fn ask<T: Serialize>(&self, event: impl FnOnce(Sender<T>) -> Event) -> Response {
        let (reply, replies) = flume::bounded(1);
        let sent = self.events.send(event(reply)).is_ok();
        let timeout = Duration::from_millis(OPERATOR_TIMEOUT_MS);
        match replies.recv_timeout(timeout) {
            Ok(value) if sent => Response::json(&value),
            _ => plain_error(503, "the node is stopping or overloaded"),
        }
    }

    fn evacuate(&self, request: &Request) -> Response {
        let evacuation: EvacuationOverride = match body(request) {
            Ok(evacuation) => evacuation,
            Err(response) => return response.into_response(),
        };
        if evacuation.data_centre.is_some() == evacuation.vm.is_some() {
            return plain_error(400, "name exactly one of data_centre and vm");
        }
        let _ = self.events.send(Event::Evacuate(evacuation));
        Response::empty_204()
    }

    fn explain(&self, request: &Request) -> Response {
        let subject = match (request.get_param("request"), request.get_param("replica")) {
            (Some(id), None) => Subject::Request(Arc::from(id)),
            (None, Some(name)) => Subject::Replica(Arc::from(name)),
            _ => return plain_error(400, "name exactly one of request and replica"),
        };
        self.ask(|reply| Event::Explain { subject, reply })
    }

    fn health(&self) -> Response {
        match self.readiness.reason() {
            None => Response::text("ready\n"),
            Some(reason) => Response::text(format!("{reason}\n")).with_status_code(503),
        }
    }

    fn query(&self, request: &Request) -> Response {
        let request: ReadRequest = match body(request) {
            Ok(request) => request,
            Err(error) => return error.into_response(),
        };
        let (reply, answers) = flume::bounded(1);
        let _ = self.events.send(Event::Read { request, reply });
        respond(&answers, Verdict::NotRun)
    }

    fn write(&self, request: &Request) -> Response {
        let request: WriteRequest = match body(request) {
            Ok(request) => request,
            Err(error) => return error.into_response(),
        };
        let (reply, answers) = flume::bounded(1);
        let _ = self.events.send(Event::Write { request, reply });
        respond(&answers, Verdict::MayHaveRun)
    }
}

/// Waits for the answer; the query core answers each request by its deadline.
fn respond(answers: &Receiver<CallerAnswer>, verdict_on_exit: Verdict) -> Response {
    const RETRY_MS: u64 = 500;
    let answer = answers
        .recv()
        .unwrap_or_else(|_| CallerAnswer::refused("leaving", RETRY_MS, verdict_on_exit));
    answer_response(&answer)
}

fn answer_response(answer: &CallerAnswer) -> Response {
    let response = Response::json(answer).with_status_code(answer.http_status());
    match answer.retry_after_ms {
        Some(retry_after_ms) => {
            // The header counts in whole seconds; the body has the exact time.
            let seconds = retry_after_ms.div_ceil(1_000).to_string();
            response.with_additional_header("Retry-After", seconds)
        }
        None => response,
    }
}

fn plain_error(status: u16, reason: &str) -> Response {
    Response::json(&CallerAnswer::invalid(reason)).with_status_code(status)
}

/// Why a body cannot be read.
enum BodyError {
    Malformed(String),
    Missing,
    Oversized,
}

impl BodyError {
    fn into_response(self) -> Response {
        match self {
            Self::Malformed(reason) => plain_error(400, &format!("malformed body: {reason}")),
            Self::Missing => plain_error(400, "the body could not be read"),
            Self::Oversized => plain_error(413, "the body is larger than 256 KiB"),
        }
    }
}

fn body<T: DeserializeOwned>(request: &Request) -> Result<T, BodyError> {
    let data = request.data().ok_or(BodyError::Missing)?;
    let mut bytes = Vec::new();
    data.take(MAX_BODY_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(|_| BodyError::Missing)?;
    if bytes.len() as u64 > MAX_BODY_BYTES {
        return Err(BodyError::Oversized);
    }
    serde_json::from_slice(&bytes).map_err(|error| BodyError::Malformed(error.to_string()))
}
