//! Status of the node for operators.

use std::sync::Arc;

use crate::engine::Engine;
use wigeonhall_burn::BurnSample;
use wigeonhall_fleet::MemberState as FleetMemberState;
use wigeonhall_fleet::MemberView;
use wigeonhall_protocol::MemberState;
use wigeonhall_protocol::MemberStatus;
use wigeonhall_protocol::NodeStatus;
use wigeonhall_protocol::ReplicaStatus;
use wigeonhall_types::ReplicaState;

impl Engine {
    /// Returns the status; `brief` omits members and replicas.
    pub(crate) fn status(&self, brief: bool) -> NodeStatus {
        let now_us = self.clock.now_us();
        let config = self.config.as_ref();
        NodeStatus {
            boot: Arc::from(format!("{:016x}", self.boot)),
            change_id: config.map(|config| Arc::clone(&config.change_id)),
            data_centre: Arc::clone(&self.data_centre),
            generation: self.deployment.generation,
            members: if brief { Vec::new() } else { self.members() },
            name: Arc::clone(&self.name),
            not_ready: self.readiness.reason().map(Arc::from),
            overrides: self.fleet.evacuations(),
            replicas: if brief {
                Vec::new()
            } else {
                self.replicas(now_us)
            },
        }
    }

    pub(crate) fn burn_sample(&mut self) -> BurnSample {
        let now_us = self.clock.now_us();
        self.burn.sample(now_us, &self.name, &self.catalog)
    }

    fn members(&self) -> Vec<MemberStatus> {
        let own = MemberStatus {
            name: Arc::clone(&self.name),
            state: MemberState::Alive,
        };
        let others = self.fleet.members().into_iter().map(|view| MemberStatus {
            name: self.catalog.node_name(view.node),
            state: member_state(view),
        });
        let mut members: Vec<MemberStatus> = std::iter::once(own).chain(others).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    fn replicas(&self, now_us: u64) -> Vec<ReplicaStatus> {
        let replica_loads = self.gate.replica_loads(now_us).into_iter();
        let replicas = replica_loads.map(|load| ReplicaStatus {
            allowance: load.allowance,
            epoch: load.report.epoch,
            expected_wait_us: load.report.expected_wait_us,
            name: self.catalog.replica_name(load.replica),
            reason: state_reason(load.report.state),
            running: load.running,
            slots: load.slots,
            state: load.report.state,
            waiting: load.waiting,
        });
        let mut replicas: Vec<ReplicaStatus> = replicas.collect();
        replicas.sort_by(|a, b| a.name.cmp(&b.name));
        replicas
    }
}

fn member_state(view: MemberView) -> MemberState {
    if view.leaving {
        return MemberState::Leaving;
    }
    match view.state {
        FleetMemberState::Alive => MemberState::Alive,
        FleetMemberState::Dead => MemberState::Dead,
        FleetMemberState::Suspect | FleetMemberState::Unknown => MemberState::Suspect,
    }
}

/// Returns why a replica is in `state`; `None` if it is warm.
pub(crate) fn state_reason(state: ReplicaState) -> Option<Arc<str>> {
    let reason = match state {
        ReplicaState::Cold => "restarted, new to its owner, or much slower than before",
        ReplicaState::Leaving => "the target drains",
        ReplicaState::Out => "taken out by operators",
        ReplicaState::Unreachable => "the target does not accept connections or reply",
        ReplicaState::Warm => return None,
    };
    Some(Arc::from(reason))
}
