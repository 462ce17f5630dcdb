//! Requests of callers, operators and the health check of the balancer.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flume::Sender;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time;

use crate::CallerAnswer;
use crate::Event;
use crate::ReadRequest;
use crate::WriteRequest;
use crate::front_body;
use crate::front_body::BodyError;
use crate::front_body::BodyMemory;
use crate::metrics::Metrics;
use crate::readiness::Readiness;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_protocol::Subject;
use wigeonhall_types::Verdict;

/// Limit on concurrently served callers.
const CALLERS_MAX: usize = 256;

/// Size up to which the body of a write is read that is refused, to tell whether it is a first
/// attempt.
const REFUSED_BODY_BYTES: usize = 1_024;

/// Timeout for the body of a write that is refused.
const REFUSED_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry delay that a refusal gives if too many callers are being served.
const BUSY_RETRY_DELAY_MS: u64 = 100;

/// Retry delay that a refusal gives while the node stops.
const LEAVING_RETRY_DELAY_MS: u64 = 500;

/// Timeout for the engine thread's reply to an operator's request.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(2);

/// A response to a caller or operator.
pub(crate) type FrontResponse = Response<Full<Bytes>>;

/// Serves requests, on one thread.
#[derive(Debug)]
pub(crate) struct Handler {
    /// Number of callers being served, at most `CALLERS_MAX`.
    active_callers: Cell<usize>,
    bodies: BodyMemory,
    events: Sender<Event>,
    metrics: Arc<Metrics>,
    readiness: Arc<Readiness>,
}

/// A caller that is being served; it counts until this is dropped.
struct ActiveCaller<'a> {
    active_callers: &'a Cell<usize>,
}

impl Drop for ActiveCaller<'_> {
    fn drop(&mut self) {
        self.active_callers.set(self.active_callers.get() - 1);
    }
}

impl Handler {
    pub(crate) const fn new(
        events: Sender<Event>,
        metrics: Arc<Metrics>,
        readiness: Arc<Readiness>,
    ) -> Self {
        Self {
            active_callers: Cell::new(0),
            bodies: BodyMemory::new(),
            events,
            metrics,
            readiness,
        }
    }

    pub(crate) async fn handle(&self, request: Request<Incoming>) -> FrontResponse {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/burn") => self.respond_json(Event::Burn).await,
            (&Method::GET, "/explain") => self.explain(&request).await,
            (&Method::GET, "/health") => self.health(),
            (&Method::GET, "/metrics") => text(StatusCode::OK, self.metrics.render()),
            (&Method::GET, "/status") => {
                let brief = parameter(&request, "brief").is_some_and(|it| it == "true");
                self.respond_json(|reply| Event::Status { brief, reply })
                    .await
            }
            (&Method::POST, "/evacuate") => self.evacuate(request.into_body()).await,
            (&Method::POST, "/query") => self.query(request.into_body()).await,
            (&Method::POST, "/write") => self.write(request.into_body()).await,
            (_, "/query" | "/write" | "/evacuate") => {
                let mut response = plain_error(StatusCode::METHOD_NOT_ALLOWED, "use POST");
                let allowed = HeaderValue::from_static("POST");
                response.headers_mut().insert(header::ALLOW, allowed);
                response
            }
            _ => plain_error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// Responds with the engine thread's reply as JSON.
    async fn respond_json<T: Serialize>(
        &self,
        event: impl FnOnce(Sender<T>) -> Event,
    ) -> FrontResponse {
        let reply = self.call_engine(event).await;
        reply.map_or_else(no_reply_response, |value| json(StatusCode::OK, &value))
    }

    /// Sends an event to the engine thread and waits for its reply.
    async fn call_engine<T>(&self, event: impl FnOnce(Sender<T>) -> Event) -> Option<T> {
        let (reply, replies) = flume::bounded(1);
        self.events.send(event(reply)).ok()?;
        let reply = time::timeout(OPERATOR_TIMEOUT, replies.recv_async()).await;
        reply.ok()?.ok()
    }

    /// Counts a caller as being served; `None` if too many are already.
    fn admit(&self) -> Option<ActiveCaller<'_>> {
        let active = self.active_callers.get();
        (active < CALLERS_MAX).then(|| {
            self.active_callers.set(active + 1);
            ActiveCaller {
                active_callers: &self.active_callers,
            }
        })
    }

    fn too_many_callers(&self, verdict: Verdict) -> FrontResponse {
        self.metrics.count("refused_too_many_callers");
        answer_response(&CallerAnswer::refused(
            "too_many_callers",
            BUSY_RETRY_DELAY_MS,
            verdict,
        ))
    }

    async fn evacuate(&self, body: Incoming) -> FrontResponse {
        let evacuation: EvacuationOverride = match self.bodies.parse(body).await {
            Ok(evacuation) => evacuation,
            Err(error) => return self.body_error(error, Verdict::NotRun),
        };
        if evacuation.data_centre.is_some() == evacuation.vm.is_some() {
            return plain_error(
                StatusCode::BAD_REQUEST,
                "name exactly one of data_centre and vm",
            );
        }
        let event = |reply| Event::Evacuate { evacuation, reply };
        match self.call_engine(event).await {
            Some(true) => respond(StatusCode::NO_CONTENT, None, Vec::new()),
            Some(false) => plain_error(
                StatusCode::NOT_FOUND,
                "the deployment in force does not hold this name",
            ),
            None => no_reply_response(),
        }
    }

