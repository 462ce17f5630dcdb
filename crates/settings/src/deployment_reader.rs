use std::borrow::Cow;
use std::collections::HashSet;
use std::fmt::Arguments;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::DataCentreText;
use crate::DeploymentText;
use crate::ReplicaText;
use crate::line_index::AddressUse;
use crate::line_index::LineIndex;
use crate::partial_limits::LIMIT_KEYS;
use crate::partial_limits::PartialLimits;
use crate::reader::Reader;
use crate::reader::field;
use crate::reader::item_line;
use crate::section::Section;
use crate::yaml::Entry;
use crate::yaml::Yaml;
use crate::yaml::YamlItem;

pub(crate) const CLASS_KEYS: [&str; 6] = [
    "deadline_ms",
    "depends_on",
    "kind",
    "level",
    "slot_share_percent",
    "weight",
];

/// Converts the YAML of a deployment text to [`DeploymentText`] and leaves out invalid
/// entries.
///
/// The text may be parsed in parts, which are consecutive pieces of it. YAML positions count
/// lines from the start of their part; `reader.line_offset` is added to lines that are kept, so
/// that they count from the start of the whole text.
#[derive(Debug, Default)]
pub(crate) struct DeploymentReader {
    pub(crate) defaults: PartialLimits,
    pub(crate) lines: LineIndex,
    /// Names that occur as values, each stored once.
    interned_names: HashSet<Arc<str>>,
    pub(crate) reader: Reader,
    /// Default region of data centres that state none.
    region: Option<Arc<str>>,
    /// Valid replicas in the order of the text, until `insert_replicas` moves them to `text`.
    pub(crate) replicas: Vec<(Arc<str>, ReplicaText)>,
    /// Whether two valid replicas have the same name.
    pub(crate) has_repeated_replicas: bool,
    pub(crate) text: DeploymentText,
}

/// The service whose entries are being read.
pub(crate) struct ServiceEntry<'a> {
    /// Line of the service, counted from the start of its part.
    pub(crate) line: u64,
    pub(crate) name: &'a Arc<str>,
}

