use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

/// Version of the configuration that the legs are counted by.
pub(crate) const VERSION: HeaderName = HeaderName::from_static("x-wigeonhall-version");

/// Legs that the node is asked for, separated by commas.
pub(crate) const LEGS: HeaderName = HeaderName::from_static("x-wigeonhall-legs");

/// Milliseconds after which the parts that are in are to be sent.
pub(crate) const SOFT_MS: HeaderName = HeaderName::from_static("x-wigeonhall-soft-ms");

/// Takes a number out of the headers.
pub(crate) fn take_number(headers: &mut HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.remove(name)?.to_str().ok()?.parse().ok()
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
