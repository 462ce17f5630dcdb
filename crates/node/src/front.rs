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

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: u64 = 256 * 1024;

/// Callers that are served at once; each one blocks a thread until its answer.
const CALLER_THREADS: usize = 256;

/// Threads for health checks and operators, and to refuse callers beyond
/// `CALLER_THREADS` at once.
const SPARE_THREADS: usize = 32;

/// Body up to this size is in memory before a request is handled, so that reading
/// it does not wait for a slow caller (a property of `tiny_http`).
const BUFFERED_BODY_BYTES: usize = 1_024;

/// Time after which a caller that met too many others should try again.
const BUSY_RETRY_MS: u64 = 100;

/// Time after which a caller that met a node that stops should try another one.
const LEAVING_RETRY_MS: u64 = 500;

/// Longest time that a stop waits for responses that are being written; requests
/// that keep arriving or callers that do not read must not hold it up.
const STOP_MS: u64 = 1_000;

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
    /// Callers that are being served; at most `CALLER_THREADS`.
    callers: AtomicUsize,
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
            callers: AtomicUsize::new(0),
            events,
            metrics,
            readiness,
        };
        let server = rouille::Server::new(address, move |request| handler.handle(request))?
            .pool_size(CALLER_THREADS + SPARE_THREADS);
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

    /// Stops listening and waits until open responses are written, or `STOP_MS`.
    pub fn stop(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let start = Instant::now();
        if let Some(thread) = self.thread.take() {
            while !thread.is_finished() && start.elapsed() < Duration::from_millis(STOP_MS) {
                thread::sleep(Duration::from_millis(POLL_MS));
            }
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
            ("GET", "/status") => {
                let brief = request.get_param("brief").is_some_and(|it| it == "true");
                self.ask(|reply| Event::Status { brief, reply })
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

    fn ask<T: Serialize>(&self, event: impl FnOnce(Sender<T>) -> Event) -> Response {
        self.ask_value(event)
            .map_or_else(no_reply, |value| Response::json(&value))
    }

    fn ask_value<T>(&self, event: impl FnOnce(Sender<T>) -> Event) -> Option<T> {
        let (reply, replies) = flume::bounded(1);
        self.events.send(event(reply)).ok()?;
        let timeout = Duration::from_millis(OPERATOR_TIMEOUT_MS);
        replies.recv_timeout(timeout).ok()
    }

    /// Serves a caller unless too many others are being served.
    fn serve(&self, serve: impl FnOnce() -> Response) -> Option<Response> {
        let served = self.callers.fetch_add(1, Ordering::Relaxed);
        let response = (served < CALLER_THREADS).then(serve);
        self.callers.fetch_sub(1, Ordering::Relaxed);
        response
    }

    fn too_many_callers(&self, verdict: Verdict) -> Response {
        self.metrics.count("refused_too_many_callers");
        answer_response(&CallerAnswer::refused(
            "too_many_callers",
            BUSY_RETRY_MS,
            verdict,
        ))
    }

    fn evacuate(&self, request: &Request) -> Response {
        let evacuation: EvacuationOverride = match body(request) {
            Ok(evacuation) => evacuation,
            Err(response) => return response.into_response(),
        };
        if evacuation.data_centre.is_some() == evacuation.vm.is_some() {
            return plain_error(400, "name exactly one of data_centre and vm");
        }
        let event = |reply| Event::Evacuate { evacuation, reply };
        match self.ask_value(event) {
            Some(true) => Response::empty_204(),
            Some(false) => plain_error(404, "the deployment in force does not hold this name"),
            None => no_reply(),
        }
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
        let response = self.serve(|| {
            let request: ReadRequest = match body(request) {
                Ok(request) => request,
                Err(error) => return error.into_response(),
            };
            self.caller(|reply| Event::Read { request, reply })
        });
        response.unwrap_or_else(|| self.too_many_callers(Verdict::NotRun))
    }

    fn write(&self, request: &Request) -> Response {
        let response = self.serve(|| {
            let request: WriteRequest = match body(request) {
                Ok(request) => request,
                Err(error) => return error.into_response(),
            };
            self.caller(|reply| Event::Write { request, reply })
        });
        response.unwrap_or_else(|| self.too_many_callers(verdict_of_unserved_write(request)))
    }

    /// Waits for the answer; the query core answers each request by its deadline. Only
    /// a stop that ran out of time drops a request, which may have run then.
    fn caller(&self, event: impl FnOnce(Sender<CallerAnswer>) -> Event) -> Response {
        let (reply, answers) = flume::bounded(1);
        let _ = self.events.send(event(reply));
        let answer = answers.recv().unwrap_or_else(|_| {
            CallerAnswer::refused("leaving", LEAVING_RETRY_MS, Verdict::MayHaveRun)
        });
        answer_response(&answer)
    }
}

/// Whether an earlier try of a write that is refused unserved may have run.
fn verdict_of_unserved_write(request: &Request) -> Verdict {
    let size = request
        .header("Content-Length")
        .and_then(|it| it.parse().ok());
    if size.is_none_or(|size: usize| size > BUFFERED_BODY_BYTES) {
        return Verdict::MayHaveRun;
    }
    let request = body::<WriteRequest>(request);
    request.map_or(Verdict::MayHaveRun, |it| it.verdict_unsent())
}

fn no_reply() -> Response {
    plain_error(503, "the node is stopping or overloaded")
}

fn answer_response(answer: &CallerAnswer) -> Response {
    let mut response = Response::json(answer).with_status_code(answer.http_status());
    if let Some(request_id) = &answer.request_id {
        response = response.with_additional_header("X-Request-Id", request_id.to_string());
    }
    if let Some(retry_after_ms) = answer.retry_after_ms {
        // The header counts in whole seconds; the body has the exact time.
        let seconds = retry_after_ms.div_ceil(1_000).to_string();
        response = response.with_additional_header("Retry-After", seconds);
    }
    response
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
