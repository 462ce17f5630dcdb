use std::fmt::Write;
use std::sync::Arc;

use serde::Serialize;

use crate::Context;
use crate::CtlError;
use crate::Report;
use crate::Store;
use crate::current::CurrentConfig;
use crate::current::decode;
use crate::current::read_current;
use crate::current::read_without_parts;
use crate::parts;
use crate::report::EXIT_DONE;
use wigeonhall_platform::ChangeOutcome;
use wigeonhall_platform::ObjectHead;
use wigeonhall_platform::PlatformError;
use wigeonhall_protocol::HISTORY_PREFIX;
use wigeonhall_protocol::StoredConfig;

/// Number of generations that the history keeps; older ones are deleted. A generation is the object
/// version of an accepted configuration. The text of a configuration is stored in parts, which the
/// history refers to by hash.
pub const HISTORY_KEPT: usize = 200;
/// Maximum number of deletions per accepted change. More than one, so that a backlog
/// shrinks.
const MAX_DELETIONS: usize = 4;

/// One line of the history.
#[derive(Serialize)]
struct HistoryEntry {
    author: Arc<str>,
    change_id: Arc<str>,
    /// Change ids of the evacuation overrides, evacuations that were sent to nodes without the
    /// store, that the configuration ends.
    contains: Vec<Arc<str>>,
    generation: u64,
    size_bytes: usize,
}

impl HistoryEntry {
    fn of(config: StoredConfig, generation: u64) -> Self {
        let size_bytes = config.text_bytes();
        Self {
            author: config.author,
            change_id: config.change_id,
            contains: config.contains,
            generation,
            size_bytes,
        }
    }
}

/// Lists the newest `limit` generations.
///
/// # Errors
///
/// If the store does not answer, or an object is not a configuration.
pub fn history(context: &Context, limit: usize) -> Result<Report, CtlError> {
    let store = context.store()?;
    let mut entries = Vec::new();
    // The accepted generation may not be in the history yet.
    if let Some((config, object)) = read_without_parts(store)? {
        entries.push(HistoryEntry::of(config, object.version));
    }
    for generation in generations(store)?.into_iter().rev() {
        if entries.len() >= limit {
            break;
        }
        if entries.iter().any(|it| it.generation == generation) {
            continue;
        }
        let path = history_path(generation);
        // Another command may have deleted it since the generations were listed.
        let Some(object) = (store.get)(&path)? else {
            continue;
        };
        entries.push(HistoryEntry::of(decode(&path, &object)?, generation));
    }
    entries.truncate(limit);
    let mut text = String::from("generation  bytes  author            change id\n");
    for entry in &entries {
        let contained = match entry.contains.last() {
            Some(_) => format!("  contains {}", entry.contains.join(", ")),
            None => String::new(),
        };
        let _ = writeln!(
            text,
            "{:>10}  {:>5}  {:<16}  {}{contained}",
            entry.generation, entry.size_bytes, entry.author, entry.change_id
        );
    }
    Ok(Report::new(EXIT_DONE, &entries, text))
}

/// Reports the text of one generation.
///
/// # Errors
///
/// If the store does not answer or does not hold the generation.
pub fn show(context: &Context, generation: u64) -> Result<Report, CtlError> {
    let text = generation_text(context.store()?, generation)?;
    Ok(Report::new(EXIT_DONE, &text, text.clone()))
}

/// Returns the text of one generation, from the history or the accepted configuration.
pub(crate) fn generation_text(store: &Store, generation: u64) -> Result<String, CtlError> {
    let path = history_path(generation);
    if let Some(object) = (store.get)(&path)? {
        let config = decode(&path, &object)?;
        return Ok(parts::read(store, config, generation)?.text());
    }
    match read_current(store)? {
        Some(current) if current.record.generation == generation => Ok(current.record.text()),
        _ => Err(CtlError::UnknownGeneration(generation)),
    }
}

/// Returns the generations in the history, oldest first.
pub(crate) fn generations(store: &Store) -> Result<Vec<u64>, PlatformError> {
    let heads = (store.list)(HISTORY_PREFIX)?;
    let mut numbers = heads
        .iter()
        .filter_map(parse_generation)
        .collect::<Vec<_>>();
    numbers.sort_unstable();
    Ok(numbers)
}

/// Returns the path of a generation in the history.
pub(crate) fn history_path(generation: u64) -> String {
    format!("{HISTORY_PREFIX}{generation}")
}

/// Writes the current generation to the history, if it is not there yet, before it is
/// replaced: the command that writes a generation may fail to record it.
/// [`crate::config_update`] finds replaced generations in the history.
pub(crate) fn ensure_recorded(store: &Store, current: &CurrentConfig) -> Result<(), PlatformError> {
    let path = history_path(current.record.generation);
    match (store.put)(&path, 0, &current.value) {
        Ok(ChangeOutcome::Conflict(_) | ChangeOutcome::Stored { .. }) => Ok(()),
        // Retries once. Nothing was replaced yet, so a second attempt is harmless.
        Err(_) => (store.put)(&path, 0, &current.value).map(drop),
    }
}

/// Writes an accepted generation to the history and deletes the oldest ones. Returns a
/// note if this fails, which is no error: the command that replaces the generation writes it
/// too.
pub(crate) fn record_generation(store: &Store, generation: u64, value: &str) -> Option<String> {
    let result = (store.put)(&history_path(generation), 0, value).map(drop);
    let result = result.and_then(|()| delete_oldest(store));
    let error = result.err()?;
    Some(format!(
        "the history was not written ({error}); the next change writes it"
    ))
}

/// Deletes the oldest generations beyond `HISTORY_KEPT`, at most `MAX_DELETIONS` of them.
fn delete_oldest(store: &Store) -> Result<(), PlatformError> {
    let heads = (store.list)(HISTORY_PREFIX)?;
    let surplus = heads.len().saturating_sub(HISTORY_KEPT);
    let mut numbered = heads
        .iter()
        .filter_map(|head| Some((parse_generation(head)?, head)))
        .collect::<Vec<_>>();
    numbered.sort_unstable();
    for (_, head) in numbered.iter().take(surplus.min(MAX_DELETIONS)) {
        (store.delete)(&head.path, head.version)?;
    }
    Ok(())
}

fn parse_generation(head: &ObjectHead) -> Option<u64> {
    head.path.strip_prefix(HISTORY_PREFIX)?.parse().ok()
}
