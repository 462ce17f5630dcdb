use std::borrow::Cow;

use crate::yaml::Entry;
use crate::yaml::Key;
use crate::yaml::Yaml;
use crate::yaml::YamlItem;

/// A top-level key of the text with its value. If the text is parsed in parts (consecutive
/// pieces of it), the value may continue in later parts.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    /// Number of lines before the part that holds `key` and `item`.
    pub(crate) line_offset: u64,
    /// Value within the part that holds the key. If the value continues in later parts,
    /// this is a mapping or null.
    pub(crate) item: &'a YamlItem,
    pub(crate) key: &'a Key,
    /// Entries in later parts, each group with the number of lines before its part.
    pub(crate) continuations: Vec<(u64, &'a [Entry])>,
}

impl<'a> Section<'a> {
    /// Creates a section that lies within one part.
    pub(crate) const fn in_one_part(line_offset: u64, (key, item): &'a Entry) -> Self {
        Self {
            line_offset,
            item,
            key,
            continuations: Vec::new(),
        }
    }

    /// Returns the entries of each part, with the number of lines before that part.
    pub(crate) fn entries_by_part(&self) -> impl Iterator<Item = (u64, &'a [Entry])> {
        let first = match &self.item.value {
            Yaml::Map(entries) => &entries[..],
            _ => &[],
        };
        std::iter::once((self.line_offset, first)).chain(self.continuations.iter().copied())
    }

    /// Returns the whole value. An owned value has line numbers of the whole text; a
    /// borrowed one has those of its part.
    pub(crate) fn joined_value(&self) -> Cow<'a, YamlItem> {
        if self.continuations.is_empty() {
            return Cow::Borrowed(self.item);
        }
        let entries = self.entries_by_part().flat_map(|(line_offset, entries)| {
            let offset_entry = move |(key, item): &Entry| {
                let mut key = key.clone();
                key.position.line += line_offset as u32;
                (key, with_line_offset(item, line_offset as u32))
            };
            entries.iter().map(offset_entry)
        });
        let entries = entries.collect::<Box<[_]>>();
        Cow::Owned(YamlItem {
            position: entries
                .first()
                .map_or(self.item.position, |(key, _)| key.position),
            value: Yaml::Map(entries),
        })
    }
}

fn with_line_offset(item: &YamlItem, lines: u32) -> YamlItem {
    let mut item = item.clone();
    add_line_offset(&mut item, lines);
    item
}

fn add_line_offset(item: &mut YamlItem, lines: u32) {
    item.position.line += lines;
    match &mut item.value {
        Yaml::List(items) => items.iter_mut().for_each(|it| add_line_offset(it, lines)),
        Yaml::Map(entries) => {
            for (key, item) in entries {
                key.position.line += lines;
                add_line_offset(item, lines);
            }
        }
        _ => {}
    }
}
