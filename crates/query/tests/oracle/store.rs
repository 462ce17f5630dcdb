//! Simulates the store that holds claims, the records that give one attempt the right to run a
//! write.

use super::*;
use crate::prelude::*;

impl Oracle {
    /// Processes one pending call of the store and delivers its result.
    pub fn store(&mut self, index: usize, behaviour: StoreBehaviour) {
        if self.store_calls.is_empty() {
            return;
        }
        let call = self.store_calls.swap_remove(index % self.store_calls.len());
        let (id, claim, expected) = match call {
            QueryAction::CreateClaim { claim, id } => (id, claim, None),
            QueryAction::UpdateClaim { claim, id, version } => (id, claim, Some(version)),
            other => unreachable!("{other:?} is not a call of the store"),
        };
        let result = match behaviour {
            StoreBehaviour::Apply => self.apply_claim(&claim, expected),
            StoreBehaviour::ApplyLoseReply => {
                self.apply_claim(&claim, expected);
                let (held, version) = self.store[&claim.request_id].clone();
                ClaimResult::Conflict { held, version }
            }
            StoreBehaviour::ApplyUnknown => {
                self.apply_claim(&claim, expected);
                ClaimResult::Unknown
            }
            StoreBehaviour::Drop => ClaimResult::Unknown,
        };
        self.event(QueryEvent::Claim { id, result });
    }

    pub(super) fn apply_claim(&mut self, claim: &Claim, expected: Option<u64>) -> ClaimResult {
        let known = self.store.get(&claim.request_id);
        if known.map(|(_, version)| *version) != expected
            && let Some((held, version)) = known.cloned()
        {
            return ClaimResult::Conflict { held, version };
        }
        let executed = self.executed.get(&claim.request_id).copied().unwrap_or(0);
        match claim.outcome {
            ClaimOutcome::Open => {}
            ClaimOutcome::Ran(_) => assert_eq!(executed, 1, "claim ran, but not executed once"),
            ClaimOutcome::Released => assert_eq!(executed, 0, "claim released, but executed"),
        }
        let version = expected.unwrap_or(0) + 1;
        let key = Arc::clone(&claim.request_id);
        self.store.insert(key, (claim.clone(), version));
        ClaimResult::Stored { version }
    }
}
