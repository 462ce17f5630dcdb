use std::ops::RangeInclusive;
use std::rc::Rc;

use http::HeaderMap;
use http::StatusCode;
use http::header;
use http::response::Parts;
use hyper::Response;
use hyper::body::Incoming;

use wigeonhall_adapter::LEAVING;
use wigeonhall_adapter::NOT_RUN;
use wigeonhall_adapter::RATE_LIMIT;
use wigeonhall_adapter::RECEIPT;
use wigeonhall_adapter::REQUEST_ID;
use wigeonhall_adapter::RETRY_AFTER;
use wigeonhall_adapter::rate_limit_per_s;
use wigeonhall_adapter::retry_after_ms;
use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Notice;
use wigeonhall_dispatch::RateLimit;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::UnknownCause;

use crate::process::node_state::NodeState;
use crate::replicas::outgoing_request::OutgoingRequest;
use crate::replicas::replica_response::ReplicaResponse;
use crate::replicas::replica_response::SubRequestResult;
use crate::replicas::response_body;

/// Idle time after which a connection isn't reused, unless the replica states a timeout.
pub(crate) const IDLE_TIMEOUT_US: u64 = 4_000_000;

/// Upper bound of the idle timeout that a replica may state.
const IDLE_TIMEOUT_MAX_US: u64 = 600_000_000;

/// Time before the end of the replica's idle timeout in which a connection isn't reused.
const IDLE_MARGIN_US: u64 = 700_000;

/// Statuses with which a replica may end a request.
const VALID_STATUSES: RangeInclusive<u16> = 200..=599;

/// Reads a response; also returns for how long its connection may stay idle, if it is kept.
///
/// On a `reused` connection a second copy of an earlier response may arrive first; only the
/// echoed request id tells them apart.
pub(crate) async fn read(
    shared: &Rc<NodeState>,
    request: &OutgoingRequest,
    response: Response<Incoming>,
    reused: bool,
) -> (SubRequestResult, Option<u64>) {
    let (head, body) = response.into_parts();
    let belongs_to_request = match head.headers.get(&REQUEST_ID) {
        Some(echo) => *echo == request.request_id,
        None => !reused,
    };
    if !belongs_to_request {
        // The connection is out of sync; it is dropped with all bytes that follow.
        return (unknown_result(UnknownCause::Foreign), None);
    }
    if !has_valid_status(&head) {
        return (unknown_result(UnknownCause::InvalidStatus), None);
    }
    let (bytes, memory) = match response_body::read(shared, body).await {
        Ok(read) => read,
        Err(cause) => return (unknown_result(cause), None),
    };
    let idle_timeout_us = idle_timeout_us(&head.headers);
    let response = ReplicaResponse {
        body: bytes,
        headers: head.headers,
        memory,
        status: head.status,
    };
    let reply = classify(&response);
    let result = SubRequestResult {
        notice: notice(reply, &response),
        reply,
        response: Some(response),
    };
    (result, idle_timeout_us)
}

/// Returns whether a replica may end a request with this status. The library accepts any number of
/// three digits from 100, and takes a body after 204 for the start of the next response.
fn has_valid_status(head: &Parts) -> bool {
    let announces_body = head.headers.contains_key(header::TRANSFER_ENCODING)
        || head
            .headers
            .get(header::CONTENT_LENGTH)
            .is_some_and(|length| length != "0");
    let forbidden_body = head.status == StatusCode::NO_CONTENT && announces_body;
    VALID_STATUSES.contains(&head.status.as_u16()) && !forbidden_body
}

fn classify(response: &ReplicaResponse) -> Reply {
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        return Reply::NotRun(NotRunCause::OtherInstance);
    }
    if response.headers.contains_key(&NOT_RUN) {
        return Reply::NotRun(NotRunCause::Busy);
    }
    if !response.status.is_success() {
        return Reply::Failed {
            status: response.status.as_u16(),
        };
    }
    let usable = response.headers.contains_key(&RECEIPT)
        && !response.headers.contains_key(header::CONTENT_ENCODING);
    if usable {
        Reply::Success
    } else {
        Reply::Unknown(UnknownCause::Unproved)
    }
}

/// Returns what the replica asks of its callers; a response of another instance is ignored.
fn notice(reply: Reply, response: &ReplicaResponse) -> Notice {
    if reply == Reply::NotRun(NotRunCause::OtherInstance) {
        return Notice::default();
    }
    let headers = &response.headers;
    let refused = response.status == StatusCode::SERVICE_UNAVAILABLE;
    let hold_off = headers.get(&RETRY_AFTER).filter(|_| refused);
    Notice {
        hold_off_ms: hold_off.and_then(retry_after_ms),
        draining: headers.contains_key(&LEAVING),
        rate_limit: rate_limit(headers),
    }
}

fn rate_limit(headers: &HeaderMap) -> RateLimit {
    let Some(value) = headers.get(&RATE_LIMIT) else {
        return RateLimit::None;
    };
    let Some(per_s) = rate_limit_per_s(value) else {
        log::warn!("a replica names a rate limit that is not a number: {value:?}");
        return RateLimit::Unknown;
    };
    RateLimit::PerSecond(per_s)
}

pub(crate) fn unknown_result(cause: UnknownCause) -> SubRequestResult {
    SubRequestResult::without_response(Reply::Unknown(cause))
}

/// Returns for how long a connection may stay idle after this response; `None` if it closes.
fn idle_timeout_us(headers: &HeaderMap) -> Option<u64> {
    let closes = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"));
    if closes {
        return None;
    }
    let stated_us = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(keep_alive_timeout_s)
        .map(|timeout_s| {
            timeout_s
                .saturating_mul(1_000_000)
                .saturating_sub(IDLE_MARGIN_US)
        });
    // A replica may state any timeout; longer ones are capped.
    Some(
        stated_us
            .unwrap_or(IDLE_TIMEOUT_US)
            .min(IDLE_TIMEOUT_MAX_US),
    )
}

/// Parses the timeout of a keep-alive header, in whole seconds.
fn keep_alive_timeout_s(value: &str) -> Option<u64> {
    value
        .split(',')
        .filter_map(|item| item.trim().strip_prefix("timeout="))
        .find_map(|text| text.trim().parse().ok())
}
