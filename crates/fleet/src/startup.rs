//! Readiness: a node serves only once it has the newest accepted configuration.

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
    /// Generations reported by peers since the start.
    answered_generations: BTreeMap<NodeKey, u64>,
    request_due_us: u64,
    /// Generation that must be in force before the node serves.
    confirmed: Option<u64>,
    /// Last reported reason; valid if `reported`.
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
    /// Returns all known nodes that are not gone. A majority of them must answer.
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

    /// Asks random known nodes that have not answered yet.
    fn request_generations(&mut self, cx: &mut EventContext<'_>) {
        if cx.now_us < self.startup.request_due_us {
            return;
        }
        self.startup.request_due_us = cx.now_us + limits::START_UP_RETRY_INTERVAL_US;
        let mut unanswered = self.known_nodes();
        unanswered.retain(|node| !self.startup.answered_generations.contains_key(node));
        self.rng.shuffle(&mut unanswered);
        for node in unanswered.into_iter().take(limits::START_UP_REQUESTS) {
            let sender = self.self_update(cx);
            self.send(cx, node, GossipMessage::AskConfig { sender });
        }
    }

    /// Answers a starting node with the newest generation, or with `None` if this node has
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
        self.startup.answered_generations.insert(from, generation);
        self.compare_generation(cx, from, generation);
    }

    /// Confirms the largest answered generation if a majority answered and it is in force;
    /// by then all nodes that its deployment names are known too.
    fn confirm_by_majority(&mut self) {
        if self.startup.confirmed() || !self.startup.store_unavailable {
            return;
        }
        let Some(&newest) = self.startup.answered_generations.values().max() else {
            return;
        };
        if newest > self.configuration.generation_in_force() {
            return;
        }
        let known_nodes = self.known_nodes();
        let answered = |it: &&NodeKey| self.startup.answered_generations.contains_key(it);
        if known_nodes.iter().filter(answered).count() * 2 > known_nodes.len() {
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
        let out = |fleet: &Self| {
            let deployment = fleet.configuration.in_force.as_ref();
            deployment.is_some_and(|it| it.is_node_out(fleet.config.node))
        };
        let reason = if self.ready_generation().is_none() {
            Some(NotReadyReason::ConfigurationUnknown)
        } else if self.membership.leaving
            || self.membership.self_listing == ListedState::Leaving
            || out(self)
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
