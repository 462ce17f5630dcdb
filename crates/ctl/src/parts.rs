//! Parts of texts in the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::Context;
use crate::CtlError;
use crate::Store;
use wigeonhall_fleet::ConfigRecord;
use wigeonhall_fleet::PartHash;
use wigeonhall_platform::PutOutcome;
use wigeonhall_platform::StoredObject;
use wigeonhall_protocol::StoredConfig;
use wigeonhall_protocol::StoredPart;

/// Writes of one part that others overtake, before the command gives up. Others write
/// it only when they rely on it at the same time or mark it as unused.
const OVERTAKEN: u32 = 8;

/// Reads the parts of a value that was read at this version.
pub(crate) fn read(
    store: &Store,
    value: StoredConfig,
    generation: u64,
) -> Result<ConfigRecord, CtlError> {
    let (list, parts) = value.into_manifest(generation);
    let with_hash = |it: Arc<str>| (PartHash::of(&it), it);
    let mut parts: BTreeMap<_, _> = parts.into_iter().map(with_hash).collect();
    let missing: BTreeSet<_> = list.parts.iter().copied().collect();
    let missing: Vec<_> = missing
        .into_iter()
        .filter(|it| !parts.contains_key(it))
        .collect();
    let paths: Vec<_> = missing.iter().map(|&it| StoredPart::path(it)).collect();
    let objects = (store.get_many)(&paths)?;
    for (hash, object) in missing.into_iter().zip(objects) {
        parts.insert(hash, read_part(hash, object)?);
    }
    list.record(&parts).ok_or(CtlError::NoConfiguration)
}

fn read_part(hash: PartHash, object: Option<StoredObject>) -> Result<Arc<str>, CtlError> {
    let path = StoredPart::path(hash);
    let Some(object) = object else {
        let reason = "the store does not hold this part of the text".into();
        return Err(CtlError::BadRecord { path, reason });
    };
    match StoredPart::read(hash, &object.value) {
        Some(part) => Ok(part.text),
        None => Err(CtlError::BadRecord {
            path,
            reason: "its content has another hash".into(),
        }),
    }
}

/// Writes a part that the generation before does not name.
///
/// A part that is there already is written again: its version changes, and whoever
/// found it unused before cannot delete it any more.
pub(crate) fn write(context: &Context, store: &Store, part: &Arc<str>) -> Result<(), CtlError> {
    let path = StoredPart::path(PartHash::of(part));
    let value = serde_json::to_string(&StoredPart::new(Arc::clone(part))).unwrap_or_default();
    let mut wait = (context.patience)();
    let mut overtaken = 0;
    let mut version = 0;
    loop {
        match (store.put)(&path, version, &value) {
            Ok(PutOutcome::Stored { .. }) => return Ok(()),
            Ok(PutOutcome::Conflict(held)) if overtaken < OVERTAKEN => {
                overtaken += 1;
                version = held.map_or(0, |it| it.version);
            }
            Ok(PutOutcome::Conflict(_)) => {
                let reason = "others write it all the time".into();
                return Err(CtlError::BadRecord { path, reason });
            }
            // Writing the same part twice does no harm.
            Err(error) if !wait() => return Err(error.into()),
            Err(_) => {}
        }
    }
}
