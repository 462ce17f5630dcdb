use sha2::Digest;
use sha2::Sha256;

/// Returns the first half of the SHA-256 digest of several parts, which does not depend on the
/// build. The length of each part is included, so that other parts with the same bytes differ.
pub(crate) fn digest(parts: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest: [u8; 32] = hasher.finalize().into();
    let first_half = digest.first_chunk().copied().unwrap_or_default();
    u128::from_be_bytes(first_half)
}
