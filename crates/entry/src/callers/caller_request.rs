use std::rc::Rc;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header;
use hyper::body::Incoming;

use wigeonhall_adapter::EXPECTED_INSTANCE;
use wigeonhall_adapter::REMAINING_MS;
use wigeonhall_adapter::REQUEST_ID;
use wigeonhall_dispatch::RequestLimits;
use wigeonhall_dispatch::Route;
use wigeonhall_dispatch::RouteTable;
use wigeonhall_dispatch::TenantSpec;

use crate::callers::caller_body;
use crate::callers::credentials::Credentials;
use crate::process::node_state::NodeState;
use crate::replicas::outgoing_request::OutgoingRequest;

/// Time after which a request that found no memory may be repeated: slow bodies are closed by then.
const MEMORY_RETRY_AFTER_MS: u64 = 500;

/// Headers that apply to a single connection and aren't forwarded.
const HOP_BY_HOP: [HeaderName; 10] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The reason why a caller's request is rejected before it reaches a replica.
#[derive(Debug)]
pub(crate) struct Rejection {
    pub(crate) reason: &'static str,
    /// Time after which the caller may retry; `None` if a retry would be rejected too.
    pub(crate) retry_after_ms: Option<u64>,
    pub(crate) status: StatusCode,
}

impl Rejection {
    pub(crate) const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            reason,
            retry_after_ms: None,
            status,
        }
    }

    pub(crate) const fn body_cut_short() -> Self {
        Self::new(StatusCode::BAD_REQUEST, "body cut short")
    }

    pub(crate) const fn body_too_long() -> Self {
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, "body too long")
    }

    /// Rejects a request that the node has no memory for.
    pub(crate) const fn no_memory() -> Self {
        Self {
            reason: "too many requests are being received",
            retry_after_ms: Some(MEMORY_RETRY_AFTER_MS),
            status: StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Rejects a request whose body didn't arrive in time; the request has not run.
    pub(crate) const fn body_timeout() -> Self {
        Self::new(StatusCode::REQUEST_TIMEOUT, "body too slow")
    }
}

/// The parsed head of a request.
#[derive(Debug)]
pub(crate) struct CallerHead {
    pub(crate) credentials: Credentials,
    pub(crate) request_id: HeaderValue,
    /// Milliseconds until the caller's deadline; `None` if the request states none.
    pub(crate) remaining_ms: Option<u64>,
    pub(crate) route: Rc<Route>,
    /// Tenant that holds the caller's key; `None` if callers need no keys, if the caller is
    /// anonymous, or if a peer forwards the request.
    pub(crate) tenant: Option<Rc<TenantSpec>>,
}

/// Parses the head of a request and finds its route.
pub(crate) fn read_head<B>(
    request: &Request<B>,
    table: &RouteTable,
) -> Result<CallerHead, Rejection> {
    let bad = |reason| Rejection::new(StatusCode::BAD_REQUEST, reason);
    let headers = request.headers();
    let host = headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| request.uri().authority().map(http::uri::Authority::as_str))
        .ok_or_else(|| bad("no host"))?;
    let route = table
        .find(host, request.uri().path())
        .ok_or(Rejection::new(StatusCode::NOT_FOUND, "no route"))?;
    let request_id = headers
        .get(&REQUEST_ID)
        .ok_or_else(|| bad("no request id"))?;
    Ok(CallerHead {
        credentials: Credentials::read(headers),
        request_id: request_id.clone(),
        remaining_ms: remaining_ms(headers)?,
        route: route.clone(),
        tenant: None,
    })
}

/// Parses the head of a caller's request, and finds its route and its tenant.
pub(crate) fn read_caller_head<B>(
    request: &Request<B>,
    table: &RouteTable,
) -> Result<CallerHead, Rejection> {
    let mut head = read_head(request, table)?;
    head.authenticate(table)?;
    Ok(head)
}

impl CallerHead {
    /// Finds the tenant that holds the caller's key under a configuration.
    pub(crate) fn authenticate(&mut self, table: &RouteTable) -> Result<(), Rejection> {
        let anonymous = self.route.spec.allows_anonymous;
        self.tenant = match &table.tenants {
            None => None,
            Some(tenants) => self.credentials.tenant(tenants, anonymous)?,
        };
        Ok(())
    }
}

/// Returns the milliseconds until the caller's deadline; `None` if the request states none.
pub(crate) fn remaining_ms(headers: &HeaderMap) -> Result<Option<u64>, Rejection> {
    let Some(value) = headers.get(&REMAINING_MS) else {
        return Ok(None);
    };
    let malformed = || Rejection::new(StatusCode::BAD_REQUEST, "malformed deadline");
    parse_milliseconds(value).map(Some).ok_or_else(malformed)
}

/// Reads the body and builds the request for the replicas.
pub(crate) async fn read_request(
    shared: &Rc<NodeState>,
    request: Request<Incoming>,
    request_id: HeaderValue,
    limits: RequestLimits,
) -> Result<OutgoingRequest, Rejection> {
    let (head, body) = request.into_parts();
    let headers = head.headers.len();
    let (body, memory) = caller_body::read(shared, body, headers, limits.body_bytes).await?;
    let bad = |_| Rejection::new(StatusCode::BAD_REQUEST, "malformed path");
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri: Uri = path.parse().map_err(bad)?;
    Ok(OutgoingRequest {
        body,
        headers: end_to_end(&head.headers),
        memory,
        method: head.method,
        request_id,
        uri,
    })
}

/// Returns the headers without hop-by-hop headers and those that are set for each replica.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let dropped = HOP_BY_HOP.contains(name)
            || *name == EXPECTED_INSTANCE
            || *name == REMAINING_MS
            || connection_headers
                .iter()
                .any(|other| other.eq_ignore_ascii_case(name.as_str()));
        if !dropped {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

fn parse_milliseconds(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.trim().parse().ok()
}
