use std::sync::Arc;

use crate::Pool;
use crate::ReplicaKey;
use crate::Reply;
use crate::Rollout;
use crate::RolloutAnswer;
use crate::RolloutBounds;
use crate::RolloutPhase;
use crate::ServiceKey;
use crate::ServiceRollout;
use crate::exposure_credit::ExposureCredit;
use crate::service_versions::VersionRole;

/// Where a rollout was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutNews {
    /// In the store or a message of a peer.
    Current,
    /// In the first list of a store that was restored from an older copy.
    Restored,
}

/// Decides which versions of a service get requests.
impl Pool {
    /// Sets the limits of rollouts; without them all versions get requests.
    pub const fn set_rollout_bounds(&mut self, bounds: Option<RolloutBounds>) {
        self.rollout_bounds = bounds;
    }

    /// Applies a rollout that the store holds at a revision; returns whether it changes the
    /// versions that get requests.
    pub fn apply_rollout(
        &mut self,
        now_us: u64,
        rollout: Rollout,
        revision: u64,
        news: RolloutNews,
    ) -> bool {
        let Some(bounds) = self.rollout_bounds else {
            return false;
        };
        let service = self.service_key(&rollout.service);
        if let Some(known) = self.rollout_mut(service) {
            let restored = news == RolloutNews::Restored;
            if revision < known.revision && !restored {
                return false;
            }
            let same = known.rollout.target_version == rollout.target_version;
            // A final state that a restored store lacks still holds, and is written again.
            let ended = known.phase.final_state().is_some() && !restored;
            let requested_again =
                ended && !rollout.state().is_some_and(crate::RolloutState::is_final);
            if same && !requested_again {
                let former = known.phase;
                known.update(rollout, revision);
                let changed = known.phase != former;
                self.update_version_roles(service);
                return changed;
            }
        }
        self.begin_rollout(now_us, service, rollout, revision, bounds);
        true
    }

    fn begin_rollout(
        &mut self,
        now_us: u64,
        service: ServiceKey,
        rollout: Rollout,
        revision: u64,
        bounds: RolloutBounds,
    ) {
        let start = self.rng.f64();
        let entry = &mut self.services[service.0 as usize];
        let credit = ExposureCredit::new(bounds, start);
        if let Some(earlier) = rollout.earlier_version() {
            entry.versions.earlier = Some(earlier.clone());
        }
        let state = ServiceRollout::new(now_us, rollout, revision, bounds, credit);
        entry.versions.rollout = Some(state);
        self.update_version_roles(service);
    }

    /// Removes a rollout that the store no longer holds; the version that got the requests last
    /// keeps them.
    pub fn remove_rollout(&mut self, service: &Arc<str>) {
        let Some(service) = self.known_service(service) else {
            return;
        };
        self.services[service.0 as usize].versions.rollout = None;
        self.update_version_roles(service);
    }

    /// Returns the rollout of a service.
    #[must_use]
    pub fn rollout(&self, service: ServiceKey) -> Option<&ServiceRollout> {
        self.services[service.0 as usize].versions.rollout.as_ref()
    }

    fn rollout_mut(&mut self, service: ServiceKey) -> Option<&mut ServiceRollout> {
        self.services[service.0 as usize].versions.rollout.as_mut()
    }

    /// Returns the services whose rollout has no final state in the store.
    #[must_use]
    pub fn open_rollouts(&self) -> Vec<ServiceKey> {
        let keys = (0..self.services.len() as u32).map(ServiceKey);
        keys.filter(|key| self.rollout(*key).is_some_and(ServiceRollout::is_open))
            .collect()
    }

    /// Returns the number of this node's requests in flight at other versions than the target of
    /// the service's rollout.
    #[must_use]
    pub fn earlier_in_flight(&self, service: ServiceKey) -> u32 {
        let Some(rollout) = self.rollout(service) else {
            return 0;
        };
        let target = &rollout.rollout.target_version;
        let replicas = self.replicas_of(service).iter();
        let replicas = replicas.filter_map(|key| self.replica(*key));
        replicas
            .filter(|replica| replica.registration.version != *target)
            .map(|replica| replica.in_flight)
            .sum()
    }

    /// Applies the coordinator's answer to a report about the rollout to `target_version`; returns
    /// the new phase if it changed.
    pub fn apply_rollout_answer(
        &mut self,
        now_us: u64,
        service: ServiceKey,
        target_version: &str,
        answer: RolloutAnswer,
    ) -> Option<RolloutPhase> {
        let rollout = self.rollout_mut(service)?;
        if *rollout.rollout.target_version != *target_version {
            return None;
        }
        let former = rollout.phase;
        rollout.apply_answer(now_us, answer);
        let phase = rollout.phase;
        self.update_version_roles(service);
        (phase != former).then_some(phase)
    }

    /// Takes in the time since the request of the rollout to `target_version` that another node
    /// knows.
    pub fn advance_rollout(
        &mut self,
        now_us: u64,
        service: ServiceKey,
        target_version: &str,
        elapsed_ms: u64,
    ) {
        let Some(rollout) = self.rollout_mut(service) else {
            return;
        };
        if *rollout.rollout.target_version == *target_version {
            rollout.advance(now_us, elapsed_ms);
        }
    }

