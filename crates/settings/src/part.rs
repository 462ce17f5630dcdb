use std::sync::Arc;

use crate::part_layout::PartLayout;
use crate::section::Section;
use crate::yaml::Entry;
use crate::yaml::Yaml;
use crate::yaml::YamlItem;

/// The YAML library rejects texts of more than 250,000 nodes or 1,000,000 parser
/// events. Close to these limits the text is parsed as a whole, so that the library decides.
const MAX_NODES: u32 = 240_000;
const MAX_EVENTS: u32 = 900_000;

/// Key that is put before a part that starts within a section, so that its entries parse
/// as the value of this key.
const PLACEHOLDER_KEY: &str = "inside:\n";

/// A part (one of the consecutive pieces) of a deployment text, parsed on its own.
#[derive(Debug)]
pub(crate) struct Part {
    /// Sections of the part. If the part starts within a section, the first entry is the
    /// placeholder key with the entries that continue that section.
    entries: Box<[Entry]>,
    node_count: u32,
    layout: PartLayout,
}

impl Part {
    /// Parses a part. Returns `None` if it can be parsed only together with its neighbours.
    pub(crate) fn read(text: &str) -> Option<Self> {
        let layout = PartLayout::of(text)?;
        let item = match layout.starts_in_section {
            // Only blank lines and comments.
            None => None,
            Some(false) => Yaml::parse(text).ok(),
            Some(true) => Yaml::parse(&format!("{PLACEHOLDER_KEY}{text}")).ok(),
        };
        let entries = match item.map(|it| it.value) {
            Some(Yaml::Map(entries)) => entries,
            None if layout.starts_in_section.is_none() => Box::default(),
            _ => return None,
        };
        let part = Self {
            node_count: entries.iter().map(|(_, item)| 1 + nodes(item)).sum(),
            entries,
            layout,
        };
        // The value of a section at indentation 0 must be a mapping to continue over parts;
        // otherwise the text is parsed as a whole.
        let starts_in_section = part.layout.starts_in_section == Some(true);
        let first_entry_value = part.entries.first().filter(|_| starts_in_section);
        let continues_mapping =
            first_entry_value.is_none_or(|(_, item)| matches!(item.value, Yaml::Map(_)));
        continues_mapping.then_some(part)
    }
}

/// Joins parts to the sections of a text. Returns `None` if the text must be parsed as a
/// whole.
pub(crate) fn join_parts(parts: &[Arc<Part>]) -> Option<Vec<Section<'_>>> {
    let mut sections = Vec::<Section<'_>>::new();
    let mut line_offset = 0_u64;
    let (mut comment_run, mut events, mut node_count) = (0, 0, 0);
    let mut ends_with_newline = true;
    // Whether the next part may continue the last section.
    let mut last_section_open = false;
    for part in parts {
        if !ends_with_newline {
            return None;
        }
        ends_with_newline = part.layout.ends_with_newline;
        comment_run = part.layout.comment_run(comment_run)?;
        node_count += part.node_count;
        // Upper bound: a node has at most two events, a comment or blank line one.
        events += 2 * part.node_count + part.layout.comments;
        if node_count > MAX_NODES || events > MAX_EVENTS {
            return None;
        }
        // The line of `PLACEHOLDER_KEY` is not part of the text.
        let starts_in_section = part.layout.starts_in_section == Some(true);
        let part_line_offset = line_offset.wrapping_sub(starts_in_section.into());
        let mut entries = &part.entries[..];
        if starts_in_section {
            let section = sections.last_mut().filter(|_| last_section_open)?;
            let ((_, first_entry_value), rest) = entries.split_first()?;
            let Yaml::Map(continuation) = &first_entry_value.value else {
                return None;
            };
            if !matches!(section.item.value, Yaml::Map(_) | Yaml::Null) {
                return None;
            }
            section.continuations.push((part_line_offset, continuation));
            entries = rest;
        }
        sections.extend(
            entries
                .iter()
                .map(|it| Section::in_one_part(part_line_offset, it)),
        );
        last_section_open = part.layout.last_section_open.unwrap_or(last_section_open);
        line_offset += u64::from(part.layout.lines);
    }
    Some(sections)
}

/// Returns the number of YAML nodes in a value.
fn nodes(item: &YamlItem) -> u32 {
    match &item.value {
        Yaml::List(items) => 1 + items.iter().map(nodes).sum::<u32>(),
        Yaml::Map(entries) => 1 + entries.iter().map(|(_, it)| 1 + nodes(it)).sum::<u32>(),
        _ => 1,
    }
}
