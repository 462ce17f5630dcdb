use std::sync::Arc;

use crate::ApplyOutcome;
use crate::Context;
use crate::CtlError;
use crate::apply::ConfigDraft;
use crate::apply::wait_for_nodes;
use crate::apply::write_draft;
use crate::current::read_current;
use wigeonhall_settings::Place;
use wigeonhall_settings::parse;
use wigeonhall_settings::set_out;

/// Maximum number of attempts to edit the accepted text while other changes are accepted.
/// The edit sets one flag, so it can be repeated on the newer text.
const MAX_ATTEMPTS: u32 = 5;

/// Takes a data centre or VM out of service, or returns it to service, and waits until every
/// node reports the change.
///
/// # Errors
///
/// The errors of [`apply`](crate::apply()), but [`CtlError::Conflict`] only after
/// several changes by others in a row.
pub fn set_place_out(
    context: &Context,
    place: Place<'_>,
    out: bool,
) -> Result<ApplyOutcome, CtlError> {
    let mut attempts = 1;
    loop {
        let current = read_current(context.store()?)?.ok_or(CtlError::NoConfiguration)?;
        let text = set_out(&current.record.text(), place, out)?;
        let draft = ConfigDraft {
            deployment: parse(&text)?,
            current: Some(current),
            place: Some(place),
            text: Arc::from(text),
        };
        match write_draft(context, &draft) {
            Err(CtlError::Conflict { generation, .. }) if attempts < MAX_ATTEMPTS => {
                (context.print_progress)(&format!(
                    "generation {generation} was accepted first; editing its text"
                ));
                attempts += 1;
            }
            Err(error) => return Err(error),
            Ok(applied) => return Ok(wait_for_nodes(context, &draft, applied)),
        }
    }
}
