use std::sync::Arc;

use crate::ClassText;
use crate::DataCentreText;
use crate::DeploymentText;
use crate::ReplicaText;
use crate::VmText;
use crate::lines::Lines;
use crate::lines::line_of;
use crate::name_list::expand;
use crate::partial_limits::LIMIT_KEYS;
use crate::partial_limits::PartialLimits;
use crate::reader::Reader;
use crate::reader::field;
use crate::reader::line;
use crate::tree::Entry;
use crate::tree::Item;
use crate::tree::Tree;
use wigeonhall_types::ClassKind;
use wigeonhall_types::ServiceLevel;

const CLASS_KEYS: [&str; 6] = [
    "deadline_ms",
    "depends_on",
    "kind",
    "level",
    "slot_share_percent",
    "weight",
];

/// One hour.
const MAX_MS: u64 = 3_600_000;
const MAX_WEIGHT: u64 = 1_000;

/// Reads the form of a deployment text; entries with mistakes are left out.
#[derive(Debug, Default)]
pub(crate) struct DeploymentReader {
    defaults: PartialLimits,
    pub(crate) lines: Lines,
    pub(crate) reader: Reader,
    /// Region of the data centres that name none.
    region: Option<Arc<str>>,
    pub(crate) text: DeploymentText,
}

/// The owner of the entries that are read.
struct Owner<'a> {
    at: u64,
    name: &'a str,
}

impl DeploymentReader {
    pub(crate) fn read(&mut self, item: &Item) {
        let entries = self.reader.map(item, "the text");
        let known = ["data_centres", "defaults", "region", "services", "vms"];
        self.reader.known_keys(entries, &known, "the text");
        if let Some(item) = field(entries, "region") {
            self.region = self.reader.name_value(item, "region");
        }
        if let Some(item) = field(entries, "defaults") {
            let limits = self.reader.map(item, "`defaults`");
            self.reader.known_keys(limits, &LIMIT_KEYS, "`defaults`");
            self.defaults =
                PartialLimits::default().overridden(limits, line(item), &mut self.reader);
        }
        self.each(entries, "data_centres", "a data centre", Self::data_centre);
        self.each(entries, "services", "a service", Self::service);
        self.each(entries, "vms", "a VM", Self::vm);
    }

    fn each(
        &mut self,
        entries: &[Entry],
        key: &str,
        what: &str,
        read: fn(&mut Self, &Arc<str>, u64, &Item),
    ) {
        let Some(item) = self.reader.required(entries, key, 1, "the text") else {
            return;
        };
        let members = self.reader.map(item, &format!("`{key}`"));
        if members.is_empty() {
            let problem = format!("`{key}` is empty");
            self.reader
                .error(line(item), problem, format!("add {what}"));
        }
        for (name, item) in members {
            let at = name.referenced.line();
            let name = self.reader.name(&name.value, at, what);
            read(self, &name, at, item);
        }
    }

