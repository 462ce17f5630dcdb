//! Start-up and readiness: a node serves only once it has the newest accepted configuration.

use std::collections::BTreeMap;

use crate::Fleet;
use crate::FleetAction;
use crate::GossipMessage;
use crate::ListedState;
use crate::NotReadyReason;
use crate::event_context::EventContext;
use crate::limits;
use wigeonhall_types::NodeKey;

/// Progress of the start-up and the last reported readiness.
#[derive(Debug, Default)]
pub(crate) struct StartUp {
    /// Generation (version of the configuration) that each peer has reported since the start.
    reported_generations: BTreeMap<NodeKey, u64>,
    request_due_us: u64,
    /// Generation that must be in force before the node serves: the newest one at the start, as
    /// the store or a majority of the known nodes reported it.
    confirmed: Option<u64>,
    /// Last reported reason why the node is not ready; valid if `reported`.
    reason: Option<NotReadyReason>,
    reported: bool,
    /// Whether a configuration read failed since the start.
    pub(crate) store_unavailable: bool,
}

impl StartUp {
    pub(crate) fn confirm(&mut self, generation: u64) {
        self.confirmed.get_or_insert(generation);
    }

    pub(crate) fn confirmed(&self) -> bool {
        self.confirmed.is_some()
    }

    pub(crate) fn wake_us(&self) -> u64 {
        if self.confirmed() || !self.store_unavailable {
            u64::MAX
        } else {
            self.request_due_us
        }
    }
}

impl Fleet {
    /// Returns all known nodes that the VM list does not show as gone. A majority of them must
    /// report their generation if the store cannot.
    pub(crate) fn known_nodes(&self) -> Vec<NodeKey> {
        let members = self.membership.members.iter();
        let known_nodes = members.filter(|(_, member)| member.listing != ListedState::Gone);
        known_nodes.map(|(&node, _)| node).collect()
    }

    pub(crate) fn run_startup(&mut self, cx: &mut EventContext<'_>) {
        if !self.startup.confirmed() && self.startup.store_unavailable {
            self.request_generations(cx);
        }
        self.report_readiness(cx);
    }

    /// Asks random known nodes that have not reported their generation yet.
    fn request_generations(&mut self, cx: &mut EventContext<'_>) {
        if cx.now_us < self.startup.request_due_us {
            return;
        }
        self.startup.request_due_us = cx.now_us + limits::START_UP_RETRY_INTERVAL_US;
        let mut pending_nodes = self.known_nodes();
        pending_nodes.retain(|node| !self.startup.reported_generations.contains_key(node));
        self.rng.shuffle(&mut pending_nodes);
        for node in pending_nodes.into_iter().take(limits::START_UP_REQUESTS) {
            let sender = self.self_update(cx);
            self.send(cx, node, GossipMessage::AskConfig { sender });
        }
    }

    /// Reports this node's newest generation to a starting node, or `None` if this node has
    /// not confirmed one itself.
    pub(crate) fn on_ask_config(&mut self, cx: &mut EventContext<'_>, from: NodeKey) {
        let confirmed = self.ready_generation().is_some();
        let generation = confirmed.then(|| self.configuration.generation());
        self.send(cx, from, GossipMessage::ConfigKnown { generation });
    }

    pub(crate) fn on_config_known(
        &mut self,
        cx: &mut EventContext<'_>,
        from: NodeKey,
        generation: Option<u64>,
    ) {
        let Some(generation) = generation else {
            return;
        };
        self.startup.reported_generations.insert(from, generation);
        self.compare_generation(cx, from, generation);
    }

    /// Confirms the largest reported generation if it is in force and a majority has reported
    /// one. The majority is counted only once it is in force, because its deployment may name
    /// further nodes.
    fn confirm_by_majority(&mut self) {
        if self.startup.confirmed() || !self.startup.store_unavailable {
            return;
        }
        let Some(&newest) = self.startup.reported_generations.values().max() else {
            return;
        };
        if newest > self.configuration.generation_in_force() {
            return;
        }
        let known_nodes = self.known_nodes();
        let reported = |it: &&NodeKey| self.startup.reported_generations.contains_key(it);
        if known_nodes.iter().filter(reported).count() * 2 > known_nodes.len() {
            self.startup.confirm(newest);
        }
    }

    /// Returns the generation in force if it is confirmed to be the newest since the start.
    pub(crate) fn ready_generation(&self) -> Option<u64> {
        let in_force = self.configuration.generation_in_force();
        let confirmed = self.startup.confirmed?;
        (in_force >= confirmed).then_some(in_force)
    }

    /// Reports the readiness whenever it changes.
    fn report_readiness(&mut self, cx: &mut EventContext<'_>) {
        self.confirm_by_majority();
        let out_of_service = |fleet: &Self| {
            let deployment = fleet.configuration.in_force.as_ref();
            deployment.is_some_and(|it| it.is_node_out(fleet.settings.node))
        };
        let reason = if self.ready_generation().is_none() {
            Some(NotReadyReason::ConfigurationUnknown)
        } else if self.membership.leaving
            || self.membership.self_listing == ListedState::Leaving
            || out_of_service(self)
        {
            Some(NotReadyReason::Leaving)
        } else {
            None
        };
        if !self.startup.reported || self.startup.reason != reason {
            self.startup.reported = true;
            self.startup.reason = reason;
            cx.push(FleetAction::ReadinessChanged(reason));
        }
    }
}
