use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use wigeonhall_adapter::INCLUDED_RECEIPTS;
use wigeonhall_adapter::MISSING_PARTS;
use wigeonhall_adapter::RETRY_AFTER;
use wigeonhall_adapter::retry_after_value;
use wigeonhall_dispatch::GiveUpReason;
use wigeonhall_dispatch::RefuseReason;
use wigeonhall_dispatch::merge_records;

use crate::callers::caller_request;
use crate::callers::caller_response::CallerResponse;
use crate::callers::caller_response::ResponseBody;
use crate::replicas::replica_response::ReplicaResponse;
use crate::requests::group_parts::GroupParts;

/// Builds a response of the node itself, without a result.
pub(crate) fn plain(status: StatusCode, reason: &'static str) -> CallerResponse {
    let mut response = Response::new(ResponseBody::new(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Builds a refusal: the request has not run and never will.
pub(crate) fn refusal(reason: &'static str, retry_after_ms: u64) -> CallerResponse {
    with_retry_after(
        plain(StatusCode::SERVICE_UNAVAILABLE, reason),
        retry_after_ms,
    )
}

/// Refuses a request beyond its tenant's quota; it has not run and never will.
pub(crate) fn over_quota(retry_after_ms: u64) -> CallerResponse {
    let response = plain(
        StatusCode::TOO_MANY_REQUESTS,
        "the tenant's quota is used up",
    );
    with_retry_after(response, retry_after_ms)
}

fn with_retry_after(mut response: CallerResponse, retry_after_ms: u64) -> CallerResponse {
    let value = retry_after_value(retry_after_ms);
    response.headers_mut().insert(RETRY_AFTER, value);
    response
}

/// Answers a request that may have run and has no result.
pub(crate) fn given_up(reason: GiveUpReason) -> CallerResponse {
    let (status, text) = match reason {
        GiveUpReason::DeadlinePassed => (StatusCode::GATEWAY_TIMEOUT, "the deadline passed"),
        GiveUpReason::FalseRefusal => (StatusCode::BAD_GATEWAY, "the replica failed"),
        GiveUpReason::NoAnswer => (StatusCode::BAD_GATEWAY, "no replica gave a usable answer"),
        GiveUpReason::TooFewParts => (StatusCode::BAD_GATEWAY, "too few shards can answer"),
    };
    plain(status, text)
}

/// Refuses a request that has not run and never will.
pub(crate) fn refused(reason: RefuseReason, retry_after_ms: u64) -> CallerResponse {
    refusal(refusal_text(reason), retry_after_ms)
}

const fn refusal_text(reason: RefuseReason) -> &'static str {
    match reason {
        RefuseReason::Busy => "replicas have no room",
        RefuseReason::CrashesReplicas => "replicas crash under this request",
        RefuseReason::DeadlinePassed => "no replica was reached in time",
        RefuseReason::NoReplica => "no replica is available",
        RefuseReason::Overloaded { .. } => "more requests arrive than can be answered in time",
        RefuseReason::Stopping => "this node stops",
        RefuseReason::TooFewShards => "too few shards have an available replica",
    }
}

/// Forwards the response of a replica without its hop-by-hop headers.
pub(crate) fn forwarded(replica: ReplicaResponse) -> CallerResponse {
    let mut response = Response::new(ResponseBody::with_memory(replica.body, replica.memory));
    *response.status_mut() = replica.status;
    *response.headers_mut() = caller_request::end_to_end(&replica.headers);
    response
}

/// Merges the parts that several nodes collected into the greatest records, with all receipts, the
/// replicas' proofs that they ran the request.
///
/// `None` when a receipt is not a valid header value.
pub(crate) fn merged_groups(
    groups: &[GroupParts],
    missing: usize,
    top_records: usize,
) -> Option<CallerResponse> {
    let receipts = groups.iter().flat_map(|group| &group.head.receipts);
    let receipts: Vec<&str> = receipts.map(String::as_str).collect();
    let bodies: Vec<&[u8]> = groups.iter().map(|group| &*group.records).collect();
    gather_response(&receipts, &bodies, missing, top_records)
}

/// Merges parts into the greatest records, with the receipts of exactly these parts.
///
/// `None` when a part has no receipt that can be listed.
pub(crate) fn merged_parts(
    parts: &[ReplicaResponse],
    missing: usize,
    top_records: usize,
) -> Option<CallerResponse> {
    let receipts: Option<Vec<&str>> = parts.iter().map(ReplicaResponse::listed_receipt).collect();
    let bodies: Vec<&[u8]> = parts.iter().map(|part| &*part.body).collect();
    gather_response(&receipts?, &bodies, missing, top_records)
}

fn gather_response(
    receipts: &[&str],
    bodies: &[&[u8]],
    missing: usize,
    top_records: usize,
) -> Option<CallerResponse> {
    let receipts = HeaderValue::from_str(&receipts.join(", ")).ok()?;
    let records = merge_records(bodies, top_records);
    let mut response = Response::new(ResponseBody::new(Bytes::from(records)));
    let headers = response.headers_mut();
    headers.insert(INCLUDED_RECEIPTS, receipts);
    headers.insert(MISSING_PARTS, HeaderValue::from(missing));
    let octets = HeaderValue::from_static("application/octet-stream");
    headers.insert(header::CONTENT_TYPE, octets);
    Some(response)
}
