use std::sync::Arc;

use crate::ReplicaText;
use crate::deployment_reader::DeploymentReader;
use crate::deployment_reader::ServiceEntry;
use crate::line_index::ReplicaLine;
use crate::partial_limits::LIMIT_KEYS;
use crate::partial_limits::PartialLimits;
use crate::reader::item_line;
use crate::yaml::Entry;
use crate::yaml::Yaml;
use crate::yaml::YamlItem;

impl DeploymentReader {
    pub(crate) fn read_shard_service(
        &mut self,
        name: &Arc<str>,
        line_in_part: u64,
        entries: &[Entry],
        replicas: &YamlItem,
    ) {
        let line_in_text = self.reader.line_offset + line_in_part;
        let lines = &mut self.lines.services;
        lines.entry(name.clone()).or_insert(line_in_text);
        self.text.services.insert(name.clone());
        let limits = self
            .defaults
            .overridden_by(entries, line_in_part, &mut self.reader);
        let replica_entries = self
            .reader
            .mapping(replicas, &format!("`replicas` of `{name}`"));
        if replica_entries.is_empty() {
            self.reader.error(
                item_line(replicas).max(line_in_part),
                format!("service `{name}` has no replica"),
                "add a replica, such as `NAME: DATA_CENTRE ADDRESS`",
            );
        }
        for (key, item) in replica_entries {
            let line = key.position.line.into();
            self.reader.check_name(&key.value, line, "a replica");
            let value = self.read_replica(
                &key.value,
                line,
                &ServiceEntry {
                    line: line_in_part,
                    name,
                },
                limits,
                item,
            );
            // Only the pass that reports errors needs the lines.
            if self.lines.record_entries {
                self.lines.replicas.push(ReplicaLine {
                    line: self.reader.line_offset + line,
                    name: key.value.clone(),
                    service: name.clone(),
                    valid: value.is_some(),
                });
            }
            self.replicas
                .extend(value.map(|value| (key.value.clone(), value)));
        }
    }

    fn read_replica(
        &mut self,
        name: &Arc<str>,
        line: u64,
        service: &ServiceEntry<'_>,
        limits: PartialLimits,
        item: &YamlItem,
    ) -> Option<ReplicaText> {
        let mut replica_limits = limits;
        let (data_centre, address, out) = if let Yaml::Text(text) = &item.value {
            let forms = "`DATA_CENTRE ADDRESS`, with `out` after it if it is out";
            let line = item_line(item);
            let what = format_args!("replica `{name}`");
            let ([data_centre, address], out) = self.short_form(text, line, what, forms)?;
            let address = self.reader.parse_address(address, line, "address");
            (Some(self.interned(data_centre)), address, out)
        } else {
            let what = format!("replica `{name}`");
            let entries = self.reader.mapping(item, &what);
            let mut known = vec!["address", "data_centre", "out"];
            known.extend(LIMIT_KEYS);
            self.reader.report_unknown_keys(entries, &known, &what);
            replica_limits = limits.overridden_by(entries, line, &mut self.reader);
            let data_centre = self.data_centre_field(entries, line, &what);
            let address = self.reader.address_field(entries, "address", line, &what);
            (data_centre, address, self.reader.flag(entries, "out"))
        };
        // For findings of unknown data centres and repeated addresses.
        self.record_entry_lines(line, data_centre.as_ref(), &[("replica", address)], name);
        let limits = match replica_limits.into_limits() {
            Ok(limits) => limits,
            Err(missing) => {
                self.reader.error(
                    service.line,
                    format!("service `{}` has no {}", service.name, missing.join(", ")),
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

    /// Moves the replicas to the parsed text. Of replicas with the same name, the first is used.
    pub(crate) fn insert_replicas(&mut self) {
        // The sort is stable: entries with the same name stay in the order of the text.
        self.lines
            .replicas
            .sort_by(|left, right| left.name.cmp(&right.name));
        let lines = &self.lines.replicas;
        for same in lines.chunk_by(|left, right| left.name == right.name) {
            let mut first_valid_service = None::<&Arc<str>>;
            for (index, entry) in same.iter().enumerate() {
                // Repeats within one service have been reported as repeated keys.
                if index > 0 && first_valid_service.is_none_or(|it| *it != entry.service) {
                    self.reader.error(
                        entry.line,
                        format!(
                            "replica `{}` was given before, in line {}",
                            entry.name, same[0].line
                        ),
                        "give each replica a name of its own",
                    );
                }
                if first_valid_service.is_none() && entry.valid {
                    first_valid_service = Some(&entry.service);
                }
            }
        }
        let mut replicas = std::mem::take(&mut self.replicas);
        replicas.sort_by(|(left, _), (right, _)| left.cmp(right));
        let given = replicas.len();
        replicas.dedup_by(|(later, _), (first, _)| later == first);
        self.has_repeated_replicas = replicas.len() < given;
        self.text.replicas = replicas.into_iter().collect();
    }
}
