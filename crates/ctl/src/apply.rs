use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;

use serde::Serialize;

use crate::Change;
use crate::Context;
use crate::CtlError;
use crate::MissingNode;
use crate::Report;
use crate::Store;
use crate::config_update;
use crate::config_update::ConfigUpdate;
use crate::current::CurrentConfig;
use crate::current::read_current;
use crate::difference;
use crate::history;
use crate::overrides::merge_override_ids;
use crate::overrides::pending_overrides;
use crate::parts;
use crate::report::EXIT_DONE;
use crate::report::EXIT_INCOMPLETE;
use crate::wait::wait_for_generation;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::split_text;
use wigeonhall_platform::PlatformError;
use wigeonhall_protocol::APPLY_TIMEOUT_HOURS;
use wigeonhall_protocol::StoredConfig;
use wigeonhall_settings::DeploymentText;
use wigeonhall_settings::Place;
use wigeonhall_settings::parse;

const HOUR_MS: u64 = 3_600_000;

/// Maximum size of the value of an object that the platform stores.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Result of applying a configuration text.
///
/// A configuration is accepted once it is written to the store, and in force once all nodes
/// use it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ApplyOutcome {
    /// Id of the change; `None` if nothing was written.
    pub change_id: Option<Arc<str>>,
    /// Differences to the configuration that was accepted before.
    pub changes: Vec<Change>,
    /// Change ids of the evacuations without the store that the configuration ends.
    pub ended_overrides: Vec<Arc<str>>,
    /// Generation (object version) of the accepted configuration: the one written, or the stored
    /// one if nothing was written.
    pub generation: u64,
    /// Nodes that did not report the generation in time.
    pub missing: Vec<MissingNode>,
    /// Number of nodes that were polled.
    pub nodes: usize,
    /// Notes for the operator.
    pub notes: Vec<String>,
}

/// A configuration text that is to replace the accepted one and is not written yet.
#[derive(Debug)]
pub(crate) struct ConfigDraft<'a> {
    /// The parsed `text`.
    pub(crate) deployment: DeploymentText,
    pub(crate) current: Option<CurrentConfig>,
    /// Data centre or VM that the command takes out of service or returns to service. Its
    /// evacuation overrides, which nodes received without the store, end.
    pub(crate) place: Option<Place<'a>>,
    pub(crate) text: Arc<str>,
}

/// The stored form of a configuration, ready to be written. It refers to the parts of the
/// text, which are already in the store.
#[derive(Debug)]
struct PreparedUpdate<'a> {
    current: Option<&'a CurrentConfig>,
    /// Unix time in milliseconds after which a stored part of the text that `value` refers to may
    /// be deleted.
    valid_until_ms: u64,
    value: &'a StoredConfig,
}

/// Makes `text` the accepted configuration and waits until every node reports it.
///
/// `base` is the generation that the text was edited from. If it is given, the text does
/// not replace a later generation.
///
/// # Errors
///
/// - [`CtlError::Settings`] if the text has errors.
/// - [`CtlError::Conflict`] if another change was accepted first.
/// - [`CtlError::OutcomeUnknown`] if it is not known whether the change was accepted.
/// - [`CtlError::Store`] if the change failed for another reason and nothing was
///   accepted.
pub fn apply(context: &Context, text: &str, base: Option<u64>) -> Result<ApplyOutcome, CtlError> {
    let parsed = parse(text)?;
    let current = read_current(context.store()?)?;
    if let (Some(base), Some(current)) = (base, &current)
        && current.record.generation != base
    {
        return Err(CtlError::Conflict {
            author: Arc::clone(&current.record.author),
            change_id: Arc::clone(&current.record.change_id),
            generation: current.record.generation,
        });
    }
    let draft = ConfigDraft {
        deployment: parsed,
        current,
        place: None,
        text: Arc::from(text),
    };
    let accepted = write_draft(context, &draft)?;
    Ok(wait_for_nodes(context, &draft, accepted))
}