    fn data_centre(&mut self, name: &Arc<str>, at: u64, item: &Item) {
        self.lines.data_centres.entry(name.clone()).or_insert(at);
        let what = format!("data centre `{name}`");
        let (region, out) = if let Tree::Text(text) = &item.value {
            let at = line(item);
            let forms = "`REGION` or `REGION out`, or a mapping with `region`";
            let Some((words, out)) = self.short_form(text, 1, at, &what, forms) else {
                return;
            };
            (Some(self.reader.name(words[0], at, "a region")), out)
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

    fn class(&mut self, owner: &Owner<'_>, entries: &[Entry], depends_on: &Item) {
        let what = format!("class `{}`", owner.name);
        let name = Arc::<str>::from(owner.name);
        self.lines.classes.entry(name.clone()).or_insert(owner.at);
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
            Tree::List(items) => items.as_slice(),
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
                Some(range) => named.extend(
                    range
                        .iter()
                        .map(|name| (Arc::from(name.as_str()), line(item))),
                ),
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
        match self.reader.text(item, "kind")? {
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
        let given = match item.value {
            Tree::Float(value) => value,
            Tree::Integer(value) => value as f64,
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

    fn shard_service(&mut self, name: &Arc<str>, at: u64, entries: &[Entry], replicas: &Item) {
        self.lines.services.entry(name.clone()).or_insert(at);
        self.text.services.insert(name.clone());
        let limits = self.defaults.overridden(entries, at, &mut self.reader);
        let members = self
            .reader
            .map(replicas, &format!("`replicas` of `{name}`"));
        if members.is_empty() {
            self.reader.error(
                line(replicas).max(at),
                format!("service `{name}` has no replica"),
                "add a replica, such as `NAME: DATA_CENTRE ADDRESS`",
            );
        }
        for (replica, item) in members {
            let replica_at = replica.referenced.line();
            let replica = self.reader.name(&replica.value, replica_at, "a replica");
            let first = line_of(&self.lines.replicas, &replica);
            // A repeat within one service is reported as a repeated key.
            let elsewhere = || {
                self.text
                    .replicas
                    .get(&replica)
                    .is_none_or(|it| it.service != *name)
            };
            if first > 0 && elsewhere() {
                self.reader.error(
                    replica_at,
                    format!("replica `{replica}` was given before, in line {first}"),
                    "give each replica a name of its own",
                );
            }
            let entry = self.lines.replicas.entry(replica.clone());
            entry.or_insert(replica_at);
            self.replica(&replica, replica_at, &Owner { at, name }, limits, item);
        }
    }

    fn replica(
        &mut self,
        name: &Arc<str>,
        at: u64,
        service: &Owner<'_>,
        limits: PartialLimits,
        item: &Item,
    ) {
        let what = format!("replica `{name}`");
        let mut own = limits;
        let (data_centre, address, out) = if let Tree::Text(text) = &item.value {
            let forms = "`DATA_CENTRE ADDRESS`, with `out` after it if it is out";
            let Some((words, out)) = self.short_form(text, 2, line(item), &what, forms) else {
                return;
            };
            let address = self.reader.address(words[1], line(item), "address");
            (Some(Arc::from(words[0])), address, out)
        } else {
            let entries = self.reader.map(item, &what);
            let mut known = vec!["address", "data_centre", "out"];
            known.extend(LIMIT_KEYS);
            self.reader.known_keys(entries, &known, &what);
            own = limits.overridden(entries, at, &mut self.reader);
            let data_centre = self.data_centre_field(entries, at, &what);
            let address = self.reader.address_field(entries, "address", at, &what);
            (data_centre, address, self.reader.flag(entries, "out"))
        };
        self.lines
            .places
            .extend(data_centre.iter().map(|it| (at, it.clone())));
        self.lines
            .addresses
            .extend(address.map(|it| (at, it, what)));
        let limits = match own.complete() {
            Ok(limits) => limits,
            Err(missing) => {
                return self.reader.error(
                    service.at,
                    format!(
                        "service `{}` states no {}",
                        service.name,
                        missing.join(", ")
                    ),
                    "add it to the service, its replicas or `defaults`",
                );
            }
        };
        if let (Some(data_centre), Some(address)) = (data_centre, address) {
            let value = ReplicaText {
                address,
                cold: limits.cold,
                connect_us: limits.connect_us,
                connections: limits.connections,
                data_centre,
                out,
                service: Arc::from(service.name),
                slots: limits.slots,
            };
            let entry = self.text.replicas.entry(name.clone());
            entry.or_insert(value);
        }
    }

    fn vm(&mut self, name: &Arc<str>, at: u64, item: &Item) {
        self.lines.vms.entry(name.clone()).or_insert(at);
        let what = format!("VM `{name}`");
        let (data_centre, node_address, caller_address, out) = if let Tree::Text(text) = &item.value
        {
            let at = line(item);
            let forms =
                "`DATA_CENTRE NODE_ADDRESS CALLER_ADDRESS`, with `out` after it if it is out";
            let Some((words, out)) = self.short_form(text, 3, at, &what, forms) else {
                return;
            };
            let node = self.reader.address(words[1], at, "node_address");
            let caller = self.reader.address(words[2], at, "caller_address");
            (Some(Arc::from(words[0])), node, caller, out)
        } else {
            let entries = self.reader.map(item, &what);
            let known = ["caller_address", "data_centre", "node_address", "out"];
            self.reader.known_keys(entries, &known, &what);
            let data_centre = self.data_centre_field(entries, at, &what);
            let mut address = |key: &str| self.reader.address_field(entries, key, at, &what);
            let node = address("node_address");
            let caller = address("caller_address");
            (data_centre, node, caller, self.reader.flag(entries, "out"))
        };
        self.lines
            .places
            .extend(data_centre.iter().map(|it| (at, it.clone())));
        let addresses = [("node", node_address), ("caller", caller_address)];
        for (whose, address) in addresses {
            let user = format!("{whose} address of {what}");
            self.lines
                .addresses
                .extend(address.map(|it| (at, it, user)));
        }
        if let (Some(data_centre), Some(node_address), Some(caller_address)) =
            (data_centre, node_address, caller_address)
        {
            let value = VmText {
                caller_address,
                data_centre,
                node_address,
                out,
            };
            self.text.vms.entry(name.clone()).or_insert(value);
        }
    }

    fn data_centre_field(&mut self, entries: &[Entry], at: u64, what: &str) -> Option<Arc<str>> {
        let item = self.reader.required(entries, "data_centre", at, what)?;
        self.reader.name_value(item, "data_centre")
    }

    /// The words of a short form and whether `out` follows them.
    fn short_form<'a>(
        &mut self,
        text: &'a str,
        count: usize,
        at: u64,
        what: &str,
        forms: &str,
    ) -> Option<(Vec<&'a str>, bool)> {
        let mut words = text.split_whitespace().collect::<Vec<_>>();
        let out = words.len() > count && words.last() == Some(&"out");
        if out {
            words.pop();
        }
        if words.len() != count {
            let problem = format!("{what} is `{text}`");
            self.reader.error(at, problem, format!("write {forms}"));
            return None;
        }
        Some((words, out))
    }
}
