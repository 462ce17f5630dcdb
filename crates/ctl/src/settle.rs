use std::sync::Arc;

use crate::Context;
use crate::CtlError;
use crate::Store;
use crate::current::decode;
use crate::history::generations;
use crate::history::path_of;
use wigeonhall_platform::PutOutcome;
use wigeonhall_platform::StoredObject;
use wigeonhall_protocol::CURRENT_PATH;
use wigeonhall_types::Verdict;

/// One update of the accepted configuration.
#[derive(Debug)]
pub(crate) struct Update<'a> {
    /// Generation that it replaces; 0 if there is none.
    pub(crate) base: u64,
    pub(crate) change_id: &'a Arc<str>,
    /// Time after which a part that the value names may be gone.
    pub(crate) valid_until_ms: u64,
    pub(crate) value: &'a str,
}

/// Makes one conditional update and returns the generation.
///
/// An update whose reply was lost is read back by its change id. While the object
/// is still at `base`, the same update is sent again: it is conditional on `base`, so
/// at most one of the copies takes effect.
pub(crate) fn write(
    context: &Context,
    store: &Store,
    update: &Update<'_>,
) -> Result<u64, CtlError> {
    if !update.is_valid(context) {
        return Err(CtlError::TooLate);
    }
    match (store.put)(CURRENT_PATH, update.base, update.value) {
        Ok(PutOutcome::Stored { version }) => return Ok(version),
        Ok(PutOutcome::Conflict(Some(object))) => {
            return match conflict(&object)? {
                // A connection may have carried the request twice.
                CtlError::Conflict { change_id, .. } if change_id == *update.change_id => {
                    Ok(object.version)
                }
                error => Err(error),
            };
        }
        Ok(PutOutcome::Conflict(None)) => return Err(CtlError::NoConfiguration),
        Err(error) if error.verdict() == Verdict::NotRun => return Err(error.into()),
        Err(error) => (context.say)(&format!(
            "{error}; reading back change {}",
            update.change_id
        )),
    }
    let mut wait = (context.patience)();
    loop {
        if let Some(outcome) = read_back(context, store, update) {
            return outcome;
        }
        if !wait() {
            return Err(update.unsettled());
        }
    }
}

/// The outcome of the update, if it can be told now.
fn read_back(
    context: &Context,
    store: &Store,
    update: &Update<'_>,
) -> Option<Result<u64, CtlError>> {
    let object = (store.get)(CURRENT_PATH).ok()?;
    let version = object.as_ref().map_or(0, |object| object.version);
    if version == update.base {
        if !update.is_valid(context) {
            return None;
        }
        return match (store.put)(CURRENT_PATH, update.base, update.value) {
            Ok(PutOutcome::Stored { version }) => Some(Ok(version)),
            _ => None,
        };
    }
    let Some(object) = object else {
        return Some(Err(CtlError::NoConfiguration));
    };
    let record = match decode(CURRENT_PATH, &object) {
        Ok(record) => record,
        Err(error) => return Some(Err(error)),
    };
    if record.change_id == *update.change_id {
        return Some(Ok(version));
    }
    superseded(store, update, &object)
}

/// The outcome of an update after which another one was accepted.
///
/// Whoever replaces a generation first makes sure that the history holds it, so an
/// update that is neither in force nor in the history was not accepted.
fn superseded(
    store: &Store,
    update: &Update<'_>,
    current: &StoredObject,
) -> Option<Result<u64, CtlError>> {
    let known = generations(store).ok()?;
    let later = known.iter().filter(|it| **it > update.base);
    for generation in later.clone() {
        let path = path_of(*generation);
        let object = (store.get)(&path).ok()??;
        if decode(&path, &object).ok()?.change_id == *update.change_id {
            return Some(Ok(*generation));
        }
    }
    if later.count() >= crate::HISTORY_KEPT {
        return Some(Err(update.unsettled()));
    }
    Some(Err(match conflict(current) {
        Ok(error) | Err(error) => error,
    }))
}

fn conflict(object: &StoredObject) -> Result<CtlError, CtlError> {
    let other = decode(CURRENT_PATH, object)?;
    Ok(CtlError::Conflict {
        author: other.author,
        change_id: other.change_id,
        generation: object.version,
    })
}

impl Update<'_> {
    fn is_valid(&self, context: &Context) -> bool {
        (context.unix_ms)() < self.valid_until_ms
    }

    fn unsettled(&self) -> CtlError {
        CtlError::Unsettled {
            base: self.base,
            change_id: Arc::clone(self.change_id),
        }
    }
}
