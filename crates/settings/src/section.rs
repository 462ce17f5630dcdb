use std::borrow::Cow;

use crate::tree::Entry;
use crate::tree::Item;
use crate::tree::Key;
use crate::tree::Tree;

/// A key of the text with its value, which later parts may continue.
#[derive(Debug)]
pub(crate) struct Section<'a> {
    /// Lines of the text before those of `key` and `item`.
    pub(crate) base: u64,
    /// Value as far as the part of the key holds it: a mapping or nothing if it
    /// continues.
    pub(crate) item: &'a Item,
    pub(crate) key: &'a Key,
    /// Entries of later parts, each with the lines of the text before theirs.
    pub(crate) more: Vec<(u64, &'a [Entry])>,
}

impl<'a> Section<'a> {
    /// A section that lies in one part.
    pub(crate) const fn whole(base: u64, (key, item): &'a Entry) -> Self {
        Self {
            base,
            item,
            key,
            more: Vec::new(),
        }
    }

    /// The entries of all parts.
    pub(crate) fn members(&self) -> impl Iterator<Item = (u64, &'a [Entry])> {
        let first = match &self.item.value {
            Tree::Map(entries) => &entries[..],
            _ => &[],
        };
        std::iter::once((self.base, first)).chain(self.more.iter().copied())
    }

    /// The whole value; an owned one has the lines of the text.
    pub(crate) fn joined(&self) -> Cow<'a, Item> {
        if self.more.is_empty() {
            return Cow::Borrowed(self.item);
        }
        let entries = self.members().flat_map(|(base, entries)| {
            let shifted = move |(key, item): &Entry| {
                let mut key = key.clone();
                key.at.line += base as u32;
                (key, shifted(item, base as u32))
            };
            entries.iter().map(shifted)
        });
        let entries = entries.collect::<Box<[_]>>();
        Cow::Owned(Item {
            at: entries.first().map_or(self.item.at, |(key, _)| key.at),
            value: Tree::Map(entries),
        })
    }
}

fn shifted(item: &Item, lines: u32) -> Item {
    let mut item = item.clone();
    shift(&mut item, lines);
    item
}

fn shift(item: &mut Item, lines: u32) {
    item.at.line += lines;
    match &mut item.value {
        Tree::List(items) => items.iter_mut().for_each(|it| shift(it, lines)),
        Tree::Map(entries) => {
            for (key, item) in entries {
                key.at.line += lines;
                shift(item, lines);
            }
        }
        _ => {}
    }
}
