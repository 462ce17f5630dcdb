use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Context;
use crate::NodeAddress;
use crate::wait::BRIEF;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_protocol::NodeStatus;
use wigeonhall_settings::DeploymentText;
use wigeonhall_settings::Place;

/// Most change ids that a configuration lists. They are carried on from one
/// generation to the next, since a node may miss generations in between.
pub(crate) const MAX_CONTAINS: usize = 64;

/// Evacuations without the store that nodes report and no configuration contains.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) overrides: Vec<EvacuationOverride>,
    /// Nodes that did not answer; they may hold more.
    pub(crate) unasked: usize,
}

pub(crate) fn pending(context: &Context, nodes: &[NodeAddress], contains: &[Arc<str>]) -> Pending {
    let mut overrides = BTreeMap::new();
    let mut unasked = 0;
    for answer in context.nodes.ask::<NodeStatus>(nodes, "/status", &BRIEF) {
        let Ok(status) = answer else {
            unasked += 1;
            continue;
        };
        for it in status.overrides {
            if !contains.contains(&it.change_id) {
                overrides.insert(Arc::clone(&it.change_id), it);
            }
        }
    }
    Pending {
        overrides: overrides.into_values().collect(),
        unasked,
    }
}

impl Pending {
    /// Change ids that a configuration with this content contains: those of places
    /// that are out in it or no longer part of it, and those of `place`.
    ///
    /// The others stay in force, since a text that was edited before the evacuation
    /// would otherwise return the place to service unnoticed.
    pub(crate) fn contained(
        &self,
        content: &DeploymentText,
        place: Option<Place<'_>>,
    ) -> Vec<Arc<str>> {
        let contained = |it: &&EvacuationOverride| is_of(it, place) || is_out(it, content);
        let overrides = self.overrides.iter().filter(contained);
        overrides.map(|it| Arc::clone(&it.change_id)).collect()
    }

    /// What the operator should know of those that stay in force.
    pub(crate) fn notes(&self, contained: &[Arc<str>]) -> Vec<String> {
        let mut notes = Vec::new();
        for it in &self.overrides {
            if !contained.contains(&it.change_id) {
                notes.push(format!(
                    "{} stays out by evacuation {} of {}; end it with `wigeonhall in`",
                    describe(it),
                    it.change_id,
                    it.author
                ));
            }
        }
        if self.unasked > 0 {
            notes.push(format!(
                "{} nodes did not answer; evacuations that only they know stay in force",
                self.unasked
            ));
        }
        notes
    }
}

/// The ids to list: the newest of `old` and all of `new`.
pub(crate) fn carried_on(old: &[Arc<str>], new: &[Arc<str>]) -> Vec<Arc<str>> {
    let kept = MAX_CONTAINS.saturating_sub(new.len());
    let skipped = old.len().saturating_sub(kept);
    old[skipped..].iter().chain(new).cloned().collect()
}

pub(crate) fn describe(it: &EvacuationOverride) -> String {
    match (&it.data_centre, &it.vm) {
        (Some(name), _) => format!("data centre {name}"),
        (None, Some(name)) => format!("VM {name}"),
        (None, None) => "nothing".into(),
    }
}

fn is_of(it: &EvacuationOverride, place: Option<Place<'_>>) -> bool {
    match place {
        Some(Place::DataCentre(name)) => it.data_centre.as_deref() == Some(name),
        Some(Place::Vm(name)) => it.vm.as_deref() == Some(name),
        None => false,
    }
}

fn is_out(it: &EvacuationOverride, content: &DeploymentText) -> bool {
    let data_centre = it.data_centre.as_ref();
    let vm = it.vm.as_ref();
    data_centre.is_none_or(|name| content.data_centres.get(name).is_none_or(|dc| dc.out))
        && vm.is_none_or(|name| content.vms.get(name).is_none_or(|vm| vm.out))
}
