use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Context;
use crate::NodeAddress;
use crate::wait::BRIEF_PARAMS;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_protocol::NodeStatus;
use wigeonhall_settings::DeploymentText;
use wigeonhall_settings::Place;

/// Maximum number of change ids of ended overrides that a configuration lists. Each
/// generation repeats the ids of the one before, since a node may miss generations in
/// between.
pub(crate) const MAX_OVERRIDE_IDS: usize = 64;

/// Evacuation overrides (evacuations that nodes received without the store) that nodes report and
/// that no configuration has ended yet.
#[derive(Debug)]
pub(crate) struct PendingOverrides {
    pub(crate) overrides: Vec<EvacuationOverride>,
    /// Number of nodes that did not answer and may hold further overrides.
    pub(crate) unanswered: usize,
}

/// Collects the overrides that the nodes report and whose ids are not in `ended_ids`.
pub(crate) fn pending_overrides(
    context: &Context,
    nodes: &[NodeAddress],
    ended_ids: &[Arc<str>],
) -> PendingOverrides {
    let mut overrides = BTreeMap::new();
    let mut unanswered = 0;
    // The brief status leaves out members and replicas, which are not needed here.
    for answer in context
        .node_client
        .fetch_all::<NodeStatus>(nodes, "/status", &BRIEF_PARAMS)
    {
        let Ok(status) = answer else {
            unanswered += 1;
            continue;
        };
        for evacuation in status.overrides {
            if !ended_ids.contains(&evacuation.change_id) {
                overrides.insert(Arc::clone(&evacuation.change_id), evacuation);
            }
        }
    }
    PendingOverrides {
        overrides: overrides.into_values().collect(),
        unanswered,
    }
}

impl PendingOverrides {
    /// Returns the change ids of the overrides that a configuration with this deployment ends:
    /// those of data centres and VMs that it takes out of service or no longer lists, and those
    /// of `place`.
    ///
    /// All other overrides stay in force. Otherwise a text that was edited before the
    /// evacuation would return the data centre or VM to service unnoticed.
    pub(crate) fn ended_by(
        &self,
        deployment: &DeploymentText,
        place: Option<Place<'_>>,
    ) -> Vec<Arc<str>> {
        let is_ended =
            |it: &&EvacuationOverride| is_for_place(it, place) || is_out_or_gone(it, deployment);
        let overrides = self.overrides.iter().filter(is_ended);
        overrides.map(|it| Arc::clone(&it.change_id)).collect()
    }

    /// Returns notes for the operator about the overrides that stay in force.
    pub(crate) fn notes(&self, ended_ids: &[Arc<str>]) -> Vec<String> {
        let mut notes = Vec::new();
        for evacuation in &self.overrides {
            if !ended_ids.contains(&evacuation.change_id) {
                notes.push(format!(
                    "{} stays out because of evacuation {} by {}; end it with `wigeonhall in`",
                    describe_place(evacuation),
                    evacuation.change_id,
                    evacuation.author
                ));
            }
        }
        if self.unanswered > 0 {
            notes.push(format!(
                "{} nodes did not answer; evacuations known only to them stay in force",
                self.unanswered
            ));
        }
        notes
    }
}

/// Returns the ids of `old` and of `new`. Drops the oldest of `old` beyond
/// `MAX_OVERRIDE_IDS` in total.
pub(crate) fn merge_override_ids(old: &[Arc<str>], new: &[Arc<str>]) -> Vec<Arc<str>> {
    let kept = MAX_OVERRIDE_IDS.saturating_sub(new.len());
    let skipped = old.len().saturating_sub(kept);
    old[skipped..].iter().chain(new).cloned().collect()
}

/// Returns the kind and name of the evacuated data centre or VM.
pub(crate) fn describe_place(evacuation: &EvacuationOverride) -> String {
    match (&evacuation.data_centre, &evacuation.vm) {
        (Some(name), _) => format!("data centre {name}"),
        (None, Some(name)) => format!("VM {name}"),
        (None, None) => "nothing".into(),
    }
}

fn is_for_place(evacuation: &EvacuationOverride, place: Option<Place<'_>>) -> bool {
    match place {
        Some(Place::DataCentre(name)) => evacuation.data_centre.as_deref() == Some(name),
        Some(Place::Vm(name)) => evacuation.vm.as_deref() == Some(name),
        None => false,
    }
}

/// Returns whether the evacuated data centre or VM is out of service in `deployment` or not
/// part of it.
fn is_out_or_gone(evacuation: &EvacuationOverride, deployment: &DeploymentText) -> bool {
    let data_centre = evacuation.data_centre.as_ref();
    let vm = evacuation.vm.as_ref();
    data_centre.is_none_or(|name| deployment.data_centres.get(name).is_none_or(|dc| dc.out))
        && vm.is_none_or(|name| deployment.vms.get(name).is_none_or(|vm| vm.out))
}
