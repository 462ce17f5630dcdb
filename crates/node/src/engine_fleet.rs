use std::sync::Arc;

use crate::engine::BALANCER_LAG_MS;
use crate::engine::Engine;
use crate::engine::Input;
use crate::engine::OWNERS_LAG_MS;
use crate::engine::Stage;
use crate::text_parts::text_parts;
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
            self.do_fleet_action(action);
        }
    }

    fn do_fleet_action(&mut self, action: FleetAction) {
        match action {
            FleetAction::AdoptConfig(record) => self.adopt(record),
            FleetAction::Deployment(deployment) => self.put_in_force(deployment),
            FleetAction::Grant {
                epoch,
                replica,
                state,
            } => {
                self.trace_grant(epoch, replica, state.is_some());
                self.feed_gate(GateEvent::Grant {
                    epoch,
                    replica,
                    state,
                });
            }
            FleetAction::LeaseUntil(until_us) => self.feed_gate(GateEvent::LeaseUntil(until_us)),
            FleetAction::NodeLost(node) => {
                log::warn!("node {} is lost", self.catalog.node_name(node));
                self.pending
                    .push_back(Input::Query(QueryEvent::NodeLost(node)));
            }
            FleetAction::NotReady(reason) => self.set_ready(reason),
            FleetAction::Owners(table) => {
                self.pending
                    .push_back(Input::Query(QueryEvent::Owners(table)));
            }
            FleetAction::ReadConfig => self.store.read_config(),
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
                self.feed_gate(GateEvent::Revoke {
                    epoch,
                    replica,
                    successor,
                });
            }
            FleetAction::Send { message, to } => self.peers.gossip(to, message),
            FleetAction::Stopped => {
                if self.stage == Stage::Leaving {
                    let until_us = self.clock.now_us() + OWNERS_LAG_MS * 1_000;
                    self.stage = Stage::Draining { until_us };
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

    fn feed_gate(&mut self, event: GateEvent) {
        self.pending.push_back(Input::Gate(event));
    }

    /// Resolves an accepted configuration. A text that this version of the program
    /// cannot resolve leaves the one before in force.
    fn adopt(&mut self, record: ConfigRecord) {
        let parts = text_parts(&record.text);
        let text = match self.text_reader.parse(&parts) {
            Ok(text) => text,
            Err(error) => {
                log::error!("generation {} cannot be used: {error}", record.generation);
                self.metrics.count("config_unusable");
                return;
            }
        };
        let deployment = wigeonhall_settings::resolve(&text, record.generation, &mut self.catalog);
        log::info!(
            "generation {} by {} (change {}) is in force",
            record.generation,
            record.author,
            record.change_id
        );
        self.config = Some(record);
        let event = FleetEvent::Deployment(Arc::new(deployment));
        self.pending.push_front(Input::Fleet(event));
    }

    fn put_in_force(&mut self, deployment: Arc<Deployment>) {
        for (&node, vm) in &deployment.vms {
            if node != self.node {
                self.peers.set_address(node, vm.node_address);
            }
        }
        self.burn.set_deployment(self.clock.now_us(), &deployment);
        self.deployment = Arc::clone(&deployment);
        self.feed_gate(GateEvent::Deployment(Arc::clone(&deployment)));
        self.pending
            .push_back(Input::Query(QueryEvent::Deployment(deployment)));
    }

    fn set_ready(&mut self, reason: Option<NotReadyReason>) {
        // Callers of a node that was taken out are served until the balancer has
        // noticed; the node routes their requests to the other data centres.
        let leaving = reason == Some(NotReadyReason::Leaving);
        let refused_from_us = self.clock.now_us() + BALANCER_LAG_MS * 1_000;
        self.refused_from_us = leaving.then_some(refused_from_us);
        let name = reason.map(|reason| match reason {
            NotReadyReason::ConfigurationUnknown => "configuration_unknown",
            NotReadyReason::Leaving => "leaving",
        });
        match name {
            None => log::info!("ready for callers"),
            Some(name) => log::warn!("not ready for callers: {name}"),
        }
        if self.stage == Stage::Serving {
            self.readiness.set(name);
        }
    }

    /// Puts an evacuation in force; returns whether the deployment holds its subject.
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
            "evacuation {} by {} is in force without the store",
            evacuation.change_id,
            evacuation.author
        );
        self.pending
            .push_back(Input::Fleet(FleetEvent::Evacuate(evacuation)));
        true
    }
}
