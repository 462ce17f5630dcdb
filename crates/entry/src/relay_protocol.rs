use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::ReplicaKey;

/// Key of the legs of the route, by which they are counted.
pub(crate) const LEGS_KEY: HeaderName = HeaderName::from_static("x-wigeonhall-legs-key");

/// Legs that the node is asked for, separated by commas.
pub(crate) const LEGS: HeaderName = HeaderName::from_static("x-wigeonhall-legs");

/// Id of the fallback replica of each leg, separated by commas; empty without one.
pub(crate) const FALLBACKS: HeaderName = HeaderName::from_static("x-wigeonhall-fallbacks");

/// Milliseconds after which the parts that are in are to be sent.
pub(crate) const SOFT_MS: HeaderName = HeaderName::from_static("x-wigeonhall-soft-ms");

/// Takes a number out of the headers.
pub(crate) fn take_number(headers: &mut HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.remove(name)?.to_str().ok()?.parse().ok()
}

/// Takes the fallback replica of each leg out of the headers; `None` without the header.
///
/// A replica that is not known here still counts as one that may run the leg.
pub(crate) fn take_fallbacks(
    headers: &mut HeaderMap,
    pool: &Pool,
) -> Option<Vec<Option<ReplicaKey>>> {
    let value = headers.remove(&FALLBACKS)?;
    let key = |id: &str| (!id.is_empty()).then(|| pool.key_of(id).unwrap_or(ReplicaKey::UNKNOWN));
    Some(value.to_str().ok()?.split(',').map(key).collect())
}

/// The value of [`FALLBACKS`].
pub(crate) fn fallbacks_value(
    fallbacks: &[Option<ReplicaKey>],
    pool: &Pool,
) -> Option<HeaderValue> {
    let id = |key: &Option<ReplicaKey>| {
        let replica = key.and_then(|key| pool.replica(key));
        replica.map_or("", |replica| replica.id())
    };
    let ids: Vec<&str> = fallbacks.iter().map(id).collect();
    HeaderValue::from_str(&ids.join(",")).ok()
}

/// Takes the legs out of the headers.
pub(crate) fn take_legs(headers: &mut HeaderMap) -> Option<Vec<usize>> {
    let value = headers.remove(&LEGS)?;
    let legs = value
        .to_str()
        .ok()?
        .split(',')
        .map(|text| text.parse().ok());
    legs.collect()
}

/// The value of [`LEGS`].
pub(crate) fn legs_value(legs: &[usize]) -> Option<HeaderValue> {
    let text: Vec<String> = legs.iter().map(usize::to_string).collect();
    HeaderValue::from_str(&text.join(",")).ok()
}
