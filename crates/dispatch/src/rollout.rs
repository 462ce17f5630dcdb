use std::sync::Arc;

/// Limits of a rollout, which operators set for a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// Share of the requests to a service that a bad version may get from all nodes together.
    pub exposure_share: f64,
    /// Requests that a bad version may get from all nodes together in addition to the share.
    pub exposure_slack: f64,
    /// Time after the 50th bad response from which a bad version may get no request.
    pub rollback_ms: u64,
}

/// State of a rollout in the store, written by this tier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutState {
    /// Some requests go to the target version.
    Running,
    /// All requests go to the earlier version; final.
    RolledBack,
    /// All requests go to the target version; final.
    Succeeded,
}

impl RolloutState {
    /// Returns the name in log lines.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::RolledBack => "rolled_back",
            Self::Running => "running",
            Self::Succeeded => "succeeded",
        }
    }

    /// Returns whether the rollout has ended.
    #[must_use]
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::Running)
    }
}

/// Status of a rollout in the store, for one target version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutStatus {
    /// State of the rollout.
    pub state: RolloutState,
    /// Version that the state is about; another one than the rollout's if that was replaced.
    pub target_version: Arc<str>,
}

/// A rollout that operators requested: the traffic of a service moves to the replicas of another
/// version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rollout {
    /// Time after the request by which the final state must be written.
    pub duration_ms: u64,
    /// Name of the service.
    pub service: Arc<str>,
    /// Newest status in the store; `None` before the first.
    pub status: Option<RolloutStatus>,
    /// Version that the traffic moves to.
    pub target_version: Arc<str>,
}

impl Rollout {
    /// Returns the state in the store, if it is about this rollout's target version.
    #[must_use]
    pub fn state(&self) -> Option<RolloutState> {
        let status = self.status.as_ref()?;
        (status.target_version == self.target_version).then_some(status.state)
    }

    /// Returns the version to which an earlier rollout of the service moved the traffic, as far as
    /// the status still names it.
    #[must_use]
    pub fn earlier_version(&self) -> Option<&Arc<str>> {
        let status = self.status.as_ref()?;
        let earlier = status.target_version != self.target_version;
        (earlier && status.state == RolloutState::Succeeded).then_some(&status.target_version)
    }
}
