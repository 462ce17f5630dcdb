use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use crate::Finding;
use crate::Severity;
use crate::nearest;
use crate::tree::Entry;
use crate::tree::Item;
use crate::tree::Key;
use crate::tree::Tree;

/// Longest name in bytes; names are parts of object paths and metric labels.
const MAX_NAME_BYTES: usize = 64;

/// Line of a node within its part of the text, where the operators wrote it.
pub(crate) fn line(item: &Item) -> u64 {
    item.at.line.into()
}

/// The value of `key`; the first one if the key is repeated.
pub(crate) fn field<'a>(entries: &'a [Entry], key: &str) -> Option<&'a Item> {
    entries
        .iter()
        .find(|(name, _)| &*name.value == key)
        .map(|(_, value)| value)
}

/// Reads typed values out of a document and collects the mistakes.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    /// Lines of the text before the part that is read; findings add it to their line.
    pub(crate) base: u64,
    pub(crate) findings: Vec<Finding>,
}

impl Reader {
    pub(crate) fn error(&mut self, line: u64, problem: String, mend: impl Into<String>) {
        self.findings.push(Finding {
            line: self.base + line,
            mend: mend.into(),
            problem,
            severity: Severity::Error,
        });
    }

    pub(crate) fn warning(&mut self, line: u64, problem: String, mend: impl Into<String>) {
        self.findings.push(Finding {
            line: self.base + line,
            mend: mend.into(),
            problem,
            severity: Severity::Warning,
        });
    }

    /// The findings by rising line, without repeats.
    pub(crate) fn into_findings(mut self) -> Vec<Finding> {
        self.findings.sort();
        self.findings.dedup();
        self.findings
    }

    /// The entries of a mapping; `what` names the mapping.
    pub(crate) fn map<'a>(&mut self, item: &'a Item, what: &str) -> &'a [Entry] {
        match &item.value {
            Tree::Map(entries) => {
                self.repeats(entries);
                entries
            }
            Tree::Null => &[],
            other => {
                self.error(
                    line(item),
                    format!("{what} is {}", other.kind()),
                    "write a mapping of keys to values",
                );
                &[]
            }
        }
    }

    fn repeats(&mut self, entries: &[Entry]) {
        // Most mappings are written in order, where neighbours show that none repeats.
        if entries.is_sorted_by(|(left, _), (right, _)| left.value < right.value) {
            return;
        }
        let base = self.base;
        let keys = entries.iter().map(|(key, _)| (base, key));
        self.repeated_keys(keys);
    }

    /// Reports repeats among the keys of a mapping, each with the base of its lines.
    pub(crate) fn repeated_keys<'a>(&mut self, keys: impl Iterator<Item = (u64, &'a Key)>) {
        let mut seen = HashMap::new();
        for (base, key) in keys {
            let at = base + u64::from(key.at.line);
            if let Some(first) = seen.insert(&*key.value, at) {
                let problem = format!("`{}` was given before, in line {first}", key.value);
                self.findings.push(Finding {
                    line: at,
                    mend: "remove one of the two".into(),
                    problem,
                    severity: Severity::Error,
                });
            }
        }
    }

    /// Reports the keys that are not in `known`.
    pub(crate) fn known_keys(&mut self, entries: &[Entry], known: &[&str], what: &str) {
        for (key, _) in entries {
            self.known_key(key, known, what);
        }
    }

    /// Reports `key` if it is not in `known`.
    pub(crate) fn known_key(&mut self, key: &Key, known: &[&str], what: &str) {
        if known.contains(&&*key.value) {
            return;
        }
        let mend = nearest(&key.value, known.iter().copied()).map_or_else(
            || format!("the keys here are: {}", known.join(", ")),
            |nearest| format!("did you mean `{nearest}`?"),
        );
        let problem = format!("{what} has no key `{}`", key.value);
        self.error(key.at.line.into(), problem, mend);
    }

    /// A value that must be present; `at` is the line of its owner.
    pub(crate) fn required<'a>(
        &mut self,
        entries: &'a [Entry],
        key: &str,
        at: u64,
        what: &str,
    ) -> Option<&'a Item> {
        let found = field(entries, key);
        if found.is_none() {
            self.error(at, format!("{what} has no `{key}`"), format!("add `{key}`"));
        }
        found
    }

    /// A whole number within `range`.
    pub(crate) fn whole(
        &mut self,
        item: &Item,
        key: &str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = match &item.value {
            Tree::Integer(value) => u64::try_from(**value).ok(),
            _ => None,
        };
        let value = value.filter(|value| range.contains(value));
        if value.is_none() {
            let given = match &item.value {
                Tree::Integer(value) => value.to_string(),
                other => other.kind().to_owned(),
            };
            self.error(
                line(item),
                format!("`{key}` is {given}"),
                format!(
                    "write a whole number from {} to {}",
                    range.start(),
                    range.end()
                ),
            );
        }
        value
    }

    /// A whole number of an optional key within `range`.
    pub(crate) fn optional_whole(
        &mut self,
        entries: &[Entry],
        key: &str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        self.whole(field(entries, key)?, key, range)
    }

    /// A flag that is false if it is absent.
    pub(crate) fn flag(&mut self, entries: &[Entry], key: &str) -> bool {
        match field(entries, key).map(|item| (line(item), &item.value)) {
            None => false,
            Some((_, Tree::Bool(value))) => *value,
            Some((at, other)) => {
                let problem = format!("`{key}` is {}", other.kind());
                self.error(at, problem, "write true or false");
                false
            }
        }
    }

    /// Text that is not empty.
    pub(crate) fn text<'a>(&mut self, item: &'a Item, key: &str) -> Option<&'a Arc<str>> {
        match &item.value {
            Tree::Text(text) if !text.trim().is_empty() => Some(text),
            other => {
                let problem = format!("`{key}` is {}", other.kind());
                self.error(line(item), problem, "write text, in quotes if need be");
                None
            }
        }
    }

    /// Reports `name` if other entries and object paths cannot hold it.
    pub(crate) fn check_name(&mut self, name: &str, at: u64, what: &str) {
        let fits = !name.is_empty()
            && name.len() <= MAX_NAME_BYTES
            && name
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_'));
        if !fits {
            self.error(
                at,
                format!("`{name}` is not a name for {what}"),
                format!("use 1 to {MAX_NAME_BYTES} letters, digits, `-` and `_`"),
            );
        }
    }

    /// A name given as a value.
    pub(crate) fn name_value(&mut self, item: &Item, key: &str) -> Option<Arc<str>> {
        let text = self.text(item, key)?;
        self.check_name(text, line(item), &format!("`{key}`"));
        Some(text.clone())
    }

    /// An address of the form `IP:port`.
    pub(crate) fn address(&mut self, text: &str, at: u64, key: &str) -> Option<SocketAddr> {
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() > 0 && !address.ip().is_unspecified() => Some(address),
            _ => {
                self.error(
                    at,
                    format!("`{key}` is `{text}`, which is not an address to connect to"),
                    "write an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080",
                );
                None
            }
        }
    }

    /// The address of a key that must be present.
    pub(crate) fn address_field(
        &mut self,
        entries: &[Entry],
        key: &str,
        at: u64,
        what: &str,
    ) -> Option<SocketAddr> {
        let item = self.required(entries, key, at, what)?;
        let text = self.text(item, key)?;
        self.address(text, line(item), key)
    }
}
