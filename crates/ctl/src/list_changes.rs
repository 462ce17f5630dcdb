use std::fmt::Write;

use crate::Context;
use crate::CtlError;
use crate::Report;
use crate::current::read;
use crate::difference;
use crate::history::text_of;
use crate::report::DONE;
use wigeonhall_settings::DeploymentText;
use wigeonhall_settings::parse;

/// Lists what `text` would change in the accepted configuration, or in an earlier
/// generation.
///
/// # Errors
///
/// If the store does not answer, lacks the generation or holds something else, or the
/// text has errors.
pub fn diff(context: &Context, text: &str, generation: Option<u64>) -> Result<Report, CtlError> {
    let new = parse(text)?;
    let store = context.store()?;
    let old = match generation {
        Some(generation) => parse(&text_of(store, generation)?)?,
        None => match read(store)? {
            Some(current) => parse(&current.record.text())?,
            None => DeploymentText::default(),
        },
    };
    let changes = difference(&old, &new);
    let mut text = String::new();
    for change in &changes {
        let _ = writeln!(text, "{change}");
    }
    if changes.is_empty() {
        text.push_str("no difference\n");
    }
    Ok(Report::new(DONE, &changes, text))
}
