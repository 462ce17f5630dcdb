use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

use crate::digest::digest;

/// Digest of a gather's shards, in their order, and of its `max_attempts`.
///
/// Nodes may divide the legs of a gather, its requests to one shard each, only if their keys are
/// equal. The digest does not depend on the build, so that nodes of two releases agree.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LegsKey(u128);

impl LegsKey {
    /// Computes the key of a gather; `shards` is empty for other routes.
    pub(crate) fn new(shards: &[Arc<str>], max_attempts: u32) -> Self {
        let attempts = max_attempts.to_be_bytes();
        let shards = shards.iter().map(|shard| shard.as_bytes());
        let parts: Vec<&[u8]> = shards.chain([&attempts[..]]).collect();
        Self(digest(&parts))
    }
}

impl fmt::Display for LegsKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for LegsKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}
