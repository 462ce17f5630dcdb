use std::sync::Arc;

use crate::ReplicaText;
use crate::deployment_reader::DeploymentReader;
use crate::deployment_reader::Owner;
use crate::lines::ReplicaLine;
use crate::partial_limits::LIMIT_KEYS;
use crate::partial_limits::PartialLimits;
use crate::reader::line;
use crate::tree::Entry;
use crate::tree::Item;
use crate::tree::Tree;

impl DeploymentReader {
    pub(crate) fn shard_service(
        &mut self,
        name: &Arc<str>,
        service_at: u64,
        entries: &[Entry],
        replicas: &Item,
    ) {
        let service_line = self.reader.base + service_at;
        let lines = &mut self.lines.services;
        lines.entry(name.clone()).or_insert(service_line);
        self.text.services.insert(name.clone());
        let limits = self
            .defaults
            .overridden(entries, service_at, &mut self.reader);
        let members = self
            .reader
            .map(replicas, &format!("`replicas` of `{name}`"));
        if members.is_empty() {
            self.reader.error(
                line(replicas).max(service_at),
                format!("service `{name}` has no replica"),
                "add a replica, such as `NAME: DATA_CENTRE ADDRESS`",
            );
        }
        for (key, item) in members {
            let at = key.at.line.into();
            self.reader.check_name(&key.value, at, "a replica");
            let value = self.replica(
                &key.value,
                at,
                &Owner {
                    at: service_at,
                    name,
                },
                limits,
                item,
            );
            if self.lines.every_entry {
                self.lines.replicas.push(ReplicaLine {
                    at: self.reader.base + at,
                    name: key.value.clone(),
                    service: name.clone(),
                    valid: value.is_some(),
                });
            }
            self.replicas
                .extend(value.map(|value| (key.value.clone(), value)));
        }
    }

    fn replica(
        &mut self,
        name: &Arc<str>,
        at: u64,
        service: &Owner<'_>,
        limits: PartialLimits,
        item: &Item,
    ) -> Option<ReplicaText> {
        let mut own = limits;
        let (data_centre, address, out) = if let Tree::Text(text) = &item.value {
            let forms = "`DATA_CENTRE ADDRESS`, with `out` after it if it is out";
            let at = line(item);
            let what = format_args!("replica `{name}`");
            let ([data_centre, address], out) = self.short_form(text, at, what, forms)?;
            let address = self.reader.address(address, at, "address");
            (Some(self.shared(data_centre)), address, out)
        } else {
            let what = format!("replica `{name}`");
            let entries = self.reader.map(item, &what);
            let mut known = vec!["address", "data_centre", "out"];
            known.extend(LIMIT_KEYS);
            self.reader.known_keys(entries, &known, &what);
            own = limits.overridden(entries, at, &mut self.reader);
            let data_centre = self.data_centre_field(entries, at, &what);
            let address = self.reader.address_field(entries, "address", at, &what);
            (data_centre, address, self.reader.flag(entries, "out"))
        };
        self.keep_entry(at, data_centre.as_ref(), &[("replica", address)], name);
        let limits = match own.complete() {
            Ok(limits) => limits,
            Err(missing) => {
                self.reader.error(
                    service.at,
                    format!(
                        "service `{}` states no {}",
                        service.name,
                        missing.join(", ")
                    ),
                    "add it to the service, its replicas or `defaults`",
                );
                return None;
            }
        };
        Some(ReplicaText {
            address: address?,
            cold: limits.cold,
            connect_us: limits.connect_us,
            connections: limits.connections,
            data_centre: data_centre?,
            out,
            service: service.name.clone(),
            slots: limits.slots,
        })
    }

    /// Moves the replicas to the text; the first one of each name counts.
    pub(crate) fn place_replicas(&mut self) {
        // Stable, so that the entries of one name stay in the order of the text.
        self.lines
            .replicas
            .sort_by(|left, right| left.name.cmp(&right.name));
        let lines = &self.lines.replicas;
        for same in lines.chunk_by(|left, right| left.name == right.name) {
            let mut valid = None::<&Arc<str>>;
            for (index, entry) in same.iter().enumerate() {
                // A repeat within one service is reported as a repeated key.
                if index > 0 && valid.is_none_or(|it| *it != entry.service) {
                    self.reader.error(
                        entry.at,
                        format!(
                            "replica `{}` was given before, in line {}",
                            entry.name, same[0].at
                        ),
                        "give each replica a name of its own",
                    );
                }
                if valid.is_none() && entry.valid {
                    valid = Some(&entry.service);
                }
            }
        }
        let mut replicas = std::mem::take(&mut self.replicas);
        replicas.sort_by(|(left, _), (right, _)| left.cmp(right));
        let given = replicas.len();
        replicas.dedup_by(|(later, _), (first, _)| later == first);
        self.replicas_repeat = replicas.len() < given;
        self.text.replicas = replicas.into_iter().collect();
    }
}
