use std::sync::Arc;

use crate::ClassText;
use crate::deployment_reader::DeploymentReader;
use crate::deployment_reader::ServiceEntry;
use crate::name_list::expand_range;
use crate::reader::field;
use crate::reader::item_line;
use crate::yaml::Entry;
use crate::yaml::Yaml;
use crate::yaml::YamlItem;
use wigeonhall_types::ClassKind;
use wigeonhall_types::ServiceLevel;

/// One hour; the maximum of `deadline_ms` and `latency_ms`.
const MAX_MS: u64 = 3_600_000;
const MAX_WEIGHT: u64 = 1_000;

impl DeploymentReader {
    pub(crate) fn read_class(
        &mut self,
        service: &ServiceEntry<'_>,
        entries: &[Entry],
        depends_on: &YamlItem,
    ) {
        let what = format!("class `{}`", service.name);
        let name = service.name.clone();
        let class_text_line = self.reader.line_offset + service.line;
        self.lines
            .classes
            .entry(name.clone())
            .or_insert(class_text_line);
        let dependencies = self.read_depends_on(depends_on);
        if dependencies.is_empty() {
            self.reader.error(
                item_line(depends_on),
                format!("{what} depends on no service"),
                "list shard services, such as [field-01..20, ledger]",
            );
        }
        let depends_on = dependencies.iter().map(|(name, _)| name.clone()).collect();
        self.lines
            .depends_on
            .entry(name.clone())
            .or_insert(dependencies);
        let deadline_ms = self
            .reader
            .required_field(entries, "deadline_ms", service.line, &what)
            .and_then(|item| self.reader.whole_number(item, "deadline_ms", 1..=MAX_MS));
        let kind = self
            .reader
            .required_field(entries, "kind", service.line, &what)
            .and_then(|item| self.read_kind(item));
        let level = self
            .reader
            .required_field(entries, "level", service.line, &what)
            .and_then(|item| self.read_level(item, deadline_ms));
        let mut optional_u32 = |key: &str, max: u64, default: u32| match field(entries, key) {
            Some(item) => self
                .reader
                .whole_number(item, key, 1..=max)
                .map(|it| it as u32),
            None => Some(default),
        };
        let slot_share_percent = optional_u32("slot_share_percent", 100, 100);
        let weight = optional_u32("weight", MAX_WEIGHT, 1);
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

    /// Returns the listed names, each with its line in the text. Ranges are expanded.
    fn read_depends_on(&mut self, item: &YamlItem) -> Vec<(Arc<str>, u64)> {
        let items = match &item.value {
            Yaml::List(items) => items,
            Yaml::Text(_) => std::slice::from_ref(item),
            Yaml::Null => &[],
            other => {
                let problem = format!("`depends_on` is {}", other.kind());
                self.reader
                    .error(item_line(item), problem, "write a list of services");
                return Vec::new();
            }
        };
        let mut dependencies = Vec::new();
        for item in items {
            let Some(text) = self.reader.text(item, "depends_on") else {
                continue;
            };
            match expand_range(text) {
                Some(range) => {
                    let text_line = self.reader.line_offset + item_line(item);
                    dependencies.extend(
                        range
                            .iter()
                            .map(|name| (Arc::from(name.as_str()), text_line)),
                    );
                }
                None => self.reader.error(
                    item_line(item),
                    format!("`{text}` is not a range of names"),
                    "write it as `field-01..20`, the smaller number first",
                ),
            }
        }
        dependencies
    }

    fn read_kind(&mut self, item: &YamlItem) -> Option<ClassKind> {
        match &**self.reader.text(item, "kind")? {
            "read" => Some(ClassKind::Read),
            "write" => Some(ClassKind::Write),
            other => {
                let problem = format!("`kind` is `{other}`");
                let fix = "write `read` if requests may be repeated, else `write`";
                self.reader.error(item_line(item), problem, fix);
                None
            }
        }
    }

    fn read_level(&mut self, item: &YamlItem, deadline_ms: Option<u64>) -> Option<ServiceLevel> {
        let entries = self.reader.mapping(item, "`level`");
        self.reader
            .report_unknown_keys(entries, &["latency_ms", "objective"], "`level`");
        let line = item_line(item);
        let latency_ms = self
            .reader
            .required_field(entries, "latency_ms", line, "`level`")
            .and_then(|item| self.reader.whole_number(item, "latency_ms", 1..=MAX_MS));
        let objective_ppm = self
            .reader
            .required_field(entries, "objective", line, "`level`")
            .and_then(|item| self.read_objective(item));
        if let (Some(latency_ms), Some(deadline_ms)) = (latency_ms, deadline_ms)
            && latency_ms > deadline_ms
        {
            self.reader.warning(
                line,
                format!("`latency_ms` of {latency_ms} is past the deadline of {deadline_ms} ms"),
                "lower `latency_ms`, or every answer in time counts as good",
            );
        }
        Some(ServiceLevel {
            latency_ms: latency_ms?,
            objective_ppm: objective_ppm?,
        })
    }

    fn read_objective(&mut self, item: &YamlItem) -> Option<u32> {
        let given = match &item.value {
            Yaml::Float(value) => *value,
            Yaml::Integer(value) => **value as f64,
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
            item_line(item),
            problem,
            "write the wanted share of good answers between 0 and 1, such as 0.999",
        );
        None
    }
}
