use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;

/// Digest of a gather's shards, in their order, and of its `max_attempts`.
///
/// Nodes may divide the legs of a gather, its requests to one shard each, only if their keys are
/// equal. The digest does not depend on the build, so that nodes of two releases agree.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LegsKey(u128);

impl LegsKey {
    /// Computes the key of a gather; `shards` is empty for other routes.
    pub(crate) fn new(shards: &[Arc<str>], max_attempts: u32) -> Self {
        let mut hasher = Sha256::new();
        for shard in shards {
            hasher.update((shard.len() as u64).to_be_bytes());
            hasher.update(shard.as_bytes());
        }
        hasher.update(max_attempts.to_be_bytes());
        let digest: [u8; 32] = hasher.finalize().into();
        let first_half = digest.first_chunk().copied().unwrap_or_default();
        Self(u128::from_be_bytes(first_half))
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
