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
use crate::current::Current;
use crate::current::read;
use crate::difference;
use crate::history;
use crate::overrides::carried_on;
use crate::overrides::pending;
use crate::parts;
use crate::report::DONE;
use crate::report::NOT_EVERYWHERE;
use crate::settle;
use crate::settle::Update;
use crate::wait::wait_for_generation;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::cut;
use wigeonhall_platform::PlatformError;
use wigeonhall_protocol::APPLY_TIMEOUT_HOURS;
use wigeonhall_protocol::StoredConfig;
use wigeonhall_settings::DeploymentText;
use wigeonhall_settings::Place;
use wigeonhall_settings::parse;

const HOUR_MS: u64 = 3_600_000;

/// Largest value of an object; the platform's limit.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// What became of a text.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Applied {
    /// Id of the change; `None` if there was nothing to write.
    pub change_id: Option<Arc<str>>,
    /// What the text changes.
    pub changes: Vec<Change>,
    /// Evacuations without the store that the configuration ends.
    pub ended_overrides: Vec<Arc<str>>,
    /// Accepted generation.
    pub generation: u64,
    /// Nodes that did not report the generation in time.
    pub missing: Vec<MissingNode>,
    /// Nodes that were asked.
    pub nodes: usize,
    /// What the operator should know.
    pub notes: Vec<String>,
}

/// A text that is about to replace the accepted one.
#[derive(Debug)]
pub(crate) struct Draft<'a> {
    pub(crate) content: DeploymentText,
    pub(crate) current: Option<Current>,
    /// Place that is taken out or brought in; its evacuations end.
    pub(crate) place: Option<Place<'a>>,
    pub(crate) text: Arc<str>,
}

/// A value whose parts are written.
#[derive(Debug)]
struct Prepared<'a> {
    current: Option<&'a Current>,
    /// Time after which a part that the value names may be gone.
    valid_until_ms: u64,
    value: &'a StoredConfig,
}

/// Makes `text` the accepted configuration and waits until every node reports it.
///
/// With `base`, the generation that the text was edited from, the text does not replace
/// a later one.
///
/// # Errors
///
/// - [`CtlError::Settings`] if the text has errors.
/// - [`CtlError::Conflict`] if another change was accepted first.
/// - [`CtlError::Unsettled`] if the outcome cannot be told.
/// - [`CtlError::Store`] if nothing was changed for another reason.
pub fn apply(context: &Context, text: &str, base: Option<u64>) -> Result<Applied, CtlError> {
    let deployment = parse(text)?;
    let current = read(context.store()?)?;
    if let (Some(base), Some(current)) = (base, &current)
        && current.record.generation != base
    {
        return Err(CtlError::Conflict {
            author: Arc::clone(&current.record.author),
            change_id: Arc::clone(&current.record.change_id),
            generation: current.record.generation,
        });
    }
    let draft = Draft {
        content: deployment,
        current,
        place: None,
        text: Arc::from(text),
    };
    let accepted = accept(context, &draft)?;
    Ok(confirm(context, &draft, accepted))
}

/// Writes the draft, unless it changes nothing. Nodes are not waited for.
pub(crate) fn accept(context: &Context, draft: &Draft<'_>) -> Result<Applied, CtlError> {
    let store = context.store()?;
    let record = draft.current.as_ref().map(|current| &current.record);
    let old_ids = record.map_or(&[][..], |record| &record.contains);
    let old_content = draft.current.as_ref().and_then(Current::content);
    let unreadable = draft.current.is_some() && old_content.is_none();
    let old_content = old_content.unwrap_or_default();
    let changes = difference(&old_content, &draft.content);
    for change in &changes {
        (context.say)(&change.to_string());
    }
    let nodes = context.node_list(&draft.content);
    let pending = pending(context, &nodes, old_ids);
    let ended_overrides = pending.contained(&draft.content, draft.place);
    let mut applied = Applied {
        change_id: None,
        changes,
        notes: pending.notes(&ended_overrides),
        ended_overrides,
        generation: record.map_or(0, |record| record.generation),
        missing: Vec::new(),
        nodes: nodes.len(),
    };
    if unreadable {
        let note = "this version rejects the text in force, so every entry is listed as new";
        applied.notes.push(note.into());
    }
    let unchanged = draft
        .current
        .as_ref()
        .is_some_and(|current| !current.old_form && current.record.text() == *draft.text);
    if unchanged && applied.ended_overrides.is_empty() {
        return Ok(applied);
    }
    let change_id = (context.new_id)();
    let valid_until_ms = (context.unix_ms)() + APPLY_TIMEOUT_HOURS * HOUR_MS;
    let parts = cut(&draft.text);
    let new_parts = write_parts(context, store, draft.current.as_ref(), &parts)?;
    let contains = carried_on(old_ids, &applied.ended_overrides);
    let author = Arc::clone(&context.author);
    let id = Arc::clone(&change_id);
    let value = StoredConfig::new(author, id, contains, &parts, new_parts);
    let prepared = Prepared {
        current: draft.current.as_ref(),
        valid_until_ms,
        value: &value,
    };
    applied.generation = write_value(context, store, &prepared, &mut applied)?;
    applied.change_id = Some(change_id);
    Ok(applied)
}

/// Writes the parts that the generation before does not name, and returns them.
fn write_parts(
    context: &Context,
    store: &Store,
    current: Option<&Current>,
    parts: &[Arc<str>],
) -> Result<Vec<Arc<str>>, CtlError> {
    let mut named = current.map_or_else(BTreeSet::new, Current::named_parts);
    let mut new_parts = Vec::new();
    for part in parts {
        if named.insert(PartHash::of(part)) {
            parts::write(context, store, part)?;
            new_parts.push(Arc::clone(part));
        }
    }
    Ok(new_parts)
}

fn write_value(
    context: &Context,
    store: &Store,
    prepared: &Prepared<'_>,
    applied: &mut Applied,
) -> Result<u64, CtlError> {
    let Prepared { current, value, .. } = *prepared;
    let change_id = &value.change_id;
    let value = serde_json::to_string(value).unwrap_or_default();
    if value.len() > MAX_VALUE_BYTES {
        let size_bytes = value.len();
        return Err(PlatformError::TooLarge { size_bytes }.into());
    }
    if let Some(current) = current {
        history::keep(store, current)?;
    }
    let update = Update {
        base: current.map_or(0, |current| current.record.generation),
        change_id,
        valid_until_ms: prepared.valid_until_ms,
        value: &value,
    };
    let generation = settle::write(context, store, &update)?;
    (context.say)(&format!(
        "generation {generation} is accepted (change {change_id})"
    ));
    applied
        .notes
        .extend(history::add(store, generation, &value));
    Ok(generation)
}

/// Waits until every node reports the accepted generation.
pub(crate) fn confirm(context: &Context, draft: &Draft<'_>, mut applied: Applied) -> Applied {
    let nodes = context.node_list(&draft.content);
    applied.missing = wait_for_generation(context, &nodes, applied.generation);
    applied
}

impl Applied {
    /// The report of the command.
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
            DONE
        } else {
            NOT_EVERYWHERE
        };
        Report::new(exit_code, self, text)
    }
}
