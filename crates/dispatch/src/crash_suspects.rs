use std::collections::HashMap;

use crate::CrashEvidence;
use crate::RequestKey;
use crate::Suspicion;
use crate::SuspicionReport;
use crate::answered_requests::AnsweredRequests;

/// Time after the last crash for which a request is suspected.
const SUSPICION_US: u64 = 60_000_000;

/// Longest time for which other requests with the same key wait for the result of a trial.
const TRIAL_US: u64 = 2_000_000;

/// Time after which a caller may come back while another request with its key is tried.
const TRIAL_RETRY_MS: u64 = 100;

/// Available replicas of a service of which one may be risked for a request.
const TRIAL_REPLICAS_MIN: usize = 2;

/// The same for a request that was answered before, for which the only replica may be risked: it is
/// likely to be served, and would be refused while the service has no other one.
const ANSWERED_TRIAL_REPLICAS_MIN: usize = 1;

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
    Trial {
        /// Available replicas that the service must have, one of which is risked.
        replicas_min: usize,
    },
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    evidence: CrashEvidence,
    expires_us: u64,
    /// Time at which this node learned of the newest crash that counts, or the end of the last block.
    since_us: u64,
    suspicion: Suspicion,
    /// Time until which a trial may last; `None` if there is none.
    trial_until_us: Option<u64>,
}

/// Requests that may crash the replicas that run them, by key.
///
/// A replica that crashes takes all its requests down, so one crash only makes their keys suspects:
/// the next request with such a key is tried on one replica. If this replica crashes too, further
/// ones are refused before any replica is asked, unless the key was answered shortly before: then one
/// more is tried, and the first block is short. What counts is the order: several replicas that crash
/// under the parts of one gather, or in one outage, are one event.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    answered: AnsweredRequests,
    by_key: HashMap<RequestKey, Suspect>,
}

impl CrashSuspects {
    /// Returns whether no request is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Records that replicas answered a whole request successfully.
    pub fn record_answer(&mut self, now_us: u64, key: RequestKey) {
        self.answered.insert(now_us, key);
        if let Some(suspect) = self.by_key.get_mut(&key) {
            suspect.record_answer(now_us);
        }
    }

    /// Records that a replica crashed under a request that was sent to it at `sent_us`; returns
    /// the suspicion of its key if the crash counts.
    pub fn record_crash(
        &mut self,
        now_us: u64,
        key: RequestKey,
        sent_us: u64,
    ) -> Option<SuspicionReport> {
        self.sweep(now_us);
        match self.by_key.get_mut(&key) {
            None => self.insert(now_us, key, 1)?,
            Some(suspect) if !suspect.is_blocked() && sent_us > suspect.since_us => {
                let crashes = suspect.evidence.crashes.saturating_add(1);
                suspect.count(now_us, crashes);
                suspect.block_if_due(now_us);
            }
            Some(_) => return None,
        }
        self.report(now_us, key)
    }

    /// Records a suspicion that another node reports; returns whether this node learned anything.
    pub fn learn(&mut self, now_us: u64, report: SuspicionReport) -> bool {
        self.sweep(now_us);
        let SuspicionReport { evidence, key, .. } = report;
        let known = self.by_key.get(&key).map(|suspect| suspect.evidence);
        if known.is_none() && self.insert(now_us, key, evidence.crashes).is_none() {
            return false;
        }
        let Some(suspect) = self.by_key.get_mut(&key) else {
            return false;
        };
        let is_answer_new = evidence.answered && !suspect.evidence.answered;
        if evidence.answered {
            suspect.record_answer(now_us);
        }
        let more_crashes = known.is_none_or(|known| evidence.crashes > known.crashes);
        if more_crashes {
            suspect.count(now_us, evidence.crashes);
            if report.suspicion == Suspicion::Blocked {
                suspect.block_if_due(now_us);
            }
            // Passed on from node to node, a suspicion must not last longer than the first one.
            let remaining_us = report.remaining_ms.saturating_mul(1_000);
            suspect.expires_us = suspect.expires_us.min(now_us.saturating_add(remaining_us));
        }
        more_crashes || is_answer_new
    }

