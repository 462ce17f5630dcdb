//! When a node may serve: it must know the newest accepted configuration.

use std::collections::BTreeMap;

use crate::Fleet;
use crate::FleetAction;
use crate::GossipMessage;
use crate::Listing;
use crate::NotReadyReason;
use crate::limits;
use crate::step::Step;
use wigeonhall_types::NodeKey;

#[derive(Debug, Default)]
pub(crate) struct StartUp {
    /// Generations that peers told since the start.
    answers: BTreeMap<NodeKey, u64>,
    ask_due_us: u64,
    /// Generation that must be in force before the node serves.
    confirmed: Option<u64>,
    /// Last pushed reason, if `reported`.
    reason: Option<NotReadyReason>,
    reported: bool,
    /// The store failed to answer since the start.
    pub(crate) store_silent: bool,
}

impl StartUp {
    pub(crate) fn confirm(&mut self, generation: u64) {
        self.confirmed.get_or_insert(generation);
    }

    pub(crate) fn confirmed(&self) -> bool {
        self.confirmed.is_some()
    }

    pub(crate) fn wake_us(&self) -> u64 {
        if self.confirmed() || !self.store_silent {
            u64::MAX
        } else {
            self.ask_due_us
        }
    }
}

impl Fleet {
    /// Nodes whose answers count: all that are named and not gone.
    pub(crate) fn named(&self) -> Vec<NodeKey> {
        let members = self.membership.members.iter();
        let named = members.filter(|(_, member)| member.listing != Listing::Gone);
        named.map(|(&node, _)| node).collect()
    }

    pub(crate) fn run_startup(&mut self, step: &mut Step<'_>) {
        if !self.startup.confirmed() && self.startup.store_silent {
            self.ask_peers(step);
        }
        self.report_ready(step);
    }

    fn ask_peers(&mut self, step: &mut Step<'_>) {
        if step.now_us < self.startup.ask_due_us {
            return;
        }
        self.startup.ask_due_us = step.now_us + limits::START_STEP_US;
        let mut silent = self.named();
        silent.retain(|node| !self.startup.answers.contains_key(node));
        self.rng.shuffle(&mut silent);
        for node in silent.into_iter().take(limits::START_ASKS) {
            let sender = self.self_update(step);
            self.send(step, node, GossipMessage::AskConfig { sender });
        }
    }

    /// Answers a starting node; a node that is itself not sure says so.
    pub(crate) fn on_ask_config(&mut self, step: &mut Step<'_>, from: NodeKey) {
        let sure = self.ready_generation().is_some();
        let generation = sure.then(|| self.configuration.generation());
        self.send(step, from, GossipMessage::ConfigKnown { generation });
    }

    pub(crate) fn on_config_known(
        &mut self,
        step: &mut Step<'_>,
        from: NodeKey,
        generation: Option<u64>,
    ) {
        let Some(generation) = generation else {
            return;
        };
        self.startup.answers.insert(from, generation);
        self.compare_generation(step, from, generation);
    }

    /// Counts answers once the largest of them is in force; by then the nodes that
    /// its deployment names are known too.
    fn count_answers(&mut self) {
        if self.startup.confirmed() || !self.startup.store_silent {
            return;
        }
        let Some(&newest) = self.startup.answers.values().max() else {
            return;
        };
        if newest > self.configuration.generation_in_force() {
            return;
        }
        let named = self.named();
        let answered = |it: &&NodeKey| self.startup.answers.contains_key(it);
        if named.iter().filter(answered).count() * 2 > named.len() {
            self.startup.confirm(newest);
        }
    }

    /// The generation in force, if it is known to be the newest since the start.
    pub(crate) fn ready_generation(&self) -> Option<u64> {
        let in_force = self.configuration.generation_in_force();
        let confirmed = self.startup.confirmed?;
        (in_force >= confirmed).then_some(in_force)
    }

    fn report_ready(&mut self, step: &mut Step<'_>) {
        self.count_answers();
        let out = |fleet: &Self| {
            let deployment = fleet.configuration.in_force.as_ref();
            deployment.is_some_and(|it| it.is_node_out(fleet.config.node))
        };
        let reason = if self.ready_generation().is_none() {
            Some(NotReadyReason::ConfigurationUnknown)
        } else if self.membership.leaving
            || self.membership.self_listing == Listing::Leaving
            || out(self)
        {
            Some(NotReadyReason::Leaving)
        } else {
            None
        };
        if !self.startup.reported || self.startup.reason != reason {
            self.startup.reported = true;
            self.startup.reason = reason;
            step.push(FleetAction::NotReady(reason));
        }
    }
}
