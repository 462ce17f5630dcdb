//! Reads the parts that configuration texts are stored in from the store, the platform's object
//! API, and removes unused parts.

use std::collections::BTreeSet;

use flume::Receiver;
use flume::Sender;

use crate::Event;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::PartHash;
use wigeonhall_platform::ChangeOutcome;
use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::ObjectHead;
use wigeonhall_platform::PlatformError;
use wigeonhall_platform::StoredObject;
use wigeonhall_protocol::CURRENT_PATH;
use wigeonhall_protocol::HISTORY_PREFIX;
use wigeonhall_protocol::PART_RETENTION_HOURS;
use wigeonhall_protocol::PARTS_PREFIX;
use wigeonhall_protocol::StoredConfig;
use wigeonhall_protocol::StoredPart;

const RETENTION_MS: u64 = PART_RETENTION_HOURS * 3_600_000;

/// Change to a stored part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartChange {
    /// The part was deleted.
    Deleted,
    /// The part was marked as unused.
    Marked,
    /// The mark was removed, because a configuration references the part again.
    Unmarked,
}

/// Reads the requested parts until the sender of requests is dropped.
pub(crate) fn run_part_reads(api: &ObjectApi, jobs: &Receiver<PartHash>, events: &Sender<Event>) {
    for hash in jobs {
        let event = match api.get(&StoredPart::path(hash)) {
            Ok(None) => FleetEvent::PartRead(hash, None),
            Ok(Some(object)) => {
                let part = StoredPart::read(hash, &object.value);
                FleetEvent::PartRead(hash, part.map(|it| it.text))
            }
            Err(_) => FleetEvent::PartReadFailed(hash),
        };
        let _ = events.send(Event::Fleet(event));
    }
}

/// Marks the parts that neither the accepted configuration nor the history references, and
/// deletes those that were marked at least [`PART_RETENTION_HOURS`] ago and are still
/// unreferenced.
///
/// A configuration change that uses an unreferenced part writes it again and is accepted
/// within [`APPLY_TIMEOUT_HOURS`](wigeonhall_protocol::APPLY_TIMEOUT_HOURS). The versions of
/// the parts are listed before the references are read, and each write is conditional on the
/// listed version. A part that such a change wrote before the listing therefore has no old
/// mark, and one that it wrote after the listing has another version.
///
/// Calls `before_change` before each write. Returns the changes that took effect.
///
/// # Errors
///
/// Returns an error if a call to the store fails. The parts not yet processed stay unchanged.
pub fn remove_unused_parts(
    api: &ObjectApi,
    now_ms: u64,
    mut before_change: impl FnMut(PartChange),
) -> Result<Vec<PartChange>, PlatformError> {
    let mut changes = Vec::new();
    let heads = api.list(PARTS_PREFIX)?;
    if heads.is_empty() {
        return Ok(changes);
    }
    let Some(referenced) = referenced_parts(api)? else {
        return Ok(changes);
    };
    for head in &heads {
        let Some(hash) = StoredPart::hash_from_path(&head.path) else {
            continue;
        };
        let is_referenced = referenced.contains(&hash);
        changes.extend(update_part(
            api,
            now_ms,
            head,
            is_referenced,
            &mut before_change,
        )?);
    }
    Ok(changes)
}

/// Returns the parts that the accepted configuration or the history references; `None` if
/// there is no accepted configuration or an object cannot be parsed.
///
/// The accepted configuration is read first, because a change adds it to the history before
/// replacing it. Read in the other order, a replaced configuration would be missed.
fn referenced_parts(api: &ObjectApi) -> Result<Option<BTreeSet<PartHash>>, PlatformError> {
    let Some(current) = api.get(CURRENT_PATH)? else {
        return Ok(None);
    };
    let mut objects = vec![current];
    for head in api.list(HISTORY_PREFIX)? {
        objects.extend(api.get(&head.path)?);
    }
    let references: Option<Vec<_>> = objects.iter().map(parts_of_config).collect();
    Ok(references.map(|it| it.into_iter().flatten().collect()))
}

fn parts_of_config(object: &StoredObject) -> Option<Vec<PartHash>> {
    let config: StoredConfig = serde_json::from_str(&object.value).ok()?;
    Some(config.into_manifest(object.version).0.parts)
}

/// Marks, unmarks or deletes a part if that is due.
fn update_part(
    api: &ObjectApi,
    now_ms: u64,
    head: &ObjectHead,
    is_referenced: bool,
    before_change: &mut impl FnMut(PartChange),
) -> Result<Option<PartChange>, PlatformError> {
    let object = api.get(&head.path)?;
    let Some(object) = object.filter(|it| it.version == head.version) else {
        return Ok(None);
    };
    let Ok(part) = serde_json::from_str::<StoredPart>(&object.value) else {
        return Ok(None);
    };
    let (change, unused_since_ms) = match (is_referenced, part.unused_since_ms) {
        (true, Some(_)) => (PartChange::Unmarked, None),
        (false, None) => (PartChange::Marked, Some(now_ms)),
        (false, Some(since_ms)) if since_ms + RETENTION_MS <= now_ms => (PartChange::Deleted, None),
        _ => return Ok(None),
    };
    before_change(change);
    let outcome = if change == PartChange::Deleted {
        api.delete(&head.path, head.version)?
    } else {
        let part = StoredPart {
            unused_since_ms,
            ..part
        };
        let value = serde_json::to_string(&part).unwrap_or_default();
        api.put(&head.path, head.version, &value)?
    };
    Ok(matches!(outcome, ChangeOutcome::Stored { .. }).then_some(change))
}
