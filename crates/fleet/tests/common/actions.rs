//! Performs the actions of simulated nodes.

use std::sync::Arc;

use wigeonhall_fleet::FleetAction;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::GossipMessage;
use wigeonhall_fleet::PullItem;
use wigeonhall_types::HandOverState;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

use super::MESSAGE_BYTES;
use super::Simulation;

impl Simulation {
    /// Performs an action and checks what it shows of the node's state. `local_time` is the
    /// node's clock.
    pub(super) fn perform(&mut self, node: usize, boot: u64, local_time: u64, action: FleetAction) {
        match action {
            FleetAction::AdoptConfig(record) => {
                assert_eq!(
                    Some(&record.text()),
                    self.store.texts.get(&record.generation),
                    "not the accepted text of generation {}",
                    record.generation
                );
                let mut catalog = std::mem::take(&mut self.nodes[node].catalog);
                let deployment = Arc::new(self.deployment(node, &mut catalog, &record));
                self.nodes[node].catalog = catalog;
                self.at(self.now, move |sim| {
                    sim.deliver(node, boot, |_| FleetEvent::Deployment(deployment));
                });
            }
            FleetAction::Deployment(deployment) => {
                let it = &mut self.nodes[node];
                let generation = deployment.generation;
                assert!(
                    generation >= it.generation(),
                    "{}: generation decreased",
                    it.name
                );
                it.in_force = Some(Arc::clone(&deployment));
                self.check_overrides(node, &deployment);
                self.check_ready_generation(node);
            }
            FleetAction::Grant { replica, .. } => {
                let it = &mut self.nodes[node];
                let name = it.catalog.replica_name(replica);
                it.grants.insert(Arc::clone(&name));
                self.holders.entry(name).or_default().insert(node);
            }
            FleetAction::LeaseUntil(until) => self.nodes[node].lease_until = until,
            FleetAction::NodeLost(lost) => {
                let it = &mut self.nodes[node];
                it.lost_nodes.push(it.catalog.node_name(lost));
            }
            FleetAction::ReadinessChanged(reason) => {
                self.nodes[node].ready = Some(reason);
                self.check_ready_generation(node);
            }
            FleetAction::Owners(table) => {
                let it = &mut self.nodes[node];
                let name = it.catalog.data_centre_name(table.data_centre);
                let old = it.tables.insert(name, Arc::clone(&table));
                assert!(
                    old.is_none_or(|it| it.epoch < table.epoch),
                    "epoch decreased"
                );
            }
            FleetAction::Revoke {
                epoch,
                replica,
                successor,
            } => self.revoke(node, epoch, replica, successor),
            FleetAction::Send { mut message, to } => {
                if let GossipMessage::Parts(parts) = &mut message {
                    let sent = std::mem::take(parts).into_iter();
                    *parts = sent.map(|it| self.receive_part(it)).collect();
                }
                let name = self.nodes[node].catalog.node_name(to);
                self.messages += 1;
                let bytes = message.size_bytes();
                assert!(bytes <= MESSAGE_BYTES, "a message of {bytes} bytes");
                self.bytes += bytes as u64;
                if matches!(
                    message,
                    GossipMessage::Config(_)
                        | GossipMessage::Generation(_)
                        | GossipMessage::Parts(_)
                        | GossipMessage::Pull(PullItem::Config | PullItem::Parts(_))
                ) {
                    self.config_bytes += bytes as u64;
                }
                if self.rng.u8(..100) < self.late_percent {
                    let message = message.clone();
                    self.send(node, &name, |from| FleetEvent::Gossip { from, message });
                }
                self.send(node, &name, |from| FleetEvent::Gossip { from, message });
            }
            FleetAction::Stopped => self.nodes[node].stopped = true,
            store => self.perform_store_action(node, boot, local_time, store),
        }
    }

    pub(super) fn revoke(
        &mut self,
        node: usize,
        epoch: u64,
        replica: ReplicaKey,
        to: Option<NodeKey>,
    ) {
        let it = &mut self.nodes[node];
        let name = it.catalog.replica_name(replica);
        assert!(it.grants.remove(&name), "revoked without a grant");
        let to = to.map(|to| it.catalog.node_name(to));
        self.holders
            .entry(Arc::clone(&name))
            .or_default()
            .remove(&node);
        let state = HandOverState::warm();
        if let Some(to) = to
            && let Some((index, boot)) = self.route(node, &to)
        {
            self.deliver_after_delay(index, boot, move |catalog| FleetEvent::HandOver {
                epoch,
                replica: catalog.replica(&name),
                state,
            });
        }
    }

    /// Returns the receiver of a message and its boot id, or `None` if the message is lost.
    pub(super) fn route(&mut self, from: usize, to: &str) -> Option<(usize, u64)> {
        let index = self.nodes.iter().position(|it| *it.name == *to)?;
        let lost =
            self.rng.u8(..100) < self.loss_percent || self.partition[from] != self.partition[index];
        (!lost).then_some((index, self.nodes[index].boot))
    }

    pub(super) fn send(
        &mut self,
        node: usize,
        to: &str,
        event: impl FnOnce(NodeKey) -> FleetEvent + 'static,
    ) {
        let from = Arc::clone(&self.nodes[node].name);
        if let Some((index, boot)) = self.route(node, to) {
            self.deliver_after_delay(index, boot, move |catalog| event(catalog.node(&from)));
        }
    }
}
