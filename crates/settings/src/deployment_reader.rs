use std::borrow::Cow;
use std::collections::HashSet;
use std::fmt::Arguments;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::DataCentreText;
use crate::DeploymentText;
use crate::ReplicaText;
use crate::lines::AddressUser;
use crate::lines::Lines;
use crate::partial_limits::LIMIT_KEYS;
use crate::partial_limits::PartialLimits;
use crate::reader::Reader;
use crate::reader::field;
use crate::reader::line;
use crate::section::Section;
use crate::tree::Entry;
use crate::tree::Item;
use crate::tree::Tree;

pub(crate) const CLASS_KEYS: [&str; 6] = [
    "deadline_ms",
    "depends_on",
    "kind",
    "level",
    "slot_share_percent",
    "weight",
];

/// Reads the form of a deployment text; entries with mistakes are left out.
///
/// An entry is read with the lines of its part; whatever outlives the entry has the
/// lines of the text, which are `reader.base` larger.
#[derive(Debug, Default)]
pub(crate) struct DeploymentReader {
    pub(crate) defaults: PartialLimits,
    pub(crate) lines: Lines,
    /// Names given as values.
    names: HashSet<Arc<str>>,
    pub(crate) reader: Reader,
    /// Region of the data centres that name none.
    region: Option<Arc<str>>,
    /// Replicas without mistakes in the order of the text, until all are read.
    pub(crate) replicas: Vec<(Arc<str>, ReplicaText)>,
    /// Whether two replicas without mistakes have the same name.
    pub(crate) replicas_repeat: bool,
    pub(crate) text: DeploymentText,
}

/// The owner of the entries that are read.
pub(crate) struct Owner<'a> {
    pub(crate) at: u64,
    pub(crate) name: &'a Arc<str>,
}

