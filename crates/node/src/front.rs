//! HTTP server for callers, operators and the health check of the balancer.

use std::error::Error;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use flume::Sender;
use rouille::Request;
use rouille::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::CallerAnswer;
use crate::Event;
use crate::ReadRequest;
use crate::WriteRequest;
use crate::metrics::Metrics;
use crate::readiness::Readiness;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_protocol::Subject;
use wigeonhall_types::Verdict;

/// Limit on the size of a request body.
const MAX_BODY_BYTES: u64 = 256 * 1024;

/// Limit on concurrently served callers. Each blocks a thread until it gets its answer.
const CALLER_THREADS: usize = 256;

/// Threads for health checks and operators, and for refusing callers beyond
/// `CALLER_THREADS` immediately.
const RESERVED_THREADS: usize = 32;

/// Size up to which `tiny_http` buffers a body before it passes on the request. Reading such a
/// body does not wait for a slow caller.
const BUFFERED_BODY_BYTES: usize = 1_024;

/// Retry delay that a refusal gives if too many callers are being served.
const BUSY_RETRY_DELAY_MS: u64 = 100;

/// Retry delay that a refusal gives while the node stops.
const LEAVING_RETRY_DELAY_MS: u64 = 500;

/// Timeout for writing the open responses at a stop. Requests that keep arriving and callers
/// that do not read their response must not delay the stop further.
const STOP_TIMEOUT_MS: u64 = 1_000;

/// Timeout for the engine thread's reply to an operator's request.
const OPERATOR_TIMEOUT_MS: u64 = 2_000;

/// Interval between two checks of the stop flag.
const STOP_POLL_INTERVAL_MS: u64 = 20;

/// Running HTTP server of a node.
#[derive(Debug)]
pub struct NodeHttpServer {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

struct Handler {
    /// Number of callers being served; those above `CALLER_THREADS` are being refused.
    active_callers: AtomicUsize,
    events: Sender<Event>,
    metrics: Arc<Metrics>,
    readiness: Arc<Readiness>,
}

impl NodeHttpServer {
    /// Starts listening on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        events: Sender<Event>,
        metrics: Arc<Metrics>,
        readiness: Arc<Readiness>,
    ) -> Result<Self, Box<dyn Error + Send + Sync>> {
        let handler = Handler {
            active_callers: AtomicUsize::new(0),
            events,
            metrics,
            readiness,
        };
        let server = rouille::Server::new(address, move |request| handler.handle(request))?
            .pool_size(CALLER_THREADS + RESERVED_THREADS);
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                server.poll_timeout(Duration::from_millis(STOP_POLL_INTERVAL_MS));
            }
            // Waits until the open responses are written.
            server.join();
        });
        Ok(Self {
            stop,
            thread: Some(thread),
        })
    }

    /// Stops listening and waits until the open responses are written, at most for
    /// `STOP_TIMEOUT_MS`.
    pub fn stop(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let start = Instant::now();
        if let Some(thread) = self.thread.take() {
            while !thread.is_finished() && start.elapsed() < Duration::from_millis(STOP_TIMEOUT_MS)
            {
                thread::sleep(Duration::from_millis(STOP_POLL_INTERVAL_MS));
            }
        }
    }
}

impl Handler {
    fn handle(&self, request: &Request) -> Response {
        let path = request.url();
        match (request.method(), path.as_str()) {
            ("GET", "/burn") => self.respond_json(Event::Burn),
            ("GET", "/explain") => self.explain(request),
            ("GET", "/health") => self.health(),
            ("GET", "/metrics") => Response::text(self.metrics.render()),
            ("GET", "/status") => {
                let brief = request.get_param("brief").is_some_and(|it| it == "true");
                self.respond_json(|reply| Event::Status { brief, reply })
            }
            ("POST", "/evacuate") => self.evacuate(request),
            ("POST", "/query") => self.query(request),
            ("POST", "/write") => self.write(request),
            (_, "/query" | "/write" | "/evacuate") => {
                plain_error(405, "use POST").with_additional_header("Allow", "POST")
            }
            _ => plain_error(404, "no such path"),
        }
    }

    /// Responds with the engine thread's reply as JSON.
    fn respond_json<T: Serialize>(&self, event: impl FnOnce(Sender<T>) -> Event) -> Response {
        self.call_engine(event)
            .map_or_else(no_reply_response, |value| Response::json(&value))
    }

    /// Sends an event to the engine thread and waits for its reply.
    fn call_engine<T>(&self, event: impl FnOnce(Sender<T>) -> Event) -> Option<T> {
        let (reply, replies) = flume::bounded(1);
        self.events.send(event(reply)).ok()?;
        let timeout = Duration::from_millis(OPERATOR_TIMEOUT_MS);
        replies.recv_timeout(timeout).ok()
    }

