use std::collections::BTreeMap;
use std::sync::Arc;

use crate::StoreMode;
use wigeonhall_query::Claim;
use wigeonhall_query::ClaimResult;

/// Fake object API that stores the claims of writes. A claim gives one attempt at a write the
/// right to send it to a target.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    /// Claim of each request id, with the version of its object.
    claims: BTreeMap<Arc<str>, (Claim, u64)>,
    /// Number of coming replies that are lost after their call has taken effect.
    pub lose_replies: u32,
    /// Whether the store takes calls, and with what delay.
    pub mode: StoreMode,
}

impl FakeStore {
    /// Creates a claim if `expected` is `None`, or else replaces the claim at that version.
    pub fn put(&mut self, claim: Claim, expected: Option<u64>) -> ClaimResult {
        let held = self.claims.get(&claim.request_id);
        let found = held.map(|(_, version)| *version);
        if found != expected {
            return self.read(&claim.request_id);
        }
        let version = found.unwrap_or(0) + 1;
        let id = Arc::clone(&claim.request_id);
        self.claims.insert(id, (claim, version));
        ClaimResult::Stored { version }
    }

    /// Reads the claim of a request id.
    #[must_use]
    pub fn read(&self, request_id: &str) -> ClaimResult {
        match self.claims.get(request_id) {
            Some((held, version)) => ClaimResult::Conflict {
                held: held.clone(),
                version: *version,
            },
            None => ClaimResult::Unknown,
        }
    }
}