impl DeploymentReader {
    /// Reads the sections of a text in its order.
    pub(crate) fn read_sections(&mut self, sections: &[Section<'_>]) {
        let known = ["data_centres", "defaults", "region", "services", "vms"];
        let keys = sections.iter().map(|it| (it.base, it.key));
        self.reader.repeated_keys(keys);
        for section in sections {
            self.reader.base = section.base;
            self.reader.known_key(section.key, &known, "the text");
        }
        if let Some(item) = self.section(sections, "region") {
            self.region = self.reader.name_value(&item, "region");
        }
        if let Some(item) = self.section(sections, "defaults") {
            let limits = self.reader.map(&item, "`defaults`");
            self.reader.known_keys(limits, &LIMIT_KEYS, "`defaults`");
            self.defaults =
                PartialLimits::default().overridden(limits, line(&item), &mut self.reader);
        }
        self.replicas.reserve_exact(replica_count(sections));
        self.each(sections, "data_centres", "a data centre", Self::data_centre);
        self.each(sections, "services", "a service", Self::service);
        self.each(sections, "vms", "a VM", Self::vm);
        self.reader.base = 0;
        self.place_replicas();
    }

    /// The first section of this key with its whole value, and sets the base of lines.
    fn section<'a>(&mut self, sections: &'a [Section<'a>], key: &str) -> Option<Cow<'a, Item>> {
        let section = sections.iter().find(|it| &*it.key.value == key)?;
        let item = section.joined();
        self.reader.base = match item {
            Cow::Borrowed(_) => section.base,
            Cow::Owned(_) => 0,
        };
        Some(item)
    }

    fn each(
        &mut self,
        sections: &[Section<'_>],
        key: &str,
        what: &str,
        read: fn(&mut Self, &Arc<str>, u64, &Item),
    ) {
        let Some(section) = sections.iter().find(|it| &*it.key.value == key) else {
            self.reader.base = 0;
            self.reader.required(&[], key, 1, "the text");
            return;
        };
        self.reader.base = section.base;
        if section.more.is_empty() {
            let members = self.reader.map(section.item, &format!("`{key}`"));
            if members.is_empty() {
                let problem = format!("`{key}` is empty");
                self.reader
                    .error(line(section.item), problem, format!("add {what}"));
            }
        } else {
            let keys = section
                .members()
                .flat_map(|(base, members)| members.iter().map(move |(key, _)| (base, key)));
            self.reader.repeated_keys(keys);
        }
        for (base, members) in section.members() {
            self.reader.base = base;
            for (name, item) in members {
                let at = name.at.line.into();
                self.reader.check_name(&name.value, at, what);
                read(self, &name.value, at, item);
            }
        }
    }

    fn data_centre(&mut self, name: &Arc<str>, at: u64, item: &Item) {
        let text_line = self.reader.base + at;
        let lines = &mut self.lines.data_centres;
        lines.entry(name.clone()).or_insert(text_line);
        let what = format!("data centre `{name}`");
        let (region, out) = if let Tree::Text(text) = &item.value {
            let at = line(item);
            let forms = "`REGION` or `REGION out`, or a mapping with `region`";
            let Some(([region], out)) = self.short_form(text, at, format_args!("{what}"), forms)
            else {
                return;
            };
            self.reader.check_name(region, at, "a region");
            (Some(self.shared(region)), out)
        } else {
            let entries = self.reader.map(item, &what);
            self.reader.known_keys(entries, &["out", "region"], &what);
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
                at,
                format!("{what} has no region"),
                "add `region` to it or at the top of the text",
            ),
        }
    }

    fn service(&mut self, name: &Arc<str>, at: u64, item: &Item) {
        let what = format!("service `{name}`");
        let entries = self.reader.map(item, &what);
        let class = field(entries, "depends_on");
        let shards = field(entries, "replicas");
        let mut shard_keys = vec!["replicas"];
        shard_keys.extend(LIMIT_KEYS);
        match (class, shards) {
            (Some(depends_on), None) => {
                self.reader.known_keys(entries, &CLASS_KEYS, &what);
                self.class(&Owner { at, name }, entries, depends_on);
            }
            (None, Some(replicas)) => {
                self.reader.known_keys(entries, &shard_keys, &what);
                self.shard_service(name, at, entries, replicas);
            }
            (Some(_), Some(_)) => self.reader.error(
                at,
                format!("{what} has both `depends_on` and `replicas`"),
                "make it two services: a query class and a shard service",
            ),
            (None, None) => {
                shard_keys.extend(CLASS_KEYS);
                self.reader.known_keys(entries, &shard_keys, &what);
                self.reader.error(
                    at,
                    format!("{what} has neither `depends_on` nor `replicas`"),
                    "add `depends_on` for a query class or `replicas` for a shard service",
                );
            }
        }
    }

    /// Keeps the lines of a replica or a VM.
    pub(crate) fn keep_entry(
        &mut self,
        at: u64,
        data_centre: Option<&Arc<str>>,
        addresses: &[(&'static str, Option<SocketAddr>)],
        name: &Arc<str>,
    ) {
        if !self.lines.every_entry {
            return;
        }
        let at = self.reader.base + at;
        let place = data_centre.map(|it| (at, it.clone()));
        self.lines.places.extend(place);
        for (kind, address) in addresses {
            let user = AddressUser::new(kind, name);
            let address = address.map(|it| (at, it, user));
            self.lines.addresses.extend(address);
        }
    }

    pub(crate) fn data_centre_field(
        &mut self,
        entries: &[Entry],
        at: u64,
        what: &str,
    ) -> Option<Arc<str>> {
        let item = self.reader.required(entries, "data_centre", at, what)?;
        self.reader.name_value(item, "data_centre")
    }

    /// The words of a short form and whether `out` follows them.
    pub(crate) fn short_form<'a, const COUNT: usize>(
        &mut self,
        text: &'a str,
        at: u64,
        what: Arguments<'_>,
        forms: &str,
    ) -> Option<([&'a str; COUNT], bool)> {
        let mut words = text.split_whitespace();
        let mut first = [""; COUNT];
        let mut count = 0;
        for (place, word) in first.iter_mut().zip(words.by_ref()) {
            *place = word;
            count += 1;
        }
        let last = words.next();
        let out = last == Some("out");
        if count < COUNT || last.is_some() && !out || words.next().is_some() {
            let problem = format!("{what} is `{text}`");
            self.reader.error(at, problem, format!("write {forms}"));
            return None;
        }
        Some((first, out))
    }

    /// The name, in one allocation for all its uses.
    pub(crate) fn shared(&mut self, name: &str) -> Arc<str> {
        if let Some(shared) = self.names.get(name) {
            return shared.clone();
        }
        let shared = Arc::<str>::from(name);
        self.names.insert(shared.clone());
        shared
    }
}

/// Number of replicas in the text.
fn replica_count(sections: &[Section<'_>]) -> usize {
    let services = sections.iter().filter(|it| &*it.key.value == "services");
    let services = services.flat_map(Section::members);
    let services = services.flat_map(|(_, services)| services);
    let replicas = services.map(|(_, service)| match &service.value {
        Tree::Map(entries) => match field(entries, "replicas").map(|it| &it.value) {
            Some(Tree::Map(replicas)) => replicas.len(),
            _ => 0,
        },
        _ => 0,
    });
    replicas.sum()
}
