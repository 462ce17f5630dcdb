use crate::DeploymentText;
use crate::SettingsError;
use crate::nearest_name;
use crate::parse;
use crate::reader::field;
use crate::yaml::Entry;
use crate::yaml::Position;
use crate::yaml::Yaml;
use crate::yaml::YamlItem;

/// A data centre or VM that operators take out of service or return to service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place<'a> {
    /// A data centre, by name.
    DataCentre(&'a str),
    /// An entry VM, by name.
    Vm(&'a str),
}

/// Sets the `out` flag of `place` in the text and preserves comments and layout.
///
/// Parses the result and checks that it differs from the parsed `text` in that flag only.
/// Returns the text unchanged if the flag already has the wanted value.
///
/// # Errors
///
/// - [`SettingsError::Rejected`] if the text has errors before or after the edit.
/// - [`SettingsError::UnknownName`] if the text has no data centre or VM of that name.
/// - [`SettingsError::EditUnsupported`] if the entry uses an anchor or an unsupported
///   layout.
pub fn set_out(text: &str, place: Place<'_>, out: bool) -> Result<String, SettingsError> {
    let mut expected = parse(text)?;
    let (key, name) = match place {
        Place::DataCentre(name) => ("data_centres", name),
        Place::Vm(name) => ("vms", name),
    };
    let flag = out_flag(&mut expected, place)?;
    if *flag == out {
        return Ok(text.to_owned());
    }
    *flag = out;
    let root = Yaml::parse(text).map_err(|finding| SettingsError::Rejected(vec![finding]))?;
    let unsupported = |line| SettingsError::EditUnsupported {
        line,
        name: name.to_owned(),
    };
    let (key_position, item) = find_entry(&root, key, name).ok_or_else(|| unsupported(0))?;
    let line = u64::from(key_position.line);
    let edited =
        edit_entry(text, key_position, name, item, out).ok_or_else(|| unsupported(line))?;
    match parse(&edited) {
        Ok(parsed) if parsed == expected => Ok(edited),
        // Findings of line 0 concern the whole text: here, that the edit would
        // take everything out of service.
        Err(SettingsError::Rejected(findings)) if findings.iter().any(|it| it.line == 0) => {
            Err(SettingsError::Rejected(findings))
        }
        _ => Err(unsupported(line)),
    }
}

fn out_flag<'a>(
    parsed: &'a mut DeploymentText,
    place: Place<'_>,
) -> Result<&'a mut bool, SettingsError> {
    let unknown = |name: &str, nearest: Option<String>| SettingsError::UnknownName {
        nearest,
        name: name.to_owned(),
    };
    match place {
        Place::DataCentre(name) => {
            let closest = nearest_name(name, parsed.data_centres.keys().map(AsRef::as_ref));
            let closest = closest.map(str::to_owned);
            let entry = parsed.data_centres.get_mut(name);
            entry
                .map(|it| &mut it.out)
                .ok_or_else(|| unknown(name, closest))
        }
        Place::Vm(name) => {
            let closest = nearest_name(name, parsed.vms.keys().map(AsRef::as_ref));
            let closest = closest.map(str::to_owned);
            let entry = parsed.vms.get_mut(name);
            entry
                .map(|it| &mut it.out)
                .ok_or_else(|| unknown(name, closest))
        }
    }
}

fn find_entry<'a>(root: &'a YamlItem, key: &str, name: &str) -> Option<(Position, &'a YamlItem)> {
    let Yaml::Map(top) = &root.value else {
        return None;
    };
    let Yaml::Map(entries) = &field(top, key)?.value else {
        return None;
    };
    entries
        .iter()
        .find(|(it, _)| &*it.value == name)
        .map(|(key, item)| (key.position, item))
}

fn edit_entry(text: &str, key: Position, name: &str, item: &YamlItem, out: bool) -> Option<String> {
    let start = item.position;
    match &item.value {
        Yaml::Null => {
            let colon = byte_offset(text, key)? + name.len();
            let rest = text.get(colon..)?.strip_prefix(':')?;
            let offset = text.len() - rest.len();
            Some(with_insertion(text, offset, &format!(" {{ out: {out} }}")))
        }
        Yaml::Text(value) => edit_short_form(text, byte_offset(text, start)?, value, out),
        Yaml::Map(entries) => match field(entries, "out") {
            Some(flag) => {
                let offset = byte_offset(text, flag.position)?;
                let old = (!out).to_string();
                let rest = text.get(offset..)?.strip_prefix(&old)?;
                Some(format!("{}{out}{rest}", &text[..offset]))
            }
            None => insert_flag(text, byte_offset(text, start)?, entries, out),
        },
        _ => None,
    }
}

/// Appends the word `out` to a short form (an entry on one line, such as
/// `DATA_CENTRE ADDRESS`), or removes it.
fn edit_short_form(text: &str, offset: usize, value: &str, out: bool) -> Option<String> {
    let quoted = text.get(offset..)?.starts_with(['"', '\'']);
    let offset = offset + usize::from(quoted);
    let rest = text.get(offset..)?.strip_prefix(value)?;
    let end = text.len() - rest.len();
    if out {
        return Some(with_insertion(text, end, " out"));
    }
    let kept = value.strip_suffix("out")?.trim_end();
    Some(format!("{}{kept}{rest}", &text[..offset]))
}

/// Inserts an `out` key at the start of a mapping.
fn insert_flag(text: &str, offset: usize, entries: &[Entry], out: bool) -> Option<String> {
    if let Some(rest) = text.get(offset..)?.strip_prefix('{') {
        let inside = match (entries.is_empty(), rest.starts_with([' ', '\n', '\r'])) {
            (true, _) => format!(" out: {out} "),
            (false, true) => format!(" out: {out},"),
            (false, false) => format!("out: {out}, "),
        };
        return Some(with_insertion(text, offset + 1, &inside));
    }
    let first = byte_offset(text, entries.first()?.0.position)?;
    let line_start = text[..first].rfind('\n').map_or(0, |it| it + 1);
    let indent = &text[line_start..first];
    if !indent.chars().all(|it| it == ' ') {
        return None;
    }
    let line = text[first..].split_inclusive('\n').next()?;
    let ending = if line.ends_with("\r\n") { "\r\n" } else { "\n" };
    Some(with_insertion(
        text,
        line_start,
        &format!("{indent}out: {out}{ending}"),
    ))
}

fn with_insertion(text: &str, offset: usize, addition: &str) -> String {
    format!("{}{addition}{}", &text[..offset], &text[offset..])
}

/// Returns the byte offset of a position.
fn byte_offset(text: &str, position: Position) -> Option<usize> {
    let line_index = (position.line as usize).checked_sub(1)?;
    let column_index = (position.column as usize).checked_sub(1)?;
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