impl DeploymentReader {
    /// Reads the sections (the top-level keys) of a text in a fixed order: the region and the
    /// defaults first, because the other sections use them.
    pub(crate) fn read_sections(&mut self, sections: &[Section<'_>]) {
        let known = ["data_centres", "defaults", "region", "services", "vms"];
        let keys = sections.iter().map(|it| (it.line_offset, it.key));
        self.reader.report_repeated_keys(keys);
        for section in sections {
            self.reader.line_offset = section.line_offset;
            self.reader
                .report_unknown_key(section.key, &known, "the text");
        }
        if let Some(item) = self.section(sections, "region") {
            self.region = self.reader.name_value(&item, "region");
        }
        if let Some(item) = self.section(sections, "defaults") {
            let limits = self.reader.mapping(&item, "`defaults`");
            self.reader
                .report_unknown_keys(limits, &LIMIT_KEYS, "`defaults`");
            self.defaults =
                PartialLimits::default().overridden_by(limits, item_line(&item), &mut self.reader);
        }
        self.replicas.reserve_exact(replica_count(sections));
        self.read_section_entries(
            sections,
            "data_centres",
            "a data centre",
            Self::read_data_centre,
        );
        self.read_section_entries(sections, "services", "a service", Self::read_service);
        self.read_section_entries(sections, "vms", "a VM", Self::read_vm);
        self.reader.line_offset = 0;
        self.insert_replicas();
    }

    /// Returns the whole value of the first section with this key, and sets
    /// `reader.line_offset` for it.
    fn section<'a>(&mut self, sections: &'a [Section<'a>], key: &str) -> Option<Cow<'a, YamlItem>> {
        let section = sections.iter().find(|it| &*it.key.value == key)?;
        let item = section.joined_value();
        self.reader.line_offset = match item {
            Cow::Borrowed(_) => section.line_offset,
            // The lines of a joined value count from the start of the text already.
            Cow::Owned(_) => 0,
        };
        Some(item)
    }

    fn read_section_entries(
        &mut self,
        sections: &[Section<'_>],
        key: &str,
        what: &str,
        read: fn(&mut Self, &Arc<str>, u64, &YamlItem),
    ) {
        let Some(section) = sections.iter().find(|it| &*it.key.value == key) else {
            self.reader.line_offset = 0;
            self.reader.required_field(&[], key, 1, "the text");
            return;
        };
        self.reader.line_offset = section.line_offset;
        if section.continuations.is_empty() {
            let entries = self.reader.mapping(section.item, &format!("`{key}`"));
            if entries.is_empty() {
                let problem = format!("`{key}` is empty");
                self.reader
                    .error(item_line(section.item), problem, format!("add {what}"));
            }
        } else {
            let keys = section
                .entries_by_part()
                .flat_map(|(offset, entries)| entries.iter().map(move |(key, _)| (offset, key)));
            self.reader.report_repeated_keys(keys);
        }
        for (line_offset, entries) in section.entries_by_part() {
            self.reader.line_offset = line_offset;
            for (name, item) in entries {
                let line = name.position.line.into();
                self.reader.check_name(&name.value, line, what);
                read(self, &name.value, line, item);
            }
        }
    }

    fn read_data_centre(&mut self, name: &Arc<str>, line: u64, item: &YamlItem) {
        let text_line = self.reader.line_offset + line;
        let lines = &mut self.lines.data_centres;
        lines.entry(name.clone()).or_insert(text_line);
        let what = format!("data centre `{name}`");
        let (region, out) = if let Yaml::Text(text) = &item.value {
            let line = item_line(item);
            let forms = "`REGION` or `REGION out`, or a mapping with `region`";
            let Some(([region], out)) = self.short_form(text, line, format_args!("{what}"), forms)
            else {
                return;
            };
            self.reader.check_name(region, line, "a region");
            (Some(self.interned(region)), out)
        } else {
            let entries = self.reader.mapping(item, &what);
            self.reader
                .report_unknown_keys(entries, &["out", "region"], &what);
            let region =
                field(entries, "region").and_then(|item| self.reader.name_value(item, "region"));
            (region, self.reader.flag(entries, "out"))
        };
        match region.or_else(|| self.region.clone()) {
            Some(region) => {
                let value = DataCentreText { out, region };
                self.text.data_centres.entry(name.clone()).or_insert(value);
            }
            None => self.reader.error(
                line,
                format!("{what} has no region"),
                "add `region` to it or at the top of the text",
            ),
        }
    }

    fn read_service(&mut self, name: &Arc<str>, line: u64, item: &YamlItem) {
        let what = format!("service `{name}`");
        let entries = self.reader.mapping(item, &what);
        let depends_on = field(entries, "depends_on");
        let replicas = field(entries, "replicas");
        let mut shard_keys = vec!["replicas"];
        shard_keys.extend(LIMIT_KEYS);
        match (depends_on, replicas) {
            (Some(depends_on), None) => {
                self.reader.report_unknown_keys(entries, &CLASS_KEYS, &what);
                self.read_class(&ServiceEntry { line, name }, entries, depends_on);
            }
            (None, Some(replicas)) => {
                self.reader.report_unknown_keys(entries, &shard_keys, &what);
                self.read_shard_service(name, line, entries, replicas);
            }
            (Some(_), Some(_)) => self.reader.error(
                line,
                format!("{what} has both `depends_on` and `replicas`"),
                "make it two services: a query class and a shard service",
            ),
            (None, None) => {
                shard_keys.extend(CLASS_KEYS);
                self.reader.report_unknown_keys(entries, &shard_keys, &what);
                self.reader.error(
                    line,
                    format!("{what} has neither `depends_on` nor `replicas`"),
                    "add `depends_on` for a query class or `replicas` for a shard service",
                );
            }
        }
    }

    /// Records the lines of a replica or a VM.
    pub(crate) fn record_entry_lines(
        &mut self,
        line: u64,
        data_centre: Option<&Arc<str>>,
        addresses: &[(&'static str, Option<SocketAddr>)],
        name: &Arc<str>,
    ) {
        if !self.lines.record_entries {
            return;
        }
        let text_line = self.reader.line_offset + line;
        let data_centre_use = data_centre.map(|it| (text_line, it.clone()));
        self.lines.data_centre_uses.extend(data_centre_use);
        for (kind, address) in addresses {
            let address_use = AddressUse::new(kind, name);
            let address = address.map(|it| (text_line, it, address_use));
            self.lines.addresses.extend(address);
        }
    }

    pub(crate) fn data_centre_field(
        &mut self,
        entries: &[Entry],
        line: u64,
        what: &str,
    ) -> Option<Arc<str>> {
        let item = self
            .reader
            .required_field(entries, "data_centre", line, what)?;
        self.reader.name_value(item, "data_centre")
    }

    /// Splits an entry in short form (words on one line, such as `DATA_CENTRE ADDRESS`) into
    /// `COUNT` words and whether `out` follows them. Other texts are reported, with `forms` as
    /// the proposed fix.
    pub(crate) fn short_form<'a, const COUNT: usize>(
        &mut self,
        text: &'a str,
        line: u64,
        what: Arguments<'_>,
        forms: &str,
    ) -> Option<([&'a str; COUNT], bool)> {
        let mut words = text.split_whitespace();
        let mut first = [""; COUNT];
        let mut count = 0;
        for (slot, word) in first.iter_mut().zip(words.by_ref()) {
            *slot = word;
            count += 1;
        }
        let last = words.next();
        let out = last == Some("out");
        if count < COUNT || last.is_some() && !out || words.next().is_some() {
            let problem = format!("{what} is `{text}`");
            self.reader.error(line, problem, format!("write {forms}"));
            return None;
        }
        Some((first, out))
    }

    /// Returns the interned name, so that all uses of a name share one allocation.
    pub(crate) fn interned(&mut self, name: &str) -> Arc<str> {
        if let Some(interned) = self.interned_names.get(name) {
            return interned.clone();
        }
        let interned = Arc::<str>::from(name);
        self.interned_names.insert(interned.clone());
        interned
    }
}

/// Returns the number of replicas in the text.
fn replica_count(sections: &[Section<'_>]) -> usize {
    let services = sections.iter().filter(|it| &*it.key.value == "services");
    let services = services.flat_map(Section::entries_by_part);
    let services = services.flat_map(|(_, services)| services);
    let replicas = services.map(|(_, service)| match &service.value {
        Yaml::Map(entries) => match field(entries, "replicas").map(|it| &it.value) {
            Some(Yaml::Map(replicas)) => replicas.len(),
            _ => 0,
        },
        _ => 0,
    });
    replicas.sum()
}
