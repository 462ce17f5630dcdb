//! Parts of the configuration's text in the object API.

use std::collections::BTreeSet;

use flume::Receiver;
use flume::Sender;

use crate::Event;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::PartHash;
use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::ObjectHead;
use wigeonhall_platform::PlatformError;
use wigeonhall_platform::PutOutcome;
use wigeonhall_platform::StoredObject;
use wigeonhall_protocol::CURRENT_PATH;
use wigeonhall_protocol::HISTORY_PREFIX;
use wigeonhall_protocol::PART_RETENTION_HOURS;
use wigeonhall_protocol::PARTS_PREFIX;
use wigeonhall_protocol::StoredConfig;
use wigeonhall_protocol::StoredPart;

const PART_KEPT_MS: u64 = PART_RETENTION_HOURS * 3_600_000;

/// What was done with one part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartChange {
    /// It was deleted.
    Deleted,
    /// It was marked as unused.
    Marked,
    /// The mark was taken off, since something names the part again.
    Unmarked,
}

/// Reads parts for the fleet core.
pub(crate) fn run_parts(api: &ObjectApi, jobs: &Receiver<PartHash>, events: &Sender<Event>) {
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

/// Marks the parts that neither the accepted configuration nor the history names, and
/// deletes those that were marked [`PART_RETENTION_HOURS`] ago and are still unnamed.
///
/// A change that relies on an unnamed part writes it again and is accepted within
/// [`APPLY_TIMEOUT_HOURS`](wigeonhall_protocol::APPLY_TIMEOUT_HOURS). The versions are
/// listed before the names are read, and every step is conditional on the listed
/// version. So a part that such a change wrote before the listing has no old mark, and
/// one that it wrote later has another version. `before` is called before each step;
/// returns the steps that took effect.
///
/// # Errors
///
/// If the store does not answer, or the names cannot be read; parts that were not
/// reached are left as they are.
pub fn remove_unused_parts(
    api: &ObjectApi,
    now_ms: u64,
    mut before: impl FnMut(PartChange),
) -> Result<Vec<PartChange>, PlatformError> {
    let mut changes = Vec::new();
    let heads = api.list(PARTS_PREFIX)?;
    if heads.is_empty() {
        return Ok(changes);
    }
    let Some(named) = named_parts(api)? else {
        return Ok(changes);
    };
    for head in &heads {
        let Some(hash) = StoredPart::hash_from_path(&head.path) else {
            continue;
        };
        let named = named.contains(&hash);
        changes.extend(settle_part(api, now_ms, head, named, &mut before)?);
    }
    Ok(changes)
}

/// Parts that the accepted configuration or the history names; `None` if there is no
/// accepted configuration or one of the objects has an unknown form.
///
/// The accepted generation is read first: whoever replaces it adds it to the history
/// before.
fn named_parts(api: &ObjectApi) -> Result<Option<BTreeSet<PartHash>>, PlatformError> {
    let Some(current) = api.get(CURRENT_PATH)? else {
        return Ok(None);
    };
    let mut objects = vec![current];
    for head in api.list(HISTORY_PREFIX)? {
        objects.extend(api.get(&head.path)?);
    }
    let lists: Option<Vec<_>> = objects.iter().map(names).collect();
    Ok(lists.map(|it| it.into_iter().flatten().collect()))
}

fn names(object: &StoredObject) -> Option<Vec<PartHash>> {
    let config: StoredConfig = serde_json::from_str(&object.value).ok()?;
    Some(config.into_manifest(object.version).0.parts)
}

fn settle_part(
    api: &ObjectApi,
    now_ms: u64,
    head: &ObjectHead,
    named: bool,
    before: &mut impl FnMut(PartChange),
) -> Result<Option<PartChange>, PlatformError> {
    let object = api.get(&head.path)?;
    let Some(object) = object.filter(|it| it.version == head.version) else {
        return Ok(None);
    };
    let Ok(part) = serde_json::from_str::<StoredPart>(&object.value) else {
        return Ok(None);
    };
    let (change, unused_since_ms) = match (named, part.unused_since_ms) {
        (true, Some(_)) => (PartChange::Unmarked, None),
        (false, None) => (PartChange::Marked, Some(now_ms)),
        (false, Some(since_ms)) if since_ms + PART_KEPT_MS <= now_ms => (PartChange::Deleted, None),
        _ => return Ok(None),
    };
    before(change);
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
    Ok(matches!(outcome, PutOutcome::Stored { .. }).then_some(change))
}