    /// Serves a caller; returns `None` if too many callers are being served already.
    fn try_serve(&self, serve: impl FnOnce() -> Response) -> Option<Response> {
        let active = self.active_callers.fetch_add(1, Ordering::Relaxed);
        let response = (active < CALLER_THREADS).then(serve);
        self.active_callers.fetch_sub(1, Ordering::Relaxed);
        response
    }

    fn too_many_callers(&self, verdict: Verdict) -> Response {
        self.metrics.count("refused_too_many_callers");
        answer_response(&CallerAnswer::refused(
            "too_many_callers",
            BUSY_RETRY_DELAY_MS,
            verdict,
        ))
    }

    fn evacuate(&self, request: &Request) -> Response {
        let evacuation: EvacuationOverride = match parse_body(request) {
            Ok(evacuation) => evacuation,
            Err(response) => return response.into_response(),
        };
        if evacuation.data_centre.is_some() == evacuation.vm.is_some() {
            return plain_error(400, "name exactly one of data_centre and vm");
        }
        let event = |reply| Event::Evacuate { evacuation, reply };
        match self.call_engine(event) {
            Some(true) => Response::empty_204(),
            Some(false) => plain_error(404, "the deployment in force does not hold this name"),
            None => no_reply_response(),
        }
    }

    fn explain(&self, request: &Request) -> Response {
        let subject = match (request.get_param("request"), request.get_param("replica")) {
            (Some(id), None) => Subject::Request(Arc::from(id)),
            (None, Some(name)) => Subject::Replica(Arc::from(name)),
            _ => return plain_error(400, "name exactly one of request and replica"),
        };
        self.respond_json(|reply| Event::Explain { subject, reply })
    }

    fn health(&self) -> Response {
        match self.readiness.reason() {
            None => Response::text("ready\n"),
            Some(reason) => Response::text(format!("{reason}\n")).with_status_code(503),
        }
    }

    fn query(&self, request: &Request) -> Response {
        let response = self.try_serve(|| {
            let request: ReadRequest = match parse_body(request) {
                Ok(request) => request,
                Err(error) => return error.into_response(),
            };
            self.answer_caller(|answer_sender| Event::Read {
                request,
                answer_sender,
            })
        });
        response.unwrap_or_else(|| self.too_many_callers(Verdict::NotRun))
    }

    fn write(&self, request: &Request) -> Response {
        let response = self.try_serve(|| {
            let request: WriteRequest = match parse_body(request) {
                Ok(request) => request,
                Err(error) => return error.into_response(),
            };
            self.answer_caller(|answer_sender| Event::Write {
                request,
                answer_sender,
            })
        });
        response.unwrap_or_else(|| self.too_many_callers(verdict_of_refused_write(request)))
    }

    /// Sends a request to the engine thread and waits for the answer, which the thread gives by the
    /// deadline. Only a planned stop that reaches its time limit drops the request, which may
    /// have run then.
    fn answer_caller(&self, event: impl FnOnce(Sender<CallerAnswer>) -> Event) -> Response {
        let (answer_sender, answers) = flume::bounded(1);
        let _ = self.events.send(event(answer_sender));
        let answer = answers.recv().unwrap_or_else(|_| {
            CallerAnswer::refused("leaving", LEAVING_RETRY_DELAY_MS, Verdict::MayHaveRun)
        });
        answer_response(&answer)
    }
}

/// Returns the verdict of a write that is refused before it is served: an earlier attempt with
/// its request id may have run.
fn verdict_of_refused_write(request: &Request) -> Verdict {
    let size = request
        .header("Content-Length")
        .and_then(|it| it.parse().ok());
    if size.is_none_or(|size: usize| size > BUFFERED_BODY_BYTES) {
        return Verdict::MayHaveRun;
    }
    let request = parse_body::<WriteRequest>(request);
    request.map_or(Verdict::MayHaveRun, |it| it.verdict_before_claim())
}

fn no_reply_response() -> Response {
    plain_error(503, "the node is stopping or overloaded")
}

fn answer_response(answer: &CallerAnswer) -> Response {
    let mut response = Response::json(answer).with_status_code(answer.http_status());
    if let Some(request_id) = &answer.request_id {
        response = response.with_additional_header("X-Request-Id", request_id.to_string());
    }
    if let Some(retry_after_ms) = answer.retry_after_ms {
        // The header takes whole seconds; the body holds the exact delay.
        let seconds = retry_after_ms.div_ceil(1_000).to_string();
        response = response.with_additional_header("Retry-After", seconds);
    }
    response
}

fn plain_error(status: u16, reason: &str) -> Response {
    Response::json(&CallerAnswer::invalid(reason)).with_status_code(status)
}

/// Reason why a request body cannot be parsed.
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

/// Reads and parses the body of a request.
fn parse_body<T: DeserializeOwned>(request: &Request) -> Result<T, BodyError> {
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
