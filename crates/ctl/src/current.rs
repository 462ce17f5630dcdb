use std::collections::BTreeSet;
use std::sync::Arc;

use crate::CtlError;
use crate::Store;
use crate::parts;
use wigeonhall_fleet::ConfigRecord;
use wigeonhall_fleet::PartHash;
use wigeonhall_platform::StoredObject;
use wigeonhall_protocol::CURRENT_PATH;
use wigeonhall_protocol::StoredConfig;
use wigeonhall_settings::DeploymentText;
use wigeonhall_settings::parse;

/// Maximum number of attempts to read the accepted configuration, which may be replaced, and
/// its parts deleted, while it is read.
const MAX_READ_ATTEMPTS: u32 = 3;

/// The accepted configuration, the one that the store holds as the current one.
#[derive(Clone, Debug)]
pub(crate) struct CurrentConfig {
    /// Whether the value holds the text itself instead of the hashes of its parts.
    pub(crate) is_unsplit: bool,
    pub(crate) record: ConfigRecord,
    /// Value of the object, as stored.
    pub(crate) value: Arc<str>,
}

impl CurrentConfig {
    /// Returns the parsed text; `None` if this version of the command rejects it.
    pub(crate) fn parse_text(&self) -> Option<DeploymentText> {
        parse(&self.record.text()).ok()
    }

    /// Returns the hashes of the parts that the value refers to. The store keeps these parts as
    /// long as this configuration is the accepted one.
    pub(crate) fn part_hashes(&self) -> BTreeSet<PartHash> {
        let parts = self.record.parts.iter().filter(|_| !self.is_unsplit);
        parts.map(|it| PartHash::of(it)).collect()
    }
}

/// Reads the accepted configuration; `None` if there is none yet.
pub(crate) fn read_current(store: &Store) -> Result<Option<CurrentConfig>, CtlError> {
    let mut attempts = 1;
    loop {
        let Some((config, object)) = read_without_parts(store)? else {
            return Ok(None);
        };
        let is_unsplit = config.has_unsplit_text();
        match parts::read(store, config, object.version) {
            Ok(record) => {
                return Ok(Some(CurrentConfig {
                    is_unsplit,
                    record,
                    value: object.value,
                }));
            }
            Err(CtlError::InvalidObject { .. }) if attempts < MAX_READ_ATTEMPTS => attempts += 1,
            Err(error) => return Err(error),
        }
    }
}

/// Reads the accepted configuration without its parts.
pub(crate) fn read_without_parts(
    store: &Store,
) -> Result<Option<(StoredConfig, StoredObject)>, CtlError> {
    let Some(object) = (store.get)(CURRENT_PATH)? else {
        return Ok(None);
    };
    Ok(Some((decode(CURRENT_PATH, &object)?, object)))
}

/// Decodes a stored configuration. `path` names its object in the error.
pub(crate) fn decode(path: &str, object: &StoredObject) -> Result<StoredConfig, CtlError> {
    serde_json::from_str(&object.value).map_err(|error| CtlError::InvalidObject {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}
