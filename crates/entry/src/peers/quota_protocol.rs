//! Format of the messages about quotas between nodes.
//!
//! Tenants are named; their keys never appear.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;

use wigeonhall_dispatch::QuotaAnswer;
use wigeonhall_dispatch::QuotaMessage;
use wigeonhall_dispatch::QuotaReply;
use wigeonhall_dispatch::TenantReport;
use wigeonhall_dispatch::TenantState;

/// Header that marks a message, so that a server that took over the address is not misled.
const MESSAGE_HEADER: HeaderName = HeaderName::from_static("x-wigeonhall-quota");

/// Path of the message; it shows its purpose if another server has taken over the address.
const MESSAGE_PATH: &str = "/wigeonhall/quota";

/// Largest message and largest reply: some 1,000 tenants with names of 32 bytes.
pub(crate) const MESSAGE_BYTES_MAX: usize = 64 * 1024;

#[derive(Deserialize, Serialize)]
struct WireMessage {
    #[serde(skip_serializing_if = "Option::is_none")]
    ask: Option<Arc<str>>,
    from: Arc<str>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    limited: Vec<Arc<str>>,
    /// Name, admitted and refused requests of each tenant.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    reports: Vec<(Arc<str>, f64, f64)>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    suspicious: bool,
}

#[derive(Deserialize, Serialize)]
struct WireReply {
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<WireAnswer>,
    /// Name and demand of each tenant, whether it is limited, and the tokens of its bucket.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    states: Vec<(Arc<str>, f64, bool, Option<f64>)>,
}

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum WireAnswer {
    Granted,
    NotOwner,
    /// Milliseconds until there is capacity.
    Refused(u64),
}

/// Returns whether a request is a message about quotas.
pub(crate) fn is_message(headers: &HeaderMap) -> bool {
    headers.contains_key(&MESSAGE_HEADER)
}

/// Builds the request that carries a message.
pub(crate) fn request(message: &QuotaMessage) -> Result<Request<Full<Bytes>>, serde_json::Error> {
    let body = encode_message(message)?;
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(MESSAGE_PATH);
    let headers = request.headers_mut();
    headers.insert(MESSAGE_HEADER, HeaderValue::from_static(""));
    headers.insert(header::HOST, HeaderValue::from_static("node"));
    Ok(request)
}

fn encode_message(message: &QuotaMessage) -> Result<Bytes, serde_json::Error> {
    let reports = message.reports.iter();
    let wire = WireMessage {
        ask: message.ask.clone(),
        from: message.from.clone(),
        limited: message.limited.clone(),
        reports: reports
            .map(|report| (report.tenant.clone(), report.admitted, report.refused))
            .collect(),
        suspicious: message.suspicious,
    };
    serde_json::to_vec(&wire).map(Bytes::from)
}

/// Parses a message; counts that are not finite positive numbers are malformed.
pub(crate) fn decode_message(body: &[u8]) -> Option<QuotaMessage> {
    let wire: WireMessage = serde_json::from_slice(body).ok()?;
    let is_count = |count: f64| count.is_finite() && count >= 0.0;
    let reports = wire.reports.into_iter().map(|(tenant, admitted, refused)| {
        (is_count(admitted) && is_count(refused)).then_some(TenantReport {
            admitted,
            refused,
            tenant,
        })
    });
    Some(QuotaMessage {
        ask: wire.ask,
        from: wire.from,
        limited: wire.limited,
        reports: reports.collect::<Option<Vec<TenantReport>>>()?,
        suspicious: wire.suspicious,
    })
}

pub(crate) fn encode_reply(reply: &QuotaReply) -> Result<Bytes, serde_json::Error> {
    let states = reply.states.iter();
    let wire = WireReply {
        answer: reply.answer.map(|answer| match answer {
            QuotaAnswer::Granted => WireAnswer::Granted,
            QuotaAnswer::NotOwner => WireAnswer::NotOwner,
            QuotaAnswer::Refused { retry_after_ms } => WireAnswer::Refused(retry_after_ms),
        }),
        states: states
            .map(|state| {
                let name = state.tenant.clone();
                (name, state.demand_per_s, state.limited, state.tokens)
            })
            .collect(),
    };
    serde_json::to_vec(&wire).map(Bytes::from)
}

pub(crate) fn decode_reply(body: &[u8]) -> Option<QuotaReply> {
    let wire: WireReply = serde_json::from_slice(body).ok()?;
    let states = wire.states.into_iter();
    Some(QuotaReply {
        answer: wire.answer.map(|answer| match answer {
            WireAnswer::Granted => QuotaAnswer::Granted,
            WireAnswer::NotOwner => QuotaAnswer::NotOwner,
            WireAnswer::Refused(retry_after_ms) => QuotaAnswer::Refused { retry_after_ms },
        }),
        states: states
            .map(|(tenant, demand_per_s, limited, tokens)| TenantState {
                demand_per_s,
                limited,
                tenant,
                tokens,
            })
            .collect(),
    })
}
