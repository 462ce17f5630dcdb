use std::sync::Arc;

use crate::CtlError;
use crate::Store;
use wigeonhall_fleet::ConfigRecord;
use wigeonhall_platform::StoredObject;
use wigeonhall_protocol::CURRENT_PATH;
use wigeonhall_protocol::StoredConfig;
use wigeonhall_settings::DeploymentText;
use wigeonhall_settings::parse;

/// The accepted configuration.
#[derive(Clone, Debug)]
pub(crate) struct Current {
    pub(crate) record: ConfigRecord,
    /// Value of the object.
    pub(crate) value: Arc<str>,
}

impl Current {
    /// Content of the text; `None` if this version of the command rejects the text.
    pub(crate) fn content(&self) -> Option<DeploymentText> {
        parse(&self.record.text).ok()
    }
}

/// Reads the accepted configuration; `None` if there is none yet.
pub(crate) fn read(store: &Store) -> Result<Option<Current>, CtlError> {
    let Some(object) = (store.get)(CURRENT_PATH)? else {
        return Ok(None);
    };
    let record = decode(CURRENT_PATH, &object)?.into_record(object.version);
    Ok(Some(Current {
        record,
        value: object.value,
    }))
}

pub(crate) fn decode(path: &str, object: &StoredObject) -> Result<StoredConfig, CtlError> {
    serde_json::from_str(&object.value).map_err(|error| CtlError::BadRecord {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}
