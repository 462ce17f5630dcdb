use std::sync::Arc;

use crate::part_shape::PartShape;
use crate::section::Section;
use crate::tree::Entry;
use crate::tree::Item;
use crate::tree::Tree;

/// The limits of the YAML library are 250,000 nodes and 1,000,000 events in a text; near
/// them the whole text decides.
const MAX_NODES: u32 = 240_000;
const MAX_EVENTS: u32 = 900_000;

/// Key under which the entries of a section that began in an earlier part are read.
const INSIDE: &str = "inside:\n";

/// A part of a text, read on its own.
#[derive(Debug)]
pub(crate) struct Part {
    /// Entries that continue the last section of the earlier parts, and then sections.
    entries: Box<[Entry]>,
    nodes: u32,
    shape: PartShape,
}

impl Part {
    /// Reads a part; `None` if it has to be read with its neighbours.
    pub(crate) fn read(text: &str) -> Option<Self> {
        let shape = PartShape::of(text)?;
        let item = match shape.starts_inside {
            None => None,
            Some(false) => Tree::parse(text).ok(),
            Some(true) => Tree::parse(&format!("{INSIDE}{text}")).ok(),
        };
        let entries = match item.map(|it| it.value) {
            Some(Tree::Map(entries)) => entries,
            None if shape.starts_inside.is_none() => Box::default(),
            _ => return None,
        };
        let part = Self {
            nodes: entries.iter().map(|(_, item)| 1 + nodes(item)).sum(),
            entries,
            shape,
        };
        // A section at indentation 0 whose value is no mapping is read as a whole.
        let is_inside = part.shape.starts_inside == Some(true);
        let inside = part.entries.first().filter(|_| is_inside);
        let is_map = inside.is_none_or(|(_, item)| matches!(item.value, Tree::Map(_)));
        is_map.then_some(part)
    }
}

/// The sections of a text, or `None` if the parts do not fit together.
pub(crate) fn sections(parts: &[Arc<Part>]) -> Option<Vec<Section<'_>>> {
    let mut sections = Vec::<Section<'_>>::new();
    let mut base = 0_u64;
    let (mut comment_run, mut events, mut nodes) = (0, 0, 0);
    let mut ended = true;
    let mut open = false;
    for part in parts {
        if !ended {
            return None;
        }
        ended = part.shape.ended;
        comment_run = part.shape.comment_run(comment_run)?;
        nodes += part.nodes;
        events += 2 * part.nodes + part.shape.comments;
        if nodes > MAX_NODES || events > MAX_EVENTS {
            return None;
        }
        // The line of `INSIDE` is no line of the text.
        let is_inside = part.shape.starts_inside == Some(true);
        let part_base = base.wrapping_sub(is_inside.into());
        let mut entries = &part.entries[..];
        if is_inside {
            let section = sections.last_mut().filter(|_| open)?;
            let ((_, inside), rest) = entries.split_first()?;
            let Tree::Map(members) = &inside.value else {
                return None;
            };
            if !matches!(section.item.value, Tree::Map(_) | Tree::Null) {
                return None;
            }
            section.more.push((part_base, members));
            entries = rest;
        }
        sections.extend(entries.iter().map(|it| Section::whole(part_base, it)));
        open = part.shape.open.unwrap_or(open);
        base += u64::from(part.shape.lines);
    }
    Some(sections)
}

fn nodes(item: &Item) -> u32 {
    match &item.value {
        Tree::List(items) => 1 + items.iter().map(nodes).sum::<u32>(),
        Tree::Map(entries) => 1 + entries.iter().map(|(_, it)| 1 + nodes(it)).sum::<u32>(),
        _ => 1,
    }
}
