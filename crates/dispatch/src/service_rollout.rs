use std::sync::Arc;

use crate::Replica;
use crate::Reply;
use crate::RequestCounts;
use crate::Rollout;
use crate::RolloutAnswer;
use crate::RolloutBounds;
use crate::RolloutOrder;
use crate::RolloutState;
use crate::RolloutTotals;
use crate::exposure_credit::ExposureCredit;
use crate::rollout_evidence::ROLLOUT_EPOCHS;
use crate::rollout_evidence::bucket_of;
use crate::rollout_verdict::judge;

/// Divisor of the rollback time; a node that did not reach the coordinator for the quotient sends
/// no request to the target version. It would not learn that the version is bad.
const CONTACT_DIVISOR: u64 = 2;

/// Time after an answer of the coordinator for which a node sends more than its own share to the
/// target version: that of about three reports.
const COORDINATOR_SHARE_LIFE_US: u64 = 1_500_000;

/// Which versions a node sends requests to during a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutPhase {
    /// The target version gets all requests, before this is final.
    Moving,
    /// The earlier version gets all requests; final.
    RolledBack,
    /// The earlier version gets all requests, before this is final.
    Stopped,
    /// The target version gets all requests; final.
    Succeeded,
    /// The target version gets a limited share of the requests.
    Trial,
}

impl RolloutPhase {
    /// Returns the name in log lines.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Moving => "moving",
            Self::RolledBack => "rolled_back",
            Self::Stopped => "stopped",
            Self::Succeeded => "succeeded",
            Self::Trial => "trial",
        }
    }

    /// Returns the final state, if the rollout has ended.
    #[must_use]
    pub const fn final_state(self) -> Option<RolloutState> {
        match self {
            Self::Moving | Self::Stopped | Self::Trial => None,
            Self::RolledBack => Some(RolloutState::RolledBack),
            Self::Succeeded => Some(RolloutState::Succeeded),
        }
    }
}

/// A node's state of the rollout of one service.
#[derive(Debug)]
pub struct ServiceRollout {
    /// Time of the request of the rollout, as far as this node or the coordinator knows.
    pub(crate) began_us: u64,
    /// Limits of the rollout.
    bounds: RolloutBounds,
    /// Time at which the coordinator last answered a report of this node.
    contact_us: u64,
    /// Requests of this node since the request of the rollout.
    pub counts: RequestCounts,
    /// Probability, stated by the coordinator, of a request to the target version in addition to
    /// the credit.
    coordinator_share: f64,
    /// Requests that this node may send to the target version.
    pub(crate) credit: ExposureCredit,
    /// Which versions this node sends requests to.
    pub phase: RolloutPhase,
    /// Newest known revision of the object in the store.
    pub revision: u64,
    /// Newest known object in the store.
    pub rollout: Rollout,
    /// Responses to this node's requests.
    pub totals: RolloutTotals,
}

impl ServiceRollout {
    pub(crate) fn new(
        now_us: u64,
        rollout: Rollout,
        revision: u64,
        bounds: RolloutBounds,
        credit: ExposureCredit,
    ) -> Self {
        let phase = match rollout.state() {
            None | Some(RolloutState::Running) => RolloutPhase::Trial,
            Some(RolloutState::RolledBack) => RolloutPhase::RolledBack,
            Some(RolloutState::Succeeded) => RolloutPhase::Succeeded,
        };
        Self {
            began_us: now_us,
            bounds,
            contact_us: now_us,
            counts: RequestCounts::default(),
            coordinator_share: 0.0,
            credit,
            phase,
            revision,
            rollout,
            totals: RolloutTotals::default(),
        }
    }

