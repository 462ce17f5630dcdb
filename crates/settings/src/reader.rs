use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use crate::Finding;
use crate::Severity;
use crate::nearest_name;
use crate::yaml::Entry;
use crate::yaml::Key;
use crate::yaml::Yaml;
use crate::yaml::YamlItem;

/// Maximum length of a name, which becomes part of object paths and metric labels.
const MAX_NAME_BYTES: usize = 64;

/// Returns the line of a YAML node, counted from the start of its part of the text.
pub(crate) fn item_line(item: &YamlItem) -> u64 {
    item.position.line.into()
}

/// Returns the value of `key`, the first one if the key is repeated.
pub(crate) fn field<'a>(entries: &'a [Entry], key: &str) -> Option<&'a YamlItem> {
    entries
        .iter()
        .find(|(name, _)| &*name.value == key)
        .map(|(_, value)| value)
}

/// Extracts typed values from a YAML document and collects findings.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    /// Number of lines before the part that is being read; added to the line of findings.
    pub(crate) line_offset: u64,
    pub(crate) findings: Vec<Finding>,
}

impl Reader {
    pub(crate) fn error(&mut self, line: u64, problem: String, fix: impl Into<String>) {
        self.findings.push(Finding {
            line: self.line_offset + line,
            fix: fix.into(),
            problem,
            severity: Severity::Error,
        });
    }

    pub(crate) fn warning(&mut self, line: u64, problem: String, fix: impl Into<String>) {
        self.findings.push(Finding {
            line: self.line_offset + line,
            fix: fix.into(),
            problem,
            severity: Severity::Warning,
        });
    }

    /// Returns the findings ordered by line, without duplicates.
    pub(crate) fn into_findings(mut self) -> Vec<Finding> {
        self.findings.sort();
        self.findings.dedup();
        self.findings
    }

