use std::collections::HashMap;

use crate::RequestKey;

/// Time after the last crash for which a request is suspected.
const SUSPICION_US: u64 = 60_000_000;

/// Time for which a request is blocked; it is suspected after that, so that one replica tries it.
const BLOCK_US: u64 = 60_000_000;

/// Longest time for which other requests with the same key wait for the result of a trial.
const TRIAL_US: u64 = 2_000_000;

/// Time after which a caller may come back while another request with its key is tried.
const TRIAL_RETRY_MS: u64 = 100;

/// Maximum number of keys; further ones are not suspected until others expire.
const KEYS_MAX: usize = 1_024;

/// How a request is treated, given the crashes of replicas under earlier ones with its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashAdmission {
    /// It is not suspected.
    Free,
    /// It must not be sent to a replica; the caller may retry after this time in milliseconds.
    Refused {
        /// Time after which the caller may retry.
        retry_after_ms: u64,
    },
    /// It may be sent to one replica; the result must be reported.
    Trial,
}

/// How strongly a request is suspected, the stronger state first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Suspicion {
    /// A replica crashed under it, and another one that it was sent to after that.
    Blocked,
    /// A replica crashed under it; others were running there too, perhaps.
    Suspected,
}

/// The suspicion of a request, as a node reports it to other nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SuspicionReport {
    /// Key of the request.
    pub key: RequestKey,
    /// Time for which the suspicion still lasts.
    pub remaining_ms: u64,
    /// How strongly it is suspected.
    pub suspicion: Suspicion,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    expires_us: u64,
    /// Time at which this node learned of the first crash.
    since_us: u64,
    suspicion: Suspicion,
    /// Time until which a trial may last; `None` if there is none.
    trial_until_us: Option<u64>,
}

/// Requests that may crash the replicas that run them, by key.
///
/// A replica that crashes takes all its requests down, so one crash only makes their keys suspects:
/// the next request with such a key is tried on one replica. If this replica crashes too, further
/// ones are refused before any replica is asked. What counts is the order: several replicas that
/// crash under the parts of one gather, or in one outage, are one event.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    by_key: HashMap<RequestKey, Suspect>,
}

impl CrashSuspects {
    /// Returns whether no request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Records that a replica crashed under a request that was sent to it at `sent_us`; returns
    /// the suspicion of its key if it is new or stronger.
    pub fn record_crash(
        &mut self,
        now_us: u64,
        key: RequestKey,
        sent_us: u64,
    ) -> Option<SuspicionReport> {
        self.sweep(now_us);
        let suspicion = match self.by_key.get_mut(&key) {
            None => self.insert(now_us, key, Suspicion::Suspected)?,
            Some(suspect)
                if suspect.suspicion == Suspicion::Suspected && sent_us > suspect.since_us =>
            {
                suspect.block(now_us);
                Suspicion::Blocked
            }
            Some(_) => return None,
        };
        let expires_us = self.by_key.get(&key)?.expires_us;
        Some(SuspicionReport {
            key,
            remaining_ms: (expires_us - now_us) / 1_000,
            suspicion,
        })
    }

    /// Records a suspicion that another node reports; returns whether it is new to this node.
    pub fn learn(&mut self, now_us: u64, report: SuspicionReport) -> bool {
        self.sweep(now_us);
        let SuspicionReport { key, suspicion, .. } = report;
        let newer = match self.by_key.get(&key) {
            Some(known) => {
                suspicion == Suspicion::Blocked && known.suspicion == Suspicion::Suspected
            }
            None => self.insert(now_us, key, suspicion).is_some(),
        };
        if newer && let Some(suspect) = self.by_key.get_mut(&key) {
            if suspicion == Suspicion::Blocked {
                suspect.block(now_us);
            }
            // Passed on from node to node, a suspicion must not last longer than the first one.
            let remaining_us = report.remaining_ms.saturating_mul(1_000);
            suspect.expires_us = suspect.expires_us.min(now_us.saturating_add(remaining_us));
        }
        newer
    }

    /// Returns the suspicions of this node, blocked requests first.
    #[must_use]
    pub fn reports(&self, now_us: u64) -> Vec<SuspicionReport> {
        let current = self
            .by_key
            .iter()
            .filter(|(_, suspect)| now_us < suspect.expires_us);
        let mut reports: Vec<SuspicionReport> = current
            .map(|(key, suspect)| SuspicionReport {
                key: *key,
                remaining_ms: (suspect.expires_us - now_us) / 1_000,
                suspicion: suspect.suspicion,
            })
            .collect();
        reports.sort_by_key(|report| (report.suspicion, report.key));
        reports
    }

    /// Decides how a request is treated; [`CrashAdmission::Trial`] begins a trial.
    pub fn admit(&mut self, now_us: u64, key: RequestKey) -> CrashAdmission {
        self.sweep(now_us);
        let Some(suspect) = self.by_key.get_mut(&key) else {
            return CrashAdmission::Free;
        };
        if suspect.suspicion == Suspicion::Blocked {
            let retry_after_ms = (suspect.expires_us - now_us) / 1_000;
            return CrashAdmission::Refused { retry_after_ms };
        }
        if suspect
            .trial_until_us
            .is_some_and(|until_us| now_us < until_us)
        {
            return CrashAdmission::Refused {
                retry_after_ms: TRIAL_RETRY_MS,
            };
        }
        suspect.trial_until_us = Some(now_us + TRIAL_US);
        CrashAdmission::Trial
    }

    /// Ends a trial; a request that its replica answered is no longer suspected.
    pub fn end_trial(&mut self, key: RequestKey, passed: bool) {
        let Some(suspect) = self.by_key.get_mut(&key) else {
            return;
        };
        suspect.trial_until_us = None;
        if passed && suspect.suspicion == Suspicion::Suspected {
            self.by_key.remove(&key);
        }
    }

    fn insert(&mut self, now_us: u64, key: RequestKey, suspicion: Suspicion) -> Option<Suspicion> {
        if self.by_key.len() >= KEYS_MAX {
            return None;
        }
        let mut suspect = Suspect {
            expires_us: now_us + SUSPICION_US,
            since_us: now_us,
            suspicion,
            trial_until_us: None,
        };
        if suspicion == Suspicion::Blocked {
            suspect.block(now_us);
        }
        self.by_key.insert(key, suspect);
        Some(suspicion)
    }

    /// Forgets expired suspects; a key that was blocked is suspected for a time.
    fn sweep(&mut self, now_us: u64) {
        self.by_key.retain(|_, suspect| {
            if now_us < suspect.expires_us {
                return true;
            }
            let was_blocked = suspect.suspicion == Suspicion::Blocked;
            suspect.suspicion = Suspicion::Suspected;
            suspect.since_us = now_us;
            suspect.expires_us = now_us + SUSPICION_US;
            was_blocked
        });
    }
}

impl Suspect {
    const fn block(&mut self, now_us: u64) {
        self.expires_us = now_us + BLOCK_US;
        self.suspicion = Suspicion::Blocked;
        self.trial_until_us = None;
    }
}
