use std::sync::Arc;

use crate::RolloutPhase;
use crate::ServiceRollout;

/// Whether replicas of a version get requests of this node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum VersionRole {
    /// The version gets requests.
    #[default]
    Allowed,
    /// The version gets the requests that the exposure credit of its rollout allows.
    Trial,
    /// Neither a rollout nor an earlier state of the service allows the version.
    Withheld,
}

/// Versions of a service that get requests.
#[derive(Debug, Default)]
pub(crate) struct ServiceVersions {
    /// Version that got all requests before the newest rollout, or since its success; `None` until
    /// a replica is known.
    pub(crate) earlier: Option<Arc<str>>,
    /// Newest rollout of the service.
    pub(crate) rollout: Option<ServiceRollout>,
}

impl ServiceVersions {
    /// Returns the role of a version.
    pub(crate) fn role(&self, version: &Arc<str>) -> VersionRole {
        let earlier = self.earlier.as_ref().is_none_or(|known| known == version);
        let Some(rollout) = &self.rollout else {
            return if earlier {
                VersionRole::Allowed
            } else {
                VersionRole::Withheld
            };
        };
        let target = rollout.rollout.target_version == *version;
        match rollout.phase {
            RolloutPhase::Moving | RolloutPhase::Succeeded if target => VersionRole::Allowed,
            RolloutPhase::Moving | RolloutPhase::Succeeded => VersionRole::Withheld,
            RolloutPhase::Trial if target && self.earlier.as_ref() != Some(version) => {
                VersionRole::Trial
            }
            RolloutPhase::RolledBack | RolloutPhase::Stopped
                if target && self.earlier.as_ref() != Some(version) =>
            {
                VersionRole::Withheld
            }
            RolloutPhase::RolledBack | RolloutPhase::Stopped | RolloutPhase::Trial if earlier => {
                VersionRole::Allowed
            }
            RolloutPhase::RolledBack | RolloutPhase::Stopped | RolloutPhase::Trial => {
                VersionRole::Withheld
            }
        }
    }
}
