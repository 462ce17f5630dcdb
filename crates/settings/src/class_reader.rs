use std::sync::Arc;

use crate::ClassText;
use crate::deployment_reader::DeploymentReader;
use crate::deployment_reader::Owner;
use crate::name_list::expand;
use crate::reader::field;
use crate::reader::line;
use crate::tree::Entry;
use crate::tree::Item;
use crate::tree::Tree;
use wigeonhall_types::ClassKind;
use wigeonhall_types::ServiceLevel;

/// One hour.
const MAX_MS: u64 = 3_600_000;
const MAX_WEIGHT: u64 = 1_000;

impl DeploymentReader {
    pub(crate) fn class(&mut self, owner: &Owner<'_>, entries: &[Entry], depends_on: &Item) {
        let what = format!("class `{}`", owner.name);
        let name = owner.name.clone();
        let class_line = self.reader.base + owner.at;
        self.lines.classes.entry(name.clone()).or_insert(class_line);
        let named = self.depends_on(depends_on);
        if named.is_empty() {
            self.reader.error(
                line(depends_on),
                format!("{what} depends on no service"),
                "list shard services, such as [field-01..20, ledger]",
            );
        }
        let depends_on = named.iter().map(|(name, _)| name.clone()).collect();
        self.lines.depends_on.entry(name.clone()).or_insert(named);
        let deadline_ms = self
            .reader
            .required(entries, "deadline_ms", owner.at, &what)
            .and_then(|item| self.reader.whole(item, "deadline_ms", 1..=MAX_MS));
        let kind = self
            .reader
            .required(entries, "kind", owner.at, &what)
            .and_then(|item| self.kind(item));
        let level = self
            .reader
            .required(entries, "level", owner.at, &what)
            .and_then(|item| self.level(item, deadline_ms));
        let mut small = |key: &str, max: u64, default: u32| match field(entries, key) {
            Some(item) => self.reader.whole(item, key, 1..=max).map(|it| it as u32),
            None => Some(default),
        };
        let slot_share_percent = small("slot_share_percent", 100, 100);
        let weight = small("weight", MAX_WEIGHT, 1);
        if let (
            Some(deadline_ms),
            Some(kind),
            Some(level),
            Some(slot_share_percent),
            Some(weight),
        ) = (deadline_ms, kind, level, slot_share_percent, weight)
        {
            let value = ClassText {
                deadline_ms,
                depends_on,
                kind,
                level,
                slot_share_percent,
                weight,
            };
            self.text.classes.entry(name).or_insert(value);
        }
    }

    /// The names listed, with the line of each; ranges are expanded.
    fn depends_on(&mut self, item: &Item) -> Vec<(Arc<str>, u64)> {
        let items = match &item.value {
            Tree::List(items) => items,
            Tree::Text(_) => std::slice::from_ref(item),
            Tree::Null => &[],
            other => {
                let problem = format!("`depends_on` is {}", other.kind());
                self.reader
                    .error(line(item), problem, "write a list of services");
                return Vec::new();
            }
        };
        let mut named = Vec::new();
        for item in items {
            let Some(text) = self.reader.text(item, "depends_on") else {
                continue;
            };
            match expand(text) {
                Some(range) => {
                    let at = self.reader.base + line(item);
                    named.extend(range.iter().map(|name| (Arc::from(name.as_str()), at)));
                }
                None => self.reader.error(
                    line(item),
                    format!("`{text}` is not a range of names"),
                    "write it as `field-01..20`, the smaller number first",
                ),
            }
        }
        named
    }

    fn kind(&mut self, item: &Item) -> Option<ClassKind> {
        match &**self.reader.text(item, "kind")? {
            "read" => Some(ClassKind::Read),
            "write" => Some(ClassKind::Write),
            other => {
                let problem = format!("`kind` is `{other}`");
                let mend = "write `read` if requests may be repeated, else `write`";
                self.reader.error(line(item), problem, mend);
                None
            }
        }
    }

    fn level(&mut self, item: &Item, deadline_ms: Option<u64>) -> Option<ServiceLevel> {
        let entries = self.reader.map(item, "`level`");
        self.reader
            .known_keys(entries, &["latency_ms", "objective"], "`level`");
        let at = line(item);
        let latency_ms = self
            .reader
            .required(entries, "latency_ms", at, "`level`")
            .and_then(|item| self.reader.whole(item, "latency_ms", 1..=MAX_MS));
        let objective_ppm = self
            .reader
            .required(entries, "objective", at, "`level`")
            .and_then(|item| self.objective(item));
        if let (Some(latency_ms), Some(deadline_ms)) = (latency_ms, deadline_ms)
            && latency_ms > deadline_ms
        {
            self.reader.warning(
                at,
                format!("`latency_ms` of {latency_ms} is past the deadline of {deadline_ms} ms"),
                "lower `latency_ms`, or every answer in time counts as good",
            );
        }
        Some(ServiceLevel {
            latency_ms: latency_ms?,
            objective_ppm: objective_ppm?,
        })
    }

    fn objective(&mut self, item: &Item) -> Option<u32> {
        let given = match &item.value {
            Tree::Float(value) => *value,
            Tree::Integer(value) => **value as f64,
            _ => f64::NAN,
        };
        let ppm = (given * 1e6).round();
        if (1.0..=999_999.0).contains(&ppm) {
            return Some(ppm as u32);
        }
        let problem = if given.is_nan() {
            format!("`objective` is {}", item.value.kind())
        } else {
            format!("`objective` is {given}")
        };
        self.reader.error(
            line(item),
            problem,
            "write the wanted share of good answers between 0 and 1, such as 0.999",
        );
        None
    }
}
