use std::sync::Arc;

use crate::Context;
use crate::CtlError;
use crate::Store;
use crate::current::decode;
use crate::history::generations;
use crate::history::history_path;
use wigeonhall_platform::ChangeOutcome;
use wigeonhall_platform::StoredObject;
use wigeonhall_protocol::CURRENT_PATH;
use wigeonhall_types::Verdict;

/// A conditional update of the accepted configuration, the one that the store holds as the current
/// one. Its generation is its object version.
#[derive(Debug)]
pub(crate) struct ConfigUpdate<'a> {
    /// Generation that the update replaces; 0 if there is none.
    pub(crate) base_generation: u64,
    pub(crate) change_id: &'a Arc<str>,
    /// Unix time in milliseconds after which a stored part of the text that `value` refers to may
    /// be deleted.
    pub(crate) valid_until_ms: u64,
    pub(crate) value: &'a str,
}

/// Sends a conditional update and returns the accepted generation.
///
/// If the reply is lost, reads the object back and looks for the change id. While the
/// object is still at `base_generation`, sends the same update again: every copy is conditional on
/// that generation, so at most one takes effect.
pub(crate) fn write(
    context: &Context,
    store: &Store,
    update: &ConfigUpdate<'_>,
) -> Result<u64, CtlError> {
    if !update.is_valid(context) {
        return Err(CtlError::PartsExpired);
    }
    match (store.put)(CURRENT_PATH, update.base_generation, update.value) {
        Ok(ChangeOutcome::Stored { version }) => return Ok(version),
        Ok(ChangeOutcome::Conflict(Some(object))) => {
            return match conflict(&object)? {
                // The connection may have delivered the request twice.
                CtlError::Conflict { change_id, .. } if change_id == *update.change_id => {
                    Ok(object.version)
                }
                error => Err(error),
            };
        }
        Ok(ChangeOutcome::Conflict(None)) => return Err(CtlError::NoConfiguration),
        Err(error) if error.verdict() == Verdict::NotRun => return Err(error.into()),
        Err(error) => (context.print_progress)(&format!(
            "{error}; reading back change {}",
            update.change_id
        )),
    }
    let mut backoff = (context.new_backoff)();
    loop {
        if let Some(outcome) = read_back(context, store, update) {
            return outcome;
        }
        if !backoff() {
            return Err(update.outcome_unknown());
        }
    }
}

/// Returns the outcome of the update, or `None` if it is not known yet.
fn read_back(
    context: &Context,
    store: &Store,
    update: &ConfigUpdate<'_>,
) -> Option<Result<u64, CtlError>> {
    let object = (store.get)(CURRENT_PATH).ok()?;
    let generation = object.as_ref().map_or(0, |object| object.version);
    if generation == update.base_generation {
        if !update.is_valid(context) {
            return None;
        }
        return match (store.put)(CURRENT_PATH, update.base_generation, update.value) {
            Ok(ChangeOutcome::Stored { version }) => Some(Ok(version)),
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
        return Some(Ok(generation));
    }
    find_in_history(store, update, &object)
}

/// Returns the outcome of an update when the object holds another change, or `None` if it
/// is not known yet.
///
/// Before a command replaces a generation, it makes sure that the history holds it. So an
/// update that is neither the current one nor in the history was not accepted, unless the history,
/// which keeps the last `HISTORY_KEPT` generations, may have dropped it since.
fn find_in_history(
    store: &Store,
    update: &ConfigUpdate<'_>,
    current: &StoredObject,
) -> Option<Result<u64, CtlError>> {
    let recorded = generations(store).ok()?;
    let later = recorded.iter().filter(|it| **it > update.base_generation);
    for generation in later.clone() {
        let path = history_path(*generation);
        let object = (store.get)(&path).ok()??;
        if decode(&path, &object).ok()?.change_id == *update.change_id {
            return Some(Ok(*generation));
        }
    }
    if later.count() >= crate::HISTORY_KEPT {
        return Some(Err(update.outcome_unknown()));
    }
    Some(Err(match conflict(current) {
        Ok(error) | Err(error) => error,
    }))
}

/// Returns the conflict with the change that `object` holds.
fn conflict(object: &StoredObject) -> Result<CtlError, CtlError> {
    let other = decode(CURRENT_PATH, object)?;
    Ok(CtlError::Conflict {
        author: other.author,
        change_id: other.change_id,
        generation: object.version,
    })
}

impl ConfigUpdate<'_> {
    fn is_valid(&self, context: &Context) -> bool {
        (context.unix_ms)() < self.valid_until_ms
    }

    fn outcome_unknown(&self) -> CtlError {
        CtlError::OutcomeUnknown {
            base: self.base_generation,
            change_id: Arc::clone(self.change_id),
        }
    }
}
