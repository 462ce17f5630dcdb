//! Reads and writes the parts that the text of a configuration is stored in. The path of a part
//! holds its hash.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::Context;
use crate::CtlError;
use crate::Store;
use wigeonhall_fleet::ConfigRecord;
use wigeonhall_fleet::PartHash;
use wigeonhall_platform::ChangeOutcome;
use wigeonhall_platform::StoredObject;
use wigeonhall_protocol::StoredConfig;
use wigeonhall_protocol::StoredPart;

/// Maximum number of conflicts on writing one part before the command gives up. Another writer
/// interferes only if it applies a change that refers to the same part at the same time, or
/// marks the part as unused.
const MAX_WRITE_CONFLICTS: u32 = 8;

/// Reads the parts of `value`, a stored configuration whose object version is `generation`.
pub(crate) fn read(
    store: &Store,
    value: StoredConfig,
    generation: u64,
) -> Result<ConfigRecord, CtlError> {
    let (manifest, parts) = value.into_manifest(generation);
    let with_hash = |it: Arc<str>| (PartHash::of(&it), it);
    let mut parts: BTreeMap<_, _> = parts.into_iter().map(with_hash).collect();
    let missing: BTreeSet<_> = manifest.parts.iter().copied().collect();
    let missing: Vec<_> = missing
        .into_iter()
        .filter(|it| !parts.contains_key(it))
        .collect();
    let paths: Vec<_> = missing.iter().map(|&it| StoredPart::path(it)).collect();
    let objects = (store.get_many)(&paths)?;
    for (hash, object) in missing.into_iter().zip(objects) {
        parts.insert(hash, read_part(hash, object)?);
    }
    manifest.record(&parts).ok_or(CtlError::NoConfiguration)
}

/// Decodes a part and checks its hash.
fn read_part(hash: PartHash, object: Option<StoredObject>) -> Result<Arc<str>, CtlError> {
    let path = StoredPart::path(hash);
    let Some(object) = object else {
        let reason = "the store does not hold this part of the text".into();
        return Err(CtlError::InvalidObject { path, reason });
    };
    match StoredPart::read(hash, &object.value) {
        Some(part) => Ok(part.text),
        None => Err(CtlError::InvalidObject {
            path,
            reason: "its content does not match the hash in its path".into(),
        }),
    }
}

/// Writes a part that the accepted configuration does not refer to.
///
/// A part that exists already is written again. This changes its version, so a node that
/// found the part unused before can no longer delete it.
pub(crate) fn write(context: &Context, store: &Store, part: &Arc<str>) -> Result<(), CtlError> {
    let path = StoredPart::path(PartHash::of(part));
    let value = serde_json::to_string(&StoredPart::new(Arc::clone(part))).unwrap_or_default();
    let mut backoff = (context.new_backoff)();
    let mut conflicts = 0;
    let mut version = 0;
    loop {
        match (store.put)(&path, version, &value) {
            Ok(ChangeOutcome::Stored { .. }) => return Ok(()),
            Ok(ChangeOutcome::Conflict(object)) if conflicts < MAX_WRITE_CONFLICTS => {
                conflicts += 1;
                version = object.map_or(0, |it| it.version);
            }
            Ok(ChangeOutcome::Conflict(_)) => {
                let reason = "other writers keep changing it".into();
                return Err(CtlError::InvalidObject { path, reason });
            }
            // Retries any other error, since writing the same part twice is harmless.
            Err(error) if !backoff() => return Err(error.into()),
            Err(_) => {}
        }
    }
}
