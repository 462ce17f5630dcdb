use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::digest::digest;

/// Digest of an API key; nodes hold and exchange no keys in plain text.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Computes the digest of an API key.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self(digest(&[b"api key", key]))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for KeyDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
