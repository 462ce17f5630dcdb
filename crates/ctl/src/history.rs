use std::fmt::Write;
use std::sync::Arc;

use serde::Serialize;

use crate::Context;
use crate::CtlError;
use crate::Report;
use crate::Store;
use crate::current::Current;
use crate::current::decode;
use crate::current::read;
use crate::current::read_head;
use crate::parts;
use crate::report::DONE;
use wigeonhall_platform::ObjectHead;
use wigeonhall_platform::PlatformError;
use wigeonhall_platform::PutOutcome;
use wigeonhall_protocol::HISTORY_PREFIX;
use wigeonhall_protocol::StoredConfig;

/// Generations that the history keeps; older ones are deleted.
pub const HISTORY_KEPT: usize = 200;
/// Deletions per accepted change; more than one, so that a backlog shrinks.
const DELETIONS: usize = 4;

#[derive(Serialize)]
struct Entry {
    author: Arc<str>,
    change_id: Arc<str>,
    contains: Vec<Arc<str>>,
    generation: u64,
    size_bytes: usize,
}

impl Entry {
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
/// If the store does not answer or holds something else.
pub fn history(context: &Context, limit: usize) -> Result<Report, CtlError> {
    let store = context.store()?;
    let mut entries = Vec::new();
    // The generation in force may not be in the history yet.
    if let Some((config, object)) = read_head(store)? {
        entries.push(Entry::of(config, object.version));
    }
    for generation in generations(store)?.into_iter().rev() {
        if entries.len() >= limit {
            break;
        }
        if entries.iter().any(|it| it.generation == generation) {
            continue;
        }
        let path = path_of(generation);
        // Another command may have deleted it meanwhile.
        let Some(object) = (store.get)(&path)? else {
            continue;
        };
        entries.push(Entry::of(decode(&path, &object)?, generation));
    }
    entries.truncate(limit);
    let mut text = String::from("generation  bytes  author            change id\n");
    for it in &entries {
        let ends = match it.contains.last() {
            Some(_) => format!("  contains {}", it.contains.join(", ")),
            None => String::new(),
        };
        let _ = writeln!(
            text,
            "{:>10}  {:>5}  {:<16}  {}{ends}",
            it.generation, it.size_bytes, it.author, it.change_id
        );
    }
    Ok(Report::new(DONE, &entries, text))
}

/// Shows the text of one generation.
///
/// # Errors
///
/// If the store does not answer or does not hold the generation.
pub fn show(context: &Context, generation: u64) -> Result<Report, CtlError> {
    let text = text_of(context.store()?, generation)?;
    Ok(Report::new(DONE, &text, text.clone()))
}

/// The text of one generation.
pub(crate) fn text_of(store: &Store, generation: u64) -> Result<String, CtlError> {
    let path = path_of(generation);
    if let Some(object) = (store.get)(&path)? {
        let config = decode(&path, &object)?;
        return Ok(parts::read(store, config, generation)?.text());
    }
    match read(store)? {
        Some(current) if current.record.generation == generation => Ok(current.record.text()),
        _ => Err(CtlError::NoGeneration(generation)),
    }
}

/// Generations in the history, rising.
pub(crate) fn generations(store: &Store) -> Result<Vec<u64>, PlatformError> {
    let heads = (store.list)(HISTORY_PREFIX)?;
    let mut numbers = heads.iter().filter_map(generation_of).collect::<Vec<_>>();
    numbers.sort_unstable();
    Ok(numbers)
}

pub(crate) fn path_of(generation: u64) -> String {
    format!("{HISTORY_PREFIX}{generation}")
}

/// Makes sure that the history holds a generation before it is replaced; its own
/// author may have failed to write it. [`crate::settle`] relies on this.
pub(crate) fn keep(store: &Store, current: &Current) -> Result<(), PlatformError> {
    let path = path_of(current.record.generation);
    match (store.put)(&path, 0, &current.value) {
        Ok(PutOutcome::Conflict(_) | PutOutcome::Stored { .. }) => Ok(()),
        // Nothing was replaced yet, so a second try does no harm.
        Err(_) => (store.put)(&path, 0, &current.value).map(drop),
    }
}

/// Writes an accepted generation and deletes the oldest ones. Best effort: whoever
/// replaces the generation writes it too. Returns what failed.
pub(crate) fn add(store: &Store, generation: u64, value: &str) -> Option<String> {
    let result = (store.put)(&path_of(generation), 0, value).map(drop);
    let result = result.and_then(|()| prune(store));
    let error = result.err()?;
    Some(format!(
        "the history was not written ({error}); the next change writes it"
    ))
}

fn prune(store: &Store) -> Result<(), PlatformError> {
    let heads = (store.list)(HISTORY_PREFIX)?;
    let surplus = heads.len().saturating_sub(HISTORY_KEPT);
    let mut numbered = heads
        .iter()
        .filter_map(|head| Some((generation_of(head)?, head)))
        .collect::<Vec<_>>();
    numbered.sort_unstable();
    for (_, head) in numbered.iter().take(surplus.min(DELETIONS)) {
        (store.delete)(&head.path, head.version)?;
    }
    Ok(())
}

fn generation_of(head: &ObjectHead) -> Option<u64> {
    head.path.strip_prefix(HISTORY_PREFIX)?.parse().ok()
}
