//! Evacuation overrides, which take VMs and data centres out of service until a
//! configuration contains their ids. An override never returns anything to service.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::EvacuationOverride;
use crate::Fleet;
use crate::GossipMessage;
use crate::dissemination::RecordKey;
use crate::event_context::EventContext;
use crate::limits;
use wigeonhall_types::Deployment;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::NodeKey;

/// Active overrides and the ids of ended ones.
#[derive(Debug, Default)]
pub(crate) struct Overrides {
    /// Active overrides by change id.
    pub(crate) active: BTreeMap<Arc<str>, EvacuationOverride>,
    /// Ids of ended overrides, each with a generation that contained it.
    ended: VecDeque<(Arc<str>, u64)>,
}

impl Overrides {
    /// Returns a generation that contained the override, if it has ended.
    pub(crate) fn ended(&self, change_id: &str) -> Option<u64> {
        let find = |it: &&(Arc<str>, u64)| *it.0 == *change_id;
        self.ended.iter().find(find).map(|it| it.1)
    }

    fn end(&mut self, change_id: Arc<str>, generation: u64) {
        self.active.remove(&change_id);
        if self.ended(&change_id).is_none() {
            if self.ended.len() == limits::ENDED_OVERRIDES_MAX {
                self.ended.pop_front();
            }
            self.ended.push_back((change_id, generation));
        }
    }

    /// Returns the deployment with all overrides applied. An override for a name that the
    /// deployment does not contain has no effect.
    pub(crate) fn apply(&self, base: &Arc<Deployment>, catalog: &NameCatalog) -> Arc<Deployment> {
        if self.active.is_empty() {
            return Arc::clone(base);
        }
        let mut deployment = (**base).clone();
        for evacuation in self.active.values() {
            let name = evacuation.data_centre.as_deref();
            let key = name.and_then(|it| catalog.find_data_centre(it));
            if let Some(it) = key.and_then(|it| deployment.data_centres.get_mut(&it)) {
                it.out = true;
            }
            let key = evacuation
                .vm
                .as_deref()
                .and_then(|it| catalog.find_node(it));
            if let Some(it) = key.and_then(|it| deployment.vms.get_mut(&it)) {
                it.out = true;
            }
        }
        Arc::new(deployment)
    }
}

impl Fleet {
    /// Applies an override from an operator or a peer, and forwards it to random peers if
    /// it is new.
    pub(crate) fn on_evacuate(
        &mut self,
        cx: &mut EventContext<'_>,
        evacuation: &EvacuationOverride,
    ) {
        let id = &evacuation.change_id;
        let known = self.overrides.active.contains_key(id) || self.overrides.ended(id).is_some();
        if known || self.configuration.contains.contains(id) {
            return;
        }
        self.cancel_request(&RecordKey::Override(Arc::clone(id)), 1);
        self.overrides
            .active
            .insert(Arc::clone(id), evacuation.clone());
        self.put_in_force(cx);
        for peer in self.random_push_peers() {
            self.send(cx, peer, GossipMessage::Evacuate(evacuation.clone()));
        }
    }

    /// Ends the overrides that the configuration in force contains.
    pub(crate) fn end_overrides(&mut self) {
        let generation = self.configuration.generation_in_force();
        for change_id in &self.configuration.contains {
            self.overrides.end(Arc::clone(change_id), generation);
        }
    }

    /// Ends overrides that ended on a peer with a generation that is not newer than the one
    /// in force here; this node may have skipped the generation that contained them.
    pub(crate) fn on_overrides_ended(
        &mut self,
        cx: &mut EventContext<'_>,
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
            self.put_in_force(cx);
        }
    }

    /// Notifies a peer that overrides in its digest have ended.
    pub(crate) fn send_ended_overrides(
        &mut self,
        cx: &mut EventContext<'_>,
        to: NodeKey,
        ids: Vec<Arc<str>>,
    ) {
        for change_id in ids {
            if let Some(generation) = self.overrides.ended(&change_id) {
                let message = GossipMessage::OverridesEnded {
                    change_ids: vec![change_id],
                    generation,
                };
                self.send(cx, to, message);
            }
        }
    }
}
