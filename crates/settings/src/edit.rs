use crate::DeploymentText;
use crate::SettingsError;
use crate::nearest;
use crate::parse;
use crate::reader::field;
use crate::tree::Entry;
use crate::tree::Item;
use crate::tree::Position;
use crate::tree::Tree;

/// What operators take out of service or return to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place<'a> {
    /// A data centre, by name.
    DataCentre(&'a str),
    /// An entry VM, by name.
    Vm(&'a str),
}

/// Sets the `out` flag of `place` in the text and leaves comments and layout alone.
///
/// The result differs from `text` in that flag only; that is checked by parsing
/// both. A text that already has the flag is returned unchanged.
///
/// # Errors
///
/// - [`SettingsError::Rejected`] if the text has errors before or after the edit.
/// - [`SettingsError::UnknownName`] if the text has no such place.
/// - [`SettingsError::EditUnsupported`] if the entry uses an anchor or a layout
///   that the edit does not know.
pub fn set_out(text: &str, place: Place<'_>, out: bool) -> Result<String, SettingsError> {
    let mut wanted = parse(text)?;
    let (key, name) = match place {
        Place::DataCentre(name) => ("data_centres", name),
        Place::Vm(name) => ("vms", name),
    };
    let flag = flag_of(&mut wanted, place)?;
    if *flag == out {
        return Ok(text.to_owned());
    }
    *flag = out;
    let root = Tree::parse(text).map_err(|finding| SettingsError::Rejected(vec![finding]))?;
    let unsupported = |line| SettingsError::EditUnsupported {
        line,
        name: name.to_owned(),
    };
    let (at, item) = entry(&root, key, name).ok_or_else(|| unsupported(0))?;
    let line = u64::from(at.line);
    let edited = edit(text, at, name, item, out).ok_or_else(|| unsupported(line))?;
    match parse(&edited) {
        Ok(content) if content == wanted => Ok(edited),
        // A flag that leaves nothing in service is a mistake of the text itself.
        Err(SettingsError::Rejected(findings)) if findings.iter().any(|it| it.line == 0) => {
            Err(SettingsError::Rejected(findings))
        }
        _ => Err(unsupported(line)),
    }
}

fn flag_of<'a>(
    content: &'a mut DeploymentText,
    place: Place<'_>,
) -> Result<&'a mut bool, SettingsError> {
    let unknown = |name: &str, nearest: Option<String>| SettingsError::UnknownName {
        nearest,
        name: name.to_owned(),
    };
    match place {
        Place::DataCentre(name) => {
            let near = nearest(name, content.data_centres.keys().map(AsRef::as_ref));
            let near = near.map(str::to_owned);
            let entry = content.data_centres.get_mut(name);
            entry
                .map(|it| &mut it.out)
                .ok_or_else(|| unknown(name, near))
        }
        Place::Vm(name) => {
            let near = nearest(name, content.vms.keys().map(AsRef::as_ref));
            let near = near.map(str::to_owned);
            let entry = content.vms.get_mut(name);
            entry
                .map(|it| &mut it.out)
                .ok_or_else(|| unknown(name, near))
        }
    }
}

fn entry<'a>(root: &'a Item, key: &str, name: &str) -> Option<(Position, &'a Item)> {
    let Tree::Map(top) = &root.value else {
        return None;
    };
    let Tree::Map(entries) = &field(top, key)?.value else {
        return None;
    };
    entries
        .iter()
        .find(|(it, _)| &*it.value == name)
        .map(|(key, item)| (key.at, item))
}

fn edit(text: &str, key: Position, name: &str, item: &Item, out: bool) -> Option<String> {
    let start = item.at;
    match &item.value {
        Tree::Null => {
            let colon = position(text, key)? + name.len();
            let rest = text.get(colon..)?.strip_prefix(':')?;
            let after = text.len() - rest.len();
            Some(inserted(text, after, &format!(" {{ out: {out} }}")))
        }
        Tree::Text(value) => short_form(text, position(text, start)?, value, out),
        Tree::Map(entries) => match field(entries, "out") {
            Some(flag) => {
                let at = position(text, flag.at)?;
                let old = (!out).to_string();
                let rest = text.get(at..)?.strip_prefix(&old)?;
                Some(format!("{}{out}{rest}", &text[..at]))
            }
            None => new_flag(text, position(text, start)?, entries, out),
        },
        _ => None,
    }
}

/// Adds or removes the word `out` after a short form.
fn short_form(text: &str, at: usize, value: &str, out: bool) -> Option<String> {
    let quoted = text.get(at..)?.starts_with(['"', '\'']);
    let at = at + usize::from(quoted);
    let rest = text.get(at..)?.strip_prefix(value)?;
    let end = text.len() - rest.len();
    if out {
        return Some(inserted(text, end, " out"));
    }
    let kept = value.strip_suffix("out")?.trim_end();
    Some(format!("{}{kept}{rest}", &text[..at]))
}

/// Puts an `out` key at the start of a mapping.
fn new_flag(text: &str, at: usize, entries: &[Entry], out: bool) -> Option<String> {
    if let Some(rest) = text.get(at..)?.strip_prefix('{') {
        let inside = match (entries.is_empty(), rest.starts_with([' ', '\n', '\r'])) {
            (true, _) => format!(" out: {out} "),
            (false, true) => format!(" out: {out},"),
            (false, false) => format!("out: {out}, "),
        };
        return Some(inserted(text, at + 1, &inside));
    }
    let first = position(text, entries.first()?.0.at)?;
    let line_start = text[..first].rfind('\n').map_or(0, |it| it + 1);
    let indent = &text[line_start..first];
    if !indent.chars().all(|it| it == ' ') {
        return None;
    }
    let line = text[first..].split_inclusive('\n').next()?;
    let ending = if line.ends_with("\r\n") { "\r\n" } else { "\n" };
    Some(inserted(
        text,
        line_start,
        &format!("{indent}out: {out}{ending}"),
    ))
}

fn inserted(text: &str, at: usize, addition: &str) -> String {
    format!("{}{addition}{}", &text[..at], &text[at..])
}

/// Byte position of a location.
fn position(text: &str, location: Position) -> Option<usize> {
    let line_index = (location.line as usize).checked_sub(1)?;
    let column_index = (location.column as usize).checked_sub(1)?;
    let mut start = 0;
    for line in text.split_inclusive('\n').take(line_index) {
        start += line.len();
    }
    let line = text.get(start..)?;
    let offset = line
        .char_indices()
        .map(|(offset, _)| offset)
        .chain([line.len()])
        .nth(column_index)?;
    Some(start + offset)
}
