use std::convert::Infallible;
use std::future;
use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use tokio::task;

use wigeonhall_adapter::readiness_path;

use crate::callers::accepted_connection::AcceptedConnection;
use crate::callers::caller_response::CallerResponse;
use crate::callers::caller_response::ResponseBody;
use crate::callers::probed_listener::ProbedListener;
use crate::callers::responses;
use crate::process::node_state::NodeState;

/// HTTP path of the Prometheus metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves the platform's readiness checks and the metrics.
pub(crate) async fn serve(shared: Rc<NodeState>, mut listener: ProbedListener) {
    loop {
        let accepted = listener.accept().await;
        task::spawn_local(serve_connection(shared.clone(), accepted));
    }
}

async fn serve_connection(shared: Rc<NodeState>, accepted: AcceptedConnection) {
    let handler = service::service_fn(|request| {
        let response = respond(&shared, &request);
        future::ready(Ok::<_, Infallible>(response))
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(accepted.stream), handler);
    if let Err(error) = connection.await {
        log::debug!("connection for readiness checks or metrics ended: {error}");
    }
}

fn respond(shared: &NodeState, request: &Request<Incoming>) -> CallerResponse {
    let path = request.uri().path();
    if path == METRICS_PATH {
        metrics(shared)
    } else if path != readiness_path() {
        responses::plain(StatusCode::NOT_FOUND, "unknown path")
    } else if shared.ready() {
        responses::plain(StatusCode::OK, "ready")
    } else {
        responses::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

fn metrics(shared: &NodeState) -> CallerResponse {
    let now_us = shared.clock.now_us();
    let fresh_us = shared.replicas_fresh_us.get().unwrap_or(0);
    shared
        .metrics
        .store_age_ms
        .set(((now_us - fresh_us) / 1_000) as i64);
    match shared.metrics.text() {
        Ok(text) => Response::new(ResponseBody::new(Bytes::from(text))),
        Err(error) => {
            log::warn!("cannot write metrics: {error}");
            responses::plain(StatusCode::INTERNAL_SERVER_ERROR, "metrics failed")
        }
    }
}
