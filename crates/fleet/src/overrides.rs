//! Evacuation overrides: they only take work away, until a configuration names them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::EvacuationOverride;
use crate::Fleet;
use crate::GossipMessage;
use crate::dissemination::Item;
use crate::limits;
use crate::step::Step;
use wigeonhall_types::Catalog;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;

#[derive(Debug, Default)]
pub(crate) struct Overrides {
    /// In effect, by change id.
    pub(crate) active: BTreeMap<Arc<str>, EvacuationOverride>,
    /// Ids that a configuration in force contained, with its generation.
    ended: VecDeque<(Arc<str>, u64)>,
}

impl Overrides {
    pub(crate) fn ended(&self, change_id: &str) -> Option<u64> {
        let find = |it: &&(Arc<str>, u64)| *it.0 == *change_id;
        self.ended.iter().find(find).map(|it| it.1)
    }

    fn end(&mut self, change_id: Arc<str>, generation: u64) {
        self.active.remove(&change_id);
        if self.ended(&change_id).is_none() {
            if self.ended.len() == limits::ENDED_MAX {
                self.ended.pop_front();
            }
            self.ended.push_back((change_id, generation));
        }
    }

    /// The deployment without what the overrides take away. A name that the
    /// deployment does not hold has no effect.
    pub(crate) fn apply(&self, base: &Arc<Deployment>, catalog: &Catalog) -> Arc<Deployment> {
        if self.active.is_empty() {
            return Arc::clone(base);
        }
        let mut deployment = (**base).clone();
        for order in self.active.values() {
            let name = order.data_centre.as_deref();
            let key = name.and_then(|it| catalog.find_data_centre(it));
            if let Some(it) = key.and_then(|it| deployment.data_centres.get_mut(&it)) {
                it.out = true;
            }
            let key = order.vm.as_deref().and_then(|it| catalog.find_node(it));
            if let Some(it) = key.and_then(|it| deployment.vms.get_mut(&it)) {
                it.out = true;
            }
        }
        Arc::new(deployment)
    }
}

impl Fleet {
    /// Takes an override from an operator or a peer and passes a new one on.
    pub(crate) fn on_evacuate(&mut self, step: &mut Step<'_>, order: &EvacuationOverride) {
        let id = &order.change_id;
        let known = self.overrides.active.contains_key(id) || self.overrides.ended(id).is_some();
        if known || self.configuration.contains.contains(id) {
            return;
        }
        self.stop_wanting(&Item::Override(Arc::clone(id)), 1);
        self.overrides.active.insert(Arc::clone(id), order.clone());
        self.put_in_force(step);
        for peer in self.neighbours() {
            self.send(step, peer, GossipMessage::Evacuate(order.clone()));
        }
    }

    /// Drops the overrides that the configuration in force contains.
    pub(crate) fn end_overrides(&mut self) {
        let generation = self.configuration.generation_in_force();
        for change_id in &self.configuration.contains {
            self.overrides.end(Arc::clone(change_id), generation);
        }
    }

    /// Drops overrides that a peer saw end with a generation that is in force here
    /// or older; this node may have skipped the generation that contained them.
    pub(crate) fn on_overrides_ended(
        &mut self,
        step: &mut Step<'_>,
        change_ids: Vec<Arc<str>>,
        generation: u64,
    ) {
        if generation > self.configuration.generation_in_force() {
            return;
        }
        let before = self.overrides.active.len();
        for change_id in change_ids {
            self.overrides.end(change_id, generation);
        }
        if self.overrides.active.len() != before {
            self.put_in_force(step);
        }
    }

    /// Tells a peer which of the overrides in its digest have ended.
    pub(crate) fn tell_ended(&mut self, step: &mut Step<'_>, to: NodeKey, ids: Vec<Arc<str>>) {
        for change_id in ids {
            if let Some(generation) = self.overrides.ended(&change_id) {
                let message = GossipMessage::OverridesEnded {
                    change_ids: vec![change_id],
                    generation,
                };
                self.send(step, to, message);
            }
        }
    }
}
