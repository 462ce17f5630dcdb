//! Weighted rendezvous hashing: nodes that know the same set of nodes make the same choices.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use crate::PeerNode;

/// Returns the score of a node for a key, weighted by the node's share of a core; the node
/// with the highest score is chosen.
pub(crate) fn score(node: &PeerNode, key: u64) -> f64 {
    let mut hasher = DefaultHasher::new();
    node.name.hash(&mut hasher);
    key.hash(&mut hasher);
    // An `f64` holds 53 bits exactly; the addition keeps the logarithm finite.
    let uniform = ((hasher.finish() >> 11) as f64 + 1.0) / ((1_u64 << 53) as f64 + 1.0);
    -node.processor_share.max(0.001) / uniform.ln()
}

/// Returns a hash of a name, for use as a key.
pub(crate) fn hash_name(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
