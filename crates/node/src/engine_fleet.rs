//! Carries out the actions of the fleet core, which decides on membership, the owner of each
//! replica and the configuration. Applies configurations and evacuations.

use std::sync::Arc;

use crate::engine::BALANCER_DETECTION_MS;
use crate::engine::Engine;
use crate::engine::EngineInput;
use crate::engine::OWNER_PROPAGATION_MS;
use crate::engine::StopStage;
use wigeonhall_fleet::ConfigRecord;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_fleet::FleetAction;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::NotReadyReason;
use wigeonhall_gate::GateEvent;
use wigeonhall_query::QueryEvent;
use wigeonhall_types::Deployment;

impl Engine {
    pub(crate) fn run_fleet(&mut self, now_us: u64, event: FleetEvent) {
        let mut actions = Vec::new();
        self.fleet
            .handle(now_us, event, &mut self.catalog, &mut actions);
        for action in actions {
            self.perform_fleet_action(action);
        }
    }

    fn perform_fleet_action(&mut self, action: FleetAction) {
        match action {
            FleetAction::AdoptConfig(record) => self.apply_config(record),
            FleetAction::Deployment(deployment) => self.apply_deployment(deployment),
            FleetAction::Grant {
                epoch,
                replica,
                state,
            } => {
                self.trace_grant(epoch, replica, state.is_some());
                self.push_to_gate(GateEvent::Grant {
                    epoch,
                    replica,
                    state,
                });
            }
            FleetAction::LeaseUntil(until_us) => self.push_to_gate(GateEvent::LeaseUntil(until_us)),
            FleetAction::NodeLost(node) => {
                log::warn!(
                    "node {} died, restarted or left the VM list",
                    self.catalog.node_name(node)
                );
                self.pending_inputs
                    .push_back(EngineInput::Query(QueryEvent::NodeLost(node)));
            }
            FleetAction::ReadinessChanged(reason) => self.update_readiness(reason),
            FleetAction::Owners(table) => {
                self.pending_inputs
                    .push_back(EngineInput::Query(QueryEvent::Owners(table)));
            }
            FleetAction::ReadConfig => self.store.read_config(),
            FleetAction::ReadPart(hash) => self.store.read_part(hash),
            FleetAction::ReadTable(data_centre) => {
                let name = self.catalog.data_centre_name(data_centre);
                self.store.read_table(data_centre, &name);
            }
            FleetAction::ReadVmList => self.store.read_vm_list(),
            FleetAction::Revoke {
                epoch,
                replica,
                successor,
            } => {
                self.trace_revoke(epoch, replica, successor);
                self.push_to_gate(GateEvent::Revoke {
                    epoch,
                    replica,
                    successor,
                });
            }
            FleetAction::Send { message, to } => self.peers.gossip(to, message),
            FleetAction::Stopped => {
                if self.stage == StopStage::Leaving {
                    let until_us = self.clock.now_us() + OWNER_PROPAGATION_MS * 1_000;
                    self.stage = StopStage::Draining { until_us };
                }
            }
            FleetAction::WatchConfig(generation) => self.store.watch_config(generation),
            FleetAction::WriteTable {
                data_centre,
                expected_epoch,
                table,
            } => self.store.write_table(data_centre, expected_epoch, table),
        }
    }

    fn push_to_gate(&mut self, event: GateEvent) {
        self.pending_inputs.push_back(EngineInput::Gate(event));
    }

    /// Applies an accepted configuration. If this version of the program cannot parse its text,
    /// the previous configuration stays in force.
    fn apply_config(&mut self, record: ConfigRecord) {
        let text = match self.text_reader.parse(&record.parts) {
            Ok(text) => text,
            Err(error) => {
                log::error!(
                    "cannot apply configuration generation {}: {error}",
                    record.generation
                );
                self.metrics.count("config_unusable");
                return;
            }
        };
        let deployment = wigeonhall_settings::resolve(&text, record.generation, &mut self.catalog);
        log::info!(
            "configuration generation {} by {} (change {}) is in force",
            record.generation,
            record.author,
            record.change_id
        );
        self.config = Some(record);
        let event = FleetEvent::Deployment(Arc::new(deployment));
        self.pending_inputs.push_front(EngineInput::Fleet(event));
    }

    /// Passes a new deployment, the resolved form of a configuration, to the gate and query cores,
    /// the connections to other nodes and the error-budget counts.
    fn apply_deployment(&mut self, deployment: Arc<Deployment>) {
        for (&node, vm) in &deployment.vms {
            if node != self.node {
                self.peers.set_address(node, vm.node_address);
            }
        }
        self.burn.set_deployment(self.clock.now_us(), &deployment);
        self.deployment = Arc::clone(&deployment);
        self.push_to_gate(GateEvent::Deployment(Arc::clone(&deployment)));
        self.pending_inputs
            .push_back(EngineInput::Query(QueryEvent::Deployment(deployment)));
    }

    /// Sets the reason why the node is not ready; `None` makes it ready.
    fn update_readiness(&mut self, reason: Option<NotReadyReason>) {
        // A node that is out of service serves callers until the balancer detects the failing
        // health check, and routes their requests to the other data centres.
        let leaving = reason == Some(NotReadyReason::Leaving);
        let refusal_start_us = self.clock.now_us() + BALANCER_DETECTION_MS * 1_000;
        self.refusal_start_us = leaving.then_some(refusal_start_us);
        let name = reason.map(|reason| match reason {
            NotReadyReason::ConfigurationUnknown => "configuration_unknown",
            NotReadyReason::Leaving => "leaving",
        });
        match name {
            None => log::info!("ready for callers"),
            Some(name) => log::warn!("not ready for callers: {name}"),
        }
        if self.stage == StopStage::Serving {
            self.readiness.set(name);
        }
    }

    /// Applies an evacuation, which takes a data centre or VM out of service without the store.
    /// Returns whether the deployment contains its data centre or VM; if not, nothing changes.
    pub(crate) fn evacuate(&mut self, evacuation: EvacuationOverride) -> bool {
        let data_centre = evacuation.data_centre.as_deref();
        let data_centre = data_centre.and_then(|it| self.catalog.find_data_centre(it));
        let vm = evacuation.vm.as_deref();
        let vm = vm.and_then(|it| self.catalog.find_node(it));
        let deployment = &self.deployment;
        let known = data_centre.is_some_and(|it| deployment.data_centres.contains_key(&it))
            || vm.is_some_and(|it| deployment.vms.contains_key(&it));
        if !known {
            return false;
        }
        log::warn!(
            "evacuation {} by {} is in force; it was sent to nodes, not through the store",
            evacuation.change_id,
            evacuation.author
        );
        self.pending_inputs
            .push_back(EngineInput::Fleet(FleetEvent::Evacuate(evacuation)));
        true
    }
}
