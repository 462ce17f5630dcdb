//! Headers of a relay request, which asks a peer for the parts of some legs of a shared gather: one
//! whose legs, the requests to one shard each, are divided among nodes.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use percent_encoding::AsciiSet;
use percent_encoding::CONTROLS;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;

use wigeonhall_dispatch::LegsKey;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::ReplicaKey;

/// Header with the key of the route's legs; the key is equal on nodes that send the same legs
/// to the same services.
pub(crate) const LEGS_KEY: HeaderName = HeaderName::from_static("x-wigeonhall-legs-digest");

/// Header with the legs that the peer is asked for, separated by commas.
pub(crate) const LEGS: HeaderName = HeaderName::from_static("x-wigeonhall-legs");

/// Header with the id of the fallback replica of each leg, percent-encoded, separated by commas;
/// empty for a leg without one. The asking node sends the leg to its fallback if it takes the leg
/// back from the peer.
pub(crate) const FALLBACKS: HeaderName = HeaderName::from_static("x-wigeonhall-fallbacks");

/// Characters that are escaped in ids, besides those that are not ASCII: the separator and what a
/// header cannot hold.
const ESCAPED_IN_IDS: &AsciiSet = &CONTROLS.add(b' ').add(b'%').add(b',');

/// Header with the soft deadline in milliseconds, after which the parts collected so far are
/// sent.
pub(crate) const SOFT_DEADLINE_MS: HeaderName = HeaderName::from_static("x-wigeonhall-soft-ms");

/// Header with the number of records in the answer, to which the peer merges its parts. The route
/// that the peer's own configuration has for the path may return another number.
pub(crate) const TOP_RECORDS: HeaderName = HeaderName::from_static("x-wigeonhall-top-records");

/// Removes [`LEGS_KEY`] and parses its value.
pub(crate) fn take_legs_key(headers: &mut HeaderMap) -> Option<LegsKey> {
    headers.remove(&LEGS_KEY)?.to_str().ok()?.parse().ok()
}

/// Formats the value of [`LEGS_KEY`].
pub(crate) fn legs_key_value(key: LegsKey) -> Option<HeaderValue> {
    HeaderValue::from_str(&key.to_string()).ok()
}

/// Removes a header and parses its value as a number.
pub(crate) fn take_number(headers: &mut HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.remove(name)?.to_str().ok()?.parse().ok()
}

/// Removes [`FALLBACKS`] and parses the fallback replica of each leg; `None` without the header.
///
/// A fallback that this node doesn't know still counts as a replica that may run the leg.
pub(crate) fn take_fallbacks(
    headers: &mut HeaderMap,
    pool: &Pool,
) -> Option<Vec<Option<ReplicaKey>>> {
    let value = headers.remove(&FALLBACKS)?;
    let key = |id: &str| {
        let id = percent_decode_str(id).decode_utf8_lossy();
        (!id.is_empty()).then(|| pool.key_of(&id).unwrap_or(ReplicaKey::UNKNOWN))
    };
    Some(value.to_str().ok()?.split(',').map(key).collect())
}

/// Formats the value of [`FALLBACKS`].
pub(crate) fn fallbacks_value(
    fallbacks: &[Option<ReplicaKey>],
    pool: &Pool,
) -> Option<HeaderValue> {
    let id = |key: &Option<ReplicaKey>| {
        let replica = key.and_then(|key| pool.replica(key));
        let id = replica.map_or("", |replica| replica.id());
        utf8_percent_encode(id, ESCAPED_IN_IDS).to_string()
    };
    let ids: Vec<String> = fallbacks.iter().map(id).collect();
    HeaderValue::from_str(&ids.join(",")).ok()
}

/// Removes [`LEGS`] and parses the legs.
pub(crate) fn take_legs(headers: &mut HeaderMap) -> Option<Vec<usize>> {
    let value = headers.remove(&LEGS)?;
    let legs = value
        .to_str()
        .ok()?
        .split(',')
        .map(|text| text.parse().ok());
    legs.collect()
}

/// Formats the value of [`LEGS`].
pub(crate) fn legs_value(legs: &[usize]) -> Option<HeaderValue> {
    let text: Vec<String> = legs.iter().map(usize::to_string).collect();
    HeaderValue::from_str(&text.join(",")).ok()
}