    async fn explain(&self, request: &Request<Incoming>) -> FrontResponse {
        let subject = match (parameter(request, "request"), parameter(request, "replica")) {
            (Some(id), None) => Subject::Request(Arc::from(id)),
            (None, Some(name)) => Subject::Replica(Arc::from(name)),
            _ => {
                return plain_error(
                    StatusCode::BAD_REQUEST,
                    "name exactly one of request and replica",
                );
            }
        };
        self.respond_json(|reply| Event::Explain { subject, reply })
            .await
    }

    fn health(&self) -> FrontResponse {
        match self.readiness.reason() {
            None => text(StatusCode::OK, "ready\n".to_owned()),
            Some(reason) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        }
    }

    async fn query(&self, body: Incoming) -> FrontResponse {
        let Some(_active) = self.admit() else {
            front_body::skip(body);
            return self.too_many_callers(Verdict::NotRun);
        };
        let request: ReadRequest = match self.bodies.parse(body).await {
            Ok(request) => request,
            Err(error) => return self.body_error(error, Verdict::NotRun),
        };
        self.answer_caller(|answer_sender| Event::Read {
            request,
            answer_sender,
        })
        .await
    }

    async fn write(&self, body: Incoming) -> FrontResponse {
        let Some(_active) = self.admit() else {
            let verdict = self.verdict_of_refused_write(body).await;
            return self.too_many_callers(verdict);
        };
        let request: WriteRequest = match self.bodies.parse(body).await {
            Ok(request) => request,
            Err(error) => return self.body_error(error, Verdict::MayHaveRun),
        };
        self.answer_caller(|answer_sender| Event::Write {
            request,
            answer_sender,
        })
        .await
    }

    /// Sends a request to the engine thread and waits for the answer, which the thread gives by the
    /// deadline. Only a planned stop that reaches its time limit drops the request, which may
    /// have run then.
    async fn answer_caller(
        &self,
        event: impl FnOnce(Sender<CallerAnswer>) -> Event,
    ) -> FrontResponse {
        let (answer_sender, answers) = flume::bounded(1);
        let _ = self.events.send(event(answer_sender));
        let answer = answers.recv_async().await.unwrap_or_else(|_| {
            CallerAnswer::refused("leaving", LEAVING_RETRY_DELAY_MS, Verdict::MayHaveRun)
        });
        answer_response(&answer)
    }

    /// Returns the verdict of a write that is refused before it is served: an earlier attempt with
    /// its request id may have run.
    async fn verdict_of_refused_write(&self, body: Incoming) -> Verdict {
        let size_bytes = front_body::stated_bytes(&body);
        if size_bytes.is_none_or(|bytes| bytes > REFUSED_BODY_BYTES) {
            front_body::skip(body);
            return Verdict::MayHaveRun;
        }
        let parsing = self.bodies.parse::<WriteRequest>(body);
        match time::timeout(REFUSED_BODY_TIMEOUT, parsing).await {
            Ok(Ok(request)) => request.verdict_before_claim(),
            Ok(Err(_)) | Err(_) => Verdict::MayHaveRun,
        }
    }

    /// Responds to a request without a usable body; `verdict` is that of a refusal.
    fn body_error(&self, error: BodyError, verdict: Verdict) -> FrontResponse {
        match error {
            BodyError::Malformed(reason) => plain_error(
                StatusCode::BAD_REQUEST,
                &format!("malformed body: {reason}"),
            ),
            BodyError::Missing => {
                plain_error(StatusCode::BAD_REQUEST, "the body could not be read")
            }
            BodyError::NoMemory => self.too_many_callers(verdict),
            BodyError::Oversized => plain_error(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is larger than 256 KiB",
            ),
        }
    }
}

/// Returns the first value of a parameter in the query of the path.
fn parameter(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    pairs
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

fn no_reply_response() -> FrontResponse {
    plain_error(
        StatusCode::SERVICE_UNAVAILABLE,
        "the node is stopping or overloaded",
    )
}

fn answer_response(answer: &CallerAnswer) -> FrontResponse {
    let status = StatusCode::from_u16(answer.http_status());
    let mut response = json(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), answer);
    let headers = response.headers_mut();
    if let Some(request_id) = &answer.request_id
        && let Ok(value) = HeaderValue::from_str(request_id)
    {
        headers.insert("X-Request-Id", value);
    }
    if let Some(retry_after_ms) = answer.retry_after_ms {
        // The header takes whole seconds; the body holds the exact delay.
        let seconds = HeaderValue::from(retry_after_ms.div_ceil(1_000));
        headers.insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn plain_error(status: StatusCode, reason: &str) -> FrontResponse {
    json(status, &CallerAnswer::invalid(reason))
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> FrontResponse {
    match serde_json::to_vec(value) {
        Ok(bytes) => respond(status, Some("application/json"), bytes),
        Err(error) => {
            log::error!("cannot encode a response: {error}");
            text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "encoding failed\n".to_owned(),
            )
        }
    }
}

fn text(status: StatusCode, text: String) -> FrontResponse {
    respond(status, Some("text/plain; charset=utf-8"), text.into_bytes())
}

fn respond(status: StatusCode, content_type: Option<&'static str>, body: Vec<u8>) -> FrontResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    if let Some(content_type) = content_type {
        let value = HeaderValue::from_static(content_type);
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}