    /// Returns the time since the request of the rollout.
    #[must_use]
    pub const fn elapsed_ms(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.began_us) / 1_000
    }

    /// Returns whether the final state is still to be written.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.rollout.state().is_some_and(RolloutState::is_final)
    }

    /// Returns the probability of a request to the target version in addition to the credit.
    pub(crate) const fn coordinator_share(&self, now_us: u64) -> f64 {
        if now_us.saturating_sub(self.contact_us) < COORDINATOR_SHARE_LIFE_US {
            self.coordinator_share
        } else {
            0.0
        }
    }

    /// Whether a request may be sent to a replica of the target version now; `extra` if it is one
    /// of those that the coordinator allows in addition to the credit.
    pub(crate) const fn allows_trial(&self, now_us: u64, extra: bool) -> bool {
        let silent_us = now_us.saturating_sub(self.contact_us);
        let in_contact = silent_us < self.bounds.rollback_ms * 1_000 / CONTACT_DIVISOR;
        let in_time = self.elapsed_ms(now_us) < self.rollout.duration_ms;
        in_contact && in_time && (extra || self.credit.allows())
    }

    fn elapsed_fraction(&self, now_us: u64) -> f64 {
        self.elapsed_ms(now_us) as f64 / self.rollout.duration_ms.max(1) as f64
    }

    /// Counts a request that is sent to a replica of `version`.
    pub(crate) fn count_request(&mut self, version: &str) {
        self.counts.all += 1;
        self.credit.earn();
        if *version == *self.rollout.target_version {
            self.counts.to_target += 1;
            self.credit.charge();
        }
    }

    /// Counts the end of a request; `reply` is `None` if its response was no longer needed.
    pub(crate) fn count_reply(
        &mut self,
        now_us: u64,
        sent_us: u64,
        replica: &Replica,
        route: &Arc<str>,
        reply: Option<Reply>,
    ) {
        // A request sent before the rollout says nothing about it.
        if self.phase.final_state().is_some() || sent_us < self.began_us {
            return;
        }
        let bad = match reply {
            // Statuses that the request itself causes are as frequent at both versions.
            Some(Reply::Failed { .. } | Reply::Unknown(_)) => true,
            Some(Reply::NotRun(_)) => return,
            Some(Reply::Success) | None => false,
        };
        let epoch = self.elapsed_fraction(sent_us) * f64::from(ROLLOUT_EPOCHS);
        let stratum = (route.clone(), (epoch as u8).min(ROLLOUT_EPOCHS - 1));
        let pair = self.totals.by_stratum.entry(stratum).or_default();
        let sample = if replica.registration.version == self.rollout.target_version {
            &mut pair.new
        } else {
            &mut pair.old
        };
        if bad {
            sample.bad += 1;
        } else if replica.is_cold(sent_us) {
            sample.good_cold += 1;
        } else {
            let bucket = bucket_of(now_us.saturating_sub(sent_us));
            *sample.good.entry(bucket).or_default() += 1;
        }
    }

    /// Takes in a newer object of the same rollout.
    pub(crate) fn update(&mut self, rollout: Rollout, revision: u64) {
        self.revision = revision;
        match rollout.state() {
            None | Some(RolloutState::Running) => {}
            Some(RolloutState::RolledBack) => self.phase = RolloutPhase::RolledBack,
            Some(RolloutState::Succeeded) => self.phase = RolloutPhase::Succeeded,
        }
        self.rollout = rollout;
    }

    /// Applies the coordinator's answer to a report.
    pub(crate) fn apply_answer(&mut self, now_us: u64, answer: RolloutAnswer) {
        self.contact_us = now_us;
        self.coordinator_share = answer.coordinator_share;
        self.advance(now_us, answer.elapsed_ms);
        self.phase = match (self.phase, answer.order) {
            (RolloutPhase::RolledBack | RolloutPhase::Succeeded, _) => self.phase,
            (_, RolloutOrder::Move) => RolloutPhase::Moving,
            (_, RolloutOrder::Stop) | (RolloutPhase::Stopped, RolloutOrder::Try) => {
                RolloutPhase::Stopped
            }
            (_, RolloutOrder::Try) => RolloutPhase::Trial,
        };
    }

    /// Takes in the time since the request of the rollout that another node knows.
    pub(crate) fn advance(&mut self, now_us: u64, elapsed_ms: u64) {
        let began_us = now_us.saturating_sub(elapsed_ms.saturating_mul(1_000));
        self.began_us = self.began_us.min(began_us);
    }

    /// Stops sending to the target version if this node's own responses show that it is bad;
    /// returns the reason.
    pub(crate) fn stop_if_bad(&mut self) -> Option<String> {
        if !matches!(self.phase, RolloutPhase::Moving | RolloutPhase::Trial) {
            return None;
        }
        let verdict = judge(&self.totals);
        verdict.bad.then(|| {
            self.phase = RolloutPhase::Stopped;
            verdict.reason
        })
    }
}