    /// Returns the suspicion of a key; `None` if it is not suspected.
    #[must_use]
    pub fn report(&self, now_us: u64, key: RequestKey) -> Option<SuspicionReport> {
        let suspect = self.by_key.get(&key)?;
        let remaining_us = suspect.expires_us.checked_sub(now_us)?;
        Some(SuspicionReport {
            evidence: suspect.evidence,
            key,
            remaining_ms: remaining_us / 1_000,
            suspicion: suspect.suspicion,
        })
    }

    /// Returns the suspicions of this node, blocked requests first.
    #[must_use]
    pub fn reports(&self, now_us: u64) -> Vec<SuspicionReport> {
        let keys = self.by_key.keys();
        let mut reports: Vec<SuspicionReport> =
            keys.filter_map(|key| self.report(now_us, *key)).collect();
        reports.sort_by_key(|report| (report.suspicion, report.key));
        reports
    }

    /// Decides how a request is treated; [`CrashAdmission::Trial`] begins a trial.
    pub fn admit(&mut self, now_us: u64, key: RequestKey) -> CrashAdmission {
        self.sweep(now_us);
        let Some(suspect) = self.by_key.get_mut(&key) else {
            return CrashAdmission::Free;
        };
        if suspect.is_blocked() {
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
        let replicas_min = if suspect.evidence.answered {
            ANSWERED_TRIAL_REPLICAS_MIN
        } else {
            TRIAL_REPLICAS_MIN
        };
        CrashAdmission::Trial { replicas_min }
    }

    /// Ends a trial; a request that its replica answered is no longer suspected.
    pub fn end_trial(&mut self, key: RequestKey, passed: bool) {
        let Some(suspect) = self.by_key.get_mut(&key) else {
            return;
        };
        suspect.trial_until_us = None;
        if passed && !suspect.is_blocked() {
            self.by_key.remove(&key);
        }
    }

    /// Adds a suspect; `None` if there are too many.
    fn insert(&mut self, now_us: u64, key: RequestKey, crashes: u32) -> Option<()> {
        if self.by_key.len() >= KEYS_MAX {
            return None;
        }
        let answered = self.answered.contains(now_us, key);
        let suspect = Suspect {
            evidence: CrashEvidence { answered, crashes },
            expires_us: now_us + SUSPICION_US,
            since_us: now_us,
            suspicion: Suspicion::Suspected,
            trial_until_us: None,
        };
        self.by_key.insert(key, suspect);
        Some(())
    }

    /// Forgets expired suspects; a key that was blocked is suspected for a time.
    fn sweep(&mut self, now_us: u64) {
        self.by_key.retain(|_, suspect| {
            if now_us < suspect.expires_us {
                return true;
            }
            let was_blocked = suspect.is_blocked();
            suspect.suspicion = Suspicion::Suspected;
            suspect.since_us = suspect.expires_us;
            suspect.expires_us = now_us + SUSPICION_US;
            was_blocked
        });
    }
}

impl Suspect {
    fn is_blocked(&self) -> bool {
        self.suspicion == Suspicion::Blocked
    }

    /// Sets the number of crashes, of which the newest one has just become known.
    const fn count(&mut self, now_us: u64, crashes: u32) {
        self.evidence.crashes = crashes;
        self.since_us = now_us;
    }

    /// Records that the request was answered; a block that does not fit this evidence is lifted.
    fn record_answer(&mut self, now_us: u64) {
        let is_new = !self.evidence.answered;
        self.evidence.answered = true;
        if is_new && self.is_blocked() {
            self.suspicion = Suspicion::Suspected;
            self.expires_us = now_us + SUSPICION_US;
            self.block_if_due(now_us);
        }
    }

    fn block_if_due(&mut self, now_us: u64) {
        if let Some(block_us) = self.evidence.block_us() {
            self.expires_us = now_us + block_us;
            self.suspicion = Suspicion::Blocked;
            self.trial_until_us = None;
        }
    }
}
