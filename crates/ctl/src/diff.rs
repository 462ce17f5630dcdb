use std::fmt::Write;

use crate::Context;
use crate::CtlError;
use crate::Report;
use crate::current::read_current;
use crate::difference;
use crate::history::generation_text;
use crate::report::EXIT_DONE;
use wigeonhall_settings::DeploymentText;
use wigeonhall_settings::parse;

/// Lists the differences between `text` and the accepted configuration, or the given
/// generation.
///
/// # Errors
///
/// If the store does not answer or lacks the generation, if an object in it is not a
/// configuration, or if the text has errors.
pub fn diff(context: &Context, text: &str, generation: Option<u64>) -> Result<Report, CtlError> {
    let new = parse(text)?;
    let store = context.store()?;
    let old = match generation {
        Some(generation) => parse(&generation_text(store, generation)?)?,
        None => match read_current(store)? {
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
    Ok(Report::new(EXIT_DONE, &changes, text))
}
