//! Writes the states of rollouts to the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use tokio::time;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::decode_object;
use wigeonhall_adapter::decode_rollout;
use wigeonhall_adapter::encode_rollout_status;
use wigeonhall_adapter::object_path;
use wigeonhall_adapter::status_path;
use wigeonhall_dispatch::Rollout;
use wigeonhall_dispatch::RolloutNews;
use wigeonhall_dispatch::RolloutState;
use wigeonhall_dispatch::RolloutStatus;
use wigeonhall_dispatch::ServiceKey;

use crate::peers::rollout_reports;
use crate::process::event::Event;
use crate::process::node_state::NodeState;
use crate::store::store_call::CallPurpose;
use crate::store::store_call::StoreCall;
use crate::store::store_client::StoreClient;
use crate::store::store_client::StoreError;

/// Timeout of one call; a lost answer leaves time for another call before the end of a rollout.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Mean pause after the first failed write; doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Writes of one task; the coordinator starts another one with its next report.
const WRITES_MAX: u32 = 6;

/// Has a state of a service's rollout written, unless the store holds it or a final one.
pub(crate) fn write(shared: &Rc<NodeState>, service: ServiceKey, state: RolloutState) {
    let pool = shared.pool.borrow();
    let Some(rollout) = pool.rollout(service) else {
        return;
    };
    let name = rollout.rollout.service.clone();
    let target_version = rollout.rollout.target_version.clone();
    if !is_due(&rollout.rollout, &target_version, state) {
        return;
    }
    drop(pool);
    let writer = StatusWriter {
        client: StoreClient::new(shared),
        name,
        service,
        shared: shared.clone(),
        state,
        target_version,
    };
    rollout_reports::spawn_writer(shared, service, writer.run());
}

/// Whether the state of a rollout is still to be written.
fn is_due(rollout: &Rollout, target_version: &str, state: RolloutState) -> bool {
    *rollout.target_version == *target_version
        && match rollout.state() {
            None => true,
            Some(RolloutState::Running) => state.is_final(),
            Some(RolloutState::RolledBack | RolloutState::Succeeded) => false,
        }
}

struct StatusWriter {
    client: StoreClient,
    /// Name of the object, which is that of the service.
    name: Arc<str>,
    service: ServiceKey,
    shared: Rc<NodeState>,
    state: RolloutState,
    target_version: Arc<str>,
}

impl StatusWriter {
    /// Writes `running` if the object has no state, and then the state, each on the condition that
    /// the object has not changed.
    async fn run(mut self) {
        let mut pause = RETRY_PAUSE;
        for _ in 0..WRITES_MAX {
            let Some((revision, next)) = self.next_state() else {
                return;
            };
            let outcome = match self.put(revision, next).await {
                Ok(()) => "written",
                Err(error) => {
                    log::warn!("cannot write a rollout: {error}");
                    time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
                    pause *= 2;
                    self.read_after(&error).await
                }
            };
            self.log(outcome, next);
        }
    }

    /// Returns the revision of the newest known object and the state to write there; `None` if
    /// nothing is to be written.
    fn next_state(&self) -> Option<(u64, RolloutState)> {
        let pool = self.shared.pool.borrow();
        let known = pool.rollout(self.service)?;
        if !is_due(&known.rollout, &self.target_version, self.state) {
            return None;
        }
        let next = match known.rollout.state() {
            None => RolloutState::Running,
            Some(_) => self.state,
        };
        Some((known.revision, next))
    }

    async fn put(&mut self, revision: u64, state: RolloutState) -> Result<(), StoreError> {
        let status = RolloutStatus {
            state,
            target_version: self.target_version.clone(),
        };
        let body = encode_rollout_status(&self.name, &status, revision);
        let path = status_path(Collection::Rollouts, &self.name, revision);
        let response = self
            .client
            .write(Collection::Rollouts, Method::PUT, &path, body, CALL_TIMEOUT)
            .await?;
        self.apply(&response.body)
    }

    /// Reads the object after a conflict or a lost answer, as it shows which state stands; returns
    /// the outcome of the write for the log.
    async fn read_after(&mut self, error: &StoreError) -> &'static str {
        let (outcome, reads) = match error {
            StoreError::Status(StatusCode::CONFLICT) => ("conflict", true),
            StoreError::Status(_) => ("refused", false),
            _ => ("unknown", true),
        };
        if reads && let Err(error) = self.read().await {
            log::warn!("cannot read a rollout: {error}");
        }
        outcome
    }

    async fn read(&mut self) -> Result<(), StoreError> {
        let path = object_path(Collection::Rollouts, &self.name);
        let call = StoreCall {
            collection: Collection::Rollouts,
            purpose: CallPurpose::Read,
        };
        let response = self.client.get(call, &path, CALL_TIMEOUT).await?;
        self.apply(&response.body)
    }

    fn apply(&self, body: &[u8]) -> Result<(), StoreError> {
        let object = decode_object(body).map_err(StoreError::Decode)?;
        let rollout = decode_rollout(&object).map_err(StoreError::Decode)?;
        let now_us = self.shared.clock.now_us();
        let mut pool = self.shared.pool.borrow_mut();
        if pool.apply_rollout(now_us, rollout, object.revision, RolloutNews::Current) {
            self.shared.rollouts.forget(self.service);
        }
        Ok(())
    }

    fn log(&self, outcome: &str, state: RolloutState) {
        let pool = self.shared.pool.borrow();
        let known = pool.rollout(self.service);
        let revision = known.map_or(0, |rollout| rollout.revision);
        let stands = known.and_then(|rollout| rollout.rollout.state());
        self.shared.log(&Event::RolloutStatus {
            outcome,
            revision,
            service: &self.name,
            stands: stands.map(RolloutState::label),
            state: state.label(),
            target_version: &self.target_version,
        });
    }
}
