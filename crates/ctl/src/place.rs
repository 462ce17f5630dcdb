use std::sync::Arc;

use crate::Applied;
use crate::Context;
use crate::CtlError;
use crate::apply::Draft;
use crate::apply::accept;
use crate::apply::confirm;
use crate::current::read;
use wigeonhall_settings::Place;
use wigeonhall_settings::parse;
use wigeonhall_settings::set_out;

/// Edits of a text that others change meanwhile. The edit concerns one flag, so it is
/// made again on the newer text.
const TRIES: u32 = 5;

/// Takes a place out of service or returns it, and waits until every node reports it.
///
/// # Errors
///
/// As [`apply`](crate::apply()); [`CtlError::Conflict`] only after several changes by
/// others in a row.
pub fn set_place(context: &Context, place: Place<'_>, out: bool) -> Result<Applied, CtlError> {
    let mut tries = 1;
    loop {
        let current = read(context.store()?)?.ok_or(CtlError::NoConfiguration)?;
        let text = set_out(&current.record.text(), place, out)?;
        let draft = Draft {
            content: parse(&text)?,
            current: Some(current),
            place: Some(place),
            text: Arc::from(text),
        };
        match accept(context, &draft) {
            Err(CtlError::Conflict { generation, .. }) if tries < TRIES => {
                (context.say)(&format!(
                    "generation {generation} was accepted first; editing that text"
                ));
                tries += 1;
            }
            Err(error) => return Err(error),
            Ok(applied) => return Ok(confirm(context, &draft, applied)),
        }
    }
}