    /// Returns the entries of a mapping, and reports other kinds of value. `what` names the
    /// mapping in findings.
    pub(crate) fn mapping<'a>(&mut self, item: &'a YamlItem, what: &str) -> &'a [Entry] {
        match &item.value {
            Yaml::Map(entries) => {
                self.check_repeated_keys(entries);
                entries
            }
            Yaml::Null => &[],
            other => {
                self.error(
                    item_line(item),
                    format!("{what} is {}", other.kind()),
                    "write a mapping of keys to values",
                );
                &[]
            }
        }
    }

    fn check_repeated_keys(&mut self, entries: &[Entry]) {
        // Fast path: most mappings are sorted, and strictly rising keys cannot repeat.
        if entries.is_sorted_by(|(left, _), (right, _)| left.value < right.value) {
            return;
        }
        let line_offset = self.line_offset;
        let keys = entries.iter().map(|(key, _)| (line_offset, key));
        self.report_repeated_keys(keys);
    }

    /// Reports repeated keys of a mapping. Each key comes with the number of lines before
    /// its part.
    pub(crate) fn report_repeated_keys<'a>(&mut self, keys: impl Iterator<Item = (u64, &'a Key)>) {
        let mut seen = HashMap::new();
        for (line_offset, key) in keys {
            let text_line = line_offset + u64::from(key.position.line);
            if let Some(first) = seen.insert(&*key.value, text_line) {
                let problem = format!("`{}` was given before, in line {first}", key.value);
                self.findings.push(Finding {
                    line: text_line,
                    fix: "remove one of the two".into(),
                    problem,
                    severity: Severity::Error,
                });
            }
        }
    }

    /// Reports the keys that are not in `known`.
    pub(crate) fn report_unknown_keys(&mut self, entries: &[Entry], known: &[&str], what: &str) {
        for (key, _) in entries {
            self.report_unknown_key(key, known, what);
        }
    }

    /// Reports `key` if it is not in `known`.
    pub(crate) fn report_unknown_key(&mut self, key: &Key, known: &[&str], what: &str) {
        if known.contains(&&*key.value) {
            return;
        }
        let fix = nearest_name(&key.value, known.iter().copied()).map_or_else(
            || format!("the keys here are: {}", known.join(", ")),
            |nearest| format!("did you mean `{nearest}`?"),
        );
        let problem = format!("{what} has no key `{}`", key.value);
        self.error(key.position.line.into(), problem, fix);
    }

    /// Returns the value of a required key. `line` is the line at which a missing key is
    /// reported.
    pub(crate) fn required_field<'a>(
        &mut self,
        entries: &'a [Entry],
        key: &str,
        line: u64,
        what: &str,
    ) -> Option<&'a YamlItem> {
        let found = field(entries, key);
        if found.is_none() {
            self.error(
                line,
                format!("{what} has no `{key}`"),
                format!("add `{key}`"),
            );
        }
        found
    }

    /// Returns a whole number, and reports values that are not whole or not in `range`.
    pub(crate) fn whole_number(
        &mut self,
        item: &YamlItem,
        key: &str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let value = match &item.value {
            Yaml::Integer(value) => u64::try_from(**value).ok(),
            _ => None,
        };
        let value = value.filter(|value| range.contains(value));
        if value.is_none() {
            let given = match &item.value {
                Yaml::Integer(value) => value.to_string(),
                other => other.kind().to_owned(),
            };
            self.error(
                item_line(item),
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

    /// Returns the whole number of an optional key, and reports values that are not whole or
    /// not in `range`.
    pub(crate) fn optional_whole_number(
        &mut self,
        entries: &[Entry],
        key: &str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        self.whole_number(field(entries, key)?, key, range)
    }

    /// Returns the value of an optional flag; the default is false.
    pub(crate) fn flag(&mut self, entries: &[Entry], key: &str) -> bool {
        match field(entries, key).map(|item| (item_line(item), &item.value)) {
            None => false,
            Some((_, Yaml::Bool(value))) => *value,
            Some((line, other)) => {
                let problem = format!("`{key}` is {}", other.kind());
                self.error(line, problem, "write true or false");
                false
            }
        }
    }

    /// Returns a text, and reports other kinds of value and blank texts.
    pub(crate) fn text<'a>(&mut self, item: &'a YamlItem, key: &str) -> Option<&'a Arc<str>> {
        match &item.value {
            Yaml::Text(text) if !text.trim().is_empty() => Some(text),
            other => {
                let problem = format!("`{key}` is {}", other.kind());
                self.error(item_line(item), problem, "write text, in quotes if need be");
                None
            }
        }
    }

    /// Reports `name` if it is not valid in object paths or as a reference in other entries.
    pub(crate) fn check_name(&mut self, name: &str, line: u64, what: &str) {
        let fits = !name.is_empty()
            && name.len() <= MAX_NAME_BYTES
            && name
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_'));
        if !fits {
            self.error(
                line,
                format!("`{name}` is not a name for {what}"),
                format!("use 1 to {MAX_NAME_BYTES} letters, digits, `-` and `_`"),
            );
        }
    }

    /// Returns a value that is a name, and reports invalid names.
    pub(crate) fn name_value(&mut self, item: &YamlItem, key: &str) -> Option<Arc<str>> {
        let text = self.text(item, key)?;
        self.check_name(text, item_line(item), &format!("`{key}`"));
        Some(text.clone())
    }

    /// Parses an address of the form `IP:port`, and reports unspecified addresses and port 0.
    pub(crate) fn parse_address(&mut self, text: &str, line: u64, key: &str) -> Option<SocketAddr> {
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() > 0 && !address.ip().is_unspecified() => Some(address),
            _ => {
                self.error(
                    line,
                    format!("`{key}` is `{text}`, which is not an address to connect to"),
                    "write an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080",
                );
                None
            }
        }
    }

    /// Returns the address of a required key.
    pub(crate) fn address_field(
        &mut self,
        entries: &[Entry],
        key: &str,
        line: u64,
        what: &str,
    ) -> Option<SocketAddr> {
        let item = self.required_field(entries, key, line, what)?;
        let text = self.text(item, key)?;
        self.parse_address(text, item_line(item), key)
    }
}
