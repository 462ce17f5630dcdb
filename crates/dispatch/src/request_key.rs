use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::digest::digest;

/// Digest of what a caller asks for, equal on all nodes and for all callers that ask the same.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestKey(u128);

impl RequestKey {
    /// Computes the key of a request; `path` includes the query.
    #[must_use]
    pub fn new(method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        Self(digest(&[
            method.as_bytes(),
            host.as_bytes(),
            path.as_bytes(),
            body,
        ]))
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