/// Writes the draft unless it changes nothing. Does not wait for the nodes.
pub(crate) fn write_draft(
    context: &Context,
    draft: &ConfigDraft<'_>,
) -> Result<ApplyOutcome, CtlError> {
    let store = context.store()?;
    let record = draft.current.as_ref().map(|current| &current.record);
    let recorded_override_ids = record.map_or(&[][..], |record| &record.contains);
    let old_deployment = draft.current.as_ref().and_then(CurrentConfig::parse_text);
    let current_is_rejected = draft.current.is_some() && old_deployment.is_none();
    let old_deployment = old_deployment.unwrap_or_default();
    let changes = difference(&old_deployment, &draft.deployment);
    for change in &changes {
        (context.print_progress)(&change.to_string());
    }
    let nodes = context.node_list(&draft.deployment);
    let pending = pending_overrides(context, &nodes, recorded_override_ids);
    let ended_overrides = pending.ended_by(&draft.deployment, draft.place);
    let mut outcome = ApplyOutcome {
        change_id: None,
        changes,
        notes: pending.notes(&ended_overrides),
        ended_overrides,
        generation: record.map_or(0, |record| record.generation),
        missing: Vec::new(),
        nodes: nodes.len(),
    };
    if current_is_rejected {
        let note = "this version of the command rejects the accepted text, so every entry is listed as new";
        outcome.notes.push(note.into());
    }
    let unchanged = draft
        .current
        .as_ref()
        .is_some_and(|current| !current.is_unsplit && current.record.text() == *draft.text);
    if unchanged && outcome.ended_overrides.is_empty() {
        return Ok(outcome);
    }
    let change_id = (context.new_change_id)();
    let valid_until_ms = (context.unix_ms)() + APPLY_TIMEOUT_HOURS * HOUR_MS;
    let parts = split_text(&draft.text);
    let new_parts = write_parts(context, store, draft.current.as_ref(), &parts)?;
    let all_override_ids = merge_override_ids(recorded_override_ids, &outcome.ended_overrides);
    let author = Arc::clone(&context.author);
    let id = Arc::clone(&change_id);
    let value = StoredConfig::new(author, id, all_override_ids, &parts, new_parts);
    let prepared = PreparedUpdate {
        current: draft.current.as_ref(),
        valid_until_ms,
        value: &value,
    };
    outcome.generation = write_value(context, store, &prepared, &mut outcome)?;
    outcome.change_id = Some(change_id);
    Ok(outcome)
}

/// Writes the parts that the accepted configuration does not refer to, and returns them.
fn write_parts(
    context: &Context,
    store: &Store,
    current: Option<&CurrentConfig>,
    parts: &[Arc<str>],
) -> Result<Vec<Arc<str>>, CtlError> {
    let mut known = current.map_or_else(BTreeSet::new, CurrentConfig::part_hashes);
    let mut new_parts = Vec::new();
    for part in parts {
        if known.insert(PartHash::of(part)) {
            parts::write(context, store, part)?;
            new_parts.push(Arc::clone(part));
        }
    }
    Ok(new_parts)
}

/// Makes the prepared value the accepted one, adds it to the history and returns its
/// generation.
fn write_value(
    context: &Context,
    store: &Store,
    prepared: &PreparedUpdate<'_>,
    outcome: &mut ApplyOutcome,
) -> Result<u64, CtlError> {
    let PreparedUpdate { current, value, .. } = *prepared;
    let change_id = &value.change_id;
    let value = serde_json::to_string(value).unwrap_or_default();
    if value.len() > MAX_VALUE_BYTES {
        let size_bytes = value.len();
        return Err(PlatformError::TooLarge { size_bytes }.into());
    }
    if let Some(current) = current {
        history::ensure_recorded(store, current)?;
    }
    let update = ConfigUpdate {
        base_generation: current.map_or(0, |current| current.record.generation),
        change_id,
        valid_until_ms: prepared.valid_until_ms,
        value: &value,
    };
    let generation = config_update::write(context, store, &update)?;
    (context.print_progress)(&format!(
        "generation {generation} is accepted (change {change_id})"
    ));
    outcome
        .notes
        .extend(history::record_generation(store, generation, &value));
    Ok(generation)
}

/// Waits until every node reports that it uses the accepted generation.
pub(crate) fn wait_for_nodes(
    context: &Context,
    draft: &ConfigDraft<'_>,
    mut outcome: ApplyOutcome,
) -> ApplyOutcome {
    let nodes = context.node_list(&draft.deployment);
    outcome.missing = wait_for_generation(context, &nodes, outcome.generation);
    outcome
}

impl ApplyOutcome {
    /// Builds the report of the command.
    #[must_use]
    pub fn report(&self) -> Report {
        let mut text = String::new();
        for note in &self.notes {
            let _ = writeln!(text, "note: {note}");
        }
        if self.change_id.is_none() {
            let _ = writeln!(
                text,
                "nothing to write; generation {} holds this text",
                self.generation
            );
        }
        let reported = self.nodes - self.missing.len();
        let _ = writeln!(
            text,
            "generation {} is in force on {reported} of {} nodes",
            self.generation, self.nodes
        );
        for node in &self.missing {
            let _ = writeln!(text, "missing: {}: {}", node.name, node.reason);
        }
        let exit_code = if self.missing.is_empty() {
            EXIT_DONE
        } else {
            EXIT_INCOMPLETE
        };
        Report::new(exit_code, self, text)
    }
}