    /// Returns the key of a service by its name; `None` if it is unknown.
    #[must_use]
    pub fn known_service(&self, name: &str) -> Option<ServiceKey> {
        self.services_by_name.get(name).copied()
    }

    /// Stops sending to the target version of a rollout if this node's own responses show that it
    /// is bad; returns the reason.
    pub fn stop_bad_rollout(&mut self, service: ServiceKey) -> Option<String> {
        let reason = self.rollout_mut(service)?.stop_if_bad()?;
        self.update_version_roles(service);
        Some(reason)
    }

    /// Counts a request that is sent to a replica.
    pub(crate) fn count_version(&mut self, key: ReplicaKey) {
        if self.rollout_bounds.is_none() {
            return;
        }
        let Some(replica) = self.replica(key) else {
            return;
        };
        let (service, version) = (replica.service, replica.registration.version.clone());
        if let Some(rollout) = self.rollout_mut(service) {
            rollout.count_request(&version);
        }
    }

    /// Counts the end of a request of a route that was sent to a replica at `sent_us`, as evidence
    /// for the rollout of its service; `reply` is `None` if the response was no longer needed.
    pub fn observe_version(
        &mut self,
        now_us: u64,
        sent_us: u64,
        key: ReplicaKey,
        route: &Arc<str>,
        reply: Option<Reply>,
    ) {
        let Some(slot) = self.arena.get(key.index as usize) else {
            return;
        };
        let replica = slot.replica.as_ref();
        let Some(replica) = replica.filter(|_| slot.generation == key.generation) else {
            return;
        };
        let service = &mut self.services[replica.service.0 as usize];
        if let Some(rollout) = service.versions.rollout.as_mut() {
            rollout.count_reply(now_us, sent_us, replica, route, reply);
        }
    }

    /// Whether the rollout of a service allows a request to its target version now; `extra` if the
    /// request is one of those that the coordinator allows in addition to the credit.
    pub(crate) fn allows_trial(&self, now_us: u64, service: ServiceKey, extra: bool) -> bool {
        let rollout = self.rollout(service);
        rollout.is_some_and(|rollout| rollout.allows_trial(now_us, extra))
    }

    /// Draws whether a first request is one of those that the coordinator allows in addition to the
    /// credit.
    pub(crate) fn draw_coordinator_share(&mut self, now_us: u64, service: ServiceKey) -> bool {
        let share = self.rollout(service).map(|it| it.coordinator_share(now_us));
        share.is_some_and(|share| share > 0.0 && self.rng.f64() < share)
    }

    /// Derives the versions of all services after a list of replicas.
    pub(crate) fn update_all_version_roles(&mut self) {
        for service in (0..self.services.len() as u32).map(ServiceKey) {
            self.update_version_roles(service);
        }
    }

    /// Derives the version that got the requests before, and the role of each replica.
    pub(crate) fn update_version_roles(&mut self, service: ServiceKey) {
        if self.rollout_bounds.is_none() {
            return;
        }
        self.update_earlier_version(service);
        let entry = &self.services[service.0 as usize];
        for key in entry.replicas.clone() {
            let slot = &mut self.arena[key.index as usize];
            if let Some(replica) = slot.replica.as_mut() {
                replica.role = self.services[service.0 as usize]
                    .versions
                    .role(&replica.registration.version);
            }
        }
    }

    /// The replica that was started first is of the version that got the requests before, unless a
    /// rollout names its version as the target.
    fn update_earlier_version(&mut self, service: ServiceKey) {
        let entry = &self.services[service.0 as usize];
        let rollout = entry.versions.rollout.as_ref();
        let target = rollout.map(|rollout| rollout.rollout.target_version.clone());
        if let Some(rollout) = rollout
            && rollout.phase == RolloutPhase::Succeeded
        {
            self.services[service.0 as usize].versions.earlier = target;
            return;
        }
        let earlier = entry.versions.earlier.clone();
        if earlier.is_some() && earlier != target {
            return;
        }
        let replicas = entry.replicas.iter().filter_map(|key| self.replica(*key));
        let others =
            replicas.filter(|replica| Some(&replica.registration.version) != target.as_ref());
        let oldest = others.min_by_key(|replica| replica.registration.started_unix_ms);
        if let Some(oldest) = oldest {
            let version = oldest.registration.version.clone();
            self.services[service.0 as usize].versions.earlier = Some(version);
        }
    }

    /// Returns the role of the replicas that a request should go to, if there are any: the target
    /// version of a rollout if its credit allows a first request, and the earlier version for
    /// hedges and retries. `None` where there are no rollouts.
    pub(crate) const fn preferred_role(&self, is_first: bool) -> Option<VersionRole> {
        if self.rollout_bounds.is_none() {
            return None;
        }
        Some(if is_first {
            VersionRole::Trial
        } else {
            VersionRole::Allowed
        })
    }
}
