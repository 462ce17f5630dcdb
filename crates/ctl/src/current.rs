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

/// Reads of a generation that is replaced, and its parts removed, while it is read.
const TRIES: u32 = 3;

/// The accepted configuration.
#[derive(Clone, Debug)]
pub(crate) struct Current {
    /// Whether the text is not cut into parts.
    pub(crate) old_form: bool,
    pub(crate) record: ConfigRecord,
    /// Value of the object.
    pub(crate) value: Arc<str>,
}

impl Current {
    /// Content of the text; `None` if this version of the command rejects the text.
    pub(crate) fn content(&self) -> Option<DeploymentText> {
        parse(&self.record.text()).ok()
    }

    /// The parts that the store holds as long as this generation is the accepted one.
    pub(crate) fn named_parts(&self) -> BTreeSet<PartHash> {
        let parts = self.record.parts.iter().filter(|_| !self.old_form);
        parts.map(|it| PartHash::of(it)).collect()
    }
}

/// Reads the accepted configuration; `None` if there is none yet.
pub(crate) fn read(store: &Store) -> Result<Option<Current>, CtlError> {
    let mut tries = 1;
    loop {
        let Some((config, object)) = read_head(store)? else {
            return Ok(None);
        };
        let old_form = config.has_unsplit_text();
        match parts::read(store, config, object.version) {
            Ok(record) => {
                return Ok(Some(Current {
                    old_form,
                    record,
                    value: object.value,
                }));
            }
            Err(CtlError::BadRecord { .. }) if tries < TRIES => tries += 1,
            Err(error) => return Err(error),
        }
    }
}

/// Reads the accepted configuration without its parts.
pub(crate) fn read_head(store: &Store) -> Result<Option<(StoredConfig, StoredObject)>, CtlError> {
    let Some(object) = (store.get)(CURRENT_PATH)? else {
        return Ok(None);
    };
    Ok(Some((decode(CURRENT_PATH, &object)?, object)))
}

pub(crate) fn decode(path: &str, object: &StoredObject) -> Result<StoredConfig, CtlError> {
    serde_json::from_str(&object.value).map_err(|error| CtlError::BadRecord {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}
