//! Rendezvous hashing, which ranks nodes for a key. Its results must be equal on all nodes and
//! in all releases.

/// Returns the FNV-1a hash of a name, 64 bits.
pub(crate) fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Returns the rank of `node` for `key`; the node with the lowest rank is chosen. Mixes
/// with `SplitMix64`.
pub(crate) fn rank(key: u64, node: u64) -> u64 {
    let mut mixed = key.rotate_left(32) ^ node.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
