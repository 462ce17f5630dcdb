use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::ReplicaKey;

/// Version of the configuration that the legs are counted by.
pub(crate) const VERSION: HeaderName = HeaderName::from_static("x-wigeonhall-version");

/// Legs that the node is asked for, separated by commas.
pub(crate) const LEGS: HeaderName = HeaderName::from_static("x-wigeonhall-legs");

/// Ids of the replicas that each leg may go to: legs are separated by semicolons, ids by
/// spaces.
pub(crate) const CANDIDATES: HeaderName = HeaderName::from_static("x-wigeonhall-candidates");

/// Milliseconds after which the parts that are in are to be sent.
pub(crate) const SOFT_MS: HeaderName = HeaderName::from_static("x-wigeonhall-soft-ms");

/// Takes a number out of the headers.
pub(crate) fn take_number(headers: &mut HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.remove(name)?.to_str().ok()?.parse().ok()
}

/// Takes the candidates of each leg out of the headers; replicas that are not known here
/// are left out.
pub(crate) fn take_candidates(headers: &mut HeaderMap, pool: &Pool) -> Vec<Vec<ReplicaKey>> {
    let Some(value) = headers.remove(&CANDIDATES) else {
        return Vec::new();
    };
    let legs = value.to_str().unwrap_or_default().split(';');
    let keys = legs.map(|ids| ids.split(' ').filter_map(|id| pool.key_of(id)).collect());
    keys.collect()
}

/// The value of [`CANDIDATES`].
pub(crate) fn candidates_value(candidates: &[Vec<ReplicaKey>], pool: &Pool) -> Option<HeaderValue> {
    let legs: Vec<String> = candidates
        .iter()
        .map(|keys| {
            let replicas = keys.iter().filter_map(|key| pool.replica(*key));
            let ids: Vec<&str> = replicas.map(|replica| &**replica.id()).collect();
            ids.join(" ")
        })
        .collect();
    HeaderValue::from_str(&legs.join(";")).ok()
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
