use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::DeploymentText;
use crate::Finding;
use crate::SettingsError;
use crate::Severity;
use crate::deployment_reader::DeploymentReader;
use crate::line_index::AddressUse;
use crate::line_index::LineIndex;
use crate::line_index::line_of;
use crate::nearest_name;
use crate::reader::Reader;
use crate::section::Section;
use crate::yaml::Yaml;

/// Maximum size of a deployment text.
///
/// A text is stored in parts of at least 1,024 bytes, except for the last one, so it has at
/// most 3,907 parts. The list of parts takes 35 bytes per part in the store, which is
/// 137 kB of the maximum object size of 1 MB. In messages between nodes it takes 16 bytes
/// per part, which stays below the limit of 64 KiB for a message with parts.
pub const MAX_TEXT_BYTES: usize = 4_000_000;

/// Returns all findings about a deployment text, ordered by line.
#[must_use]
pub fn check(text: &str) -> Vec<Finding> {
    read_text(text, MAX_TEXT_BYTES).1
}

/// Parses a deployment text.
///
/// # Errors
///
/// [`SettingsError::Rejected`] with all findings if one of them is an error.
pub fn parse(text: &str) -> Result<DeploymentText, SettingsError> {
    accept(read_text(text, MAX_TEXT_BYTES))
}

/// Returns the parsed text, or all findings if one of them is an error.
pub(crate) fn accept(
    (parsed, findings): (DeploymentText, Vec<Finding>),
) -> Result<DeploymentText, SettingsError> {
    if findings.iter().any(Finding::is_error) {
        return Err(SettingsError::Rejected(findings));
    }
    Ok(parsed)
}

pub(crate) fn read_text(text: &str, max_bytes: usize) -> (DeploymentText, Vec<Finding>) {
    if let Some(finding) = length_finding(text.len(), max_bytes) {
        return (DeploymentText::default(), vec![finding]);
    }
    let item = match Yaml::parse(text) {
        Ok(item) => item,
        Err(finding) => return (DeploymentText::default(), vec![finding]),
    };
    let mut reader = Reader::default();
    let entries = reader.mapping(&item, "the text");
    // The whole text is read as one part, so its lines need no offset.
    let sections = entries.iter().map(|it| Section::in_one_part(0, it));
    let (parsed, mut findings) = read_sections(&sections.collect::<Vec<_>>());
    findings.append(&mut reader.findings);
    findings.sort();
    findings.dedup();
    (parsed, findings)
}

/// Reads and checks the sections (the top-level keys) of a text.
///
/// The first pass doesn't record the lines of replicas and VMs. If it finds an error, a
/// repeated replica, an unknown data centre or a repeated address, a second pass records
/// them, so that each finding has its line.
pub(crate) fn read_sections(sections: &[Section<'_>]) -> (DeploymentText, Vec<Finding>) {
    let read = |record_entries| {
        let mut deployment_reader = DeploymentReader::default();
        deployment_reader.lines.record_entries = record_entries;
        deployment_reader.read_sections(sections);
        deployment_reader
    };
    let deployment_reader = read(false);
    let has_error = deployment_reader
        .reader
        .findings
        .iter()
        .any(Finding::is_error);
    let clean = !has_error
        && !deployment_reader.has_repeated_replicas
        && entries_are_consistent(&deployment_reader.text);
    if clean {
        return check_across_entries(deployment_reader);
    }
    drop(deployment_reader);
    check_across_entries(read(true))
}

/// Whether every data centre that is referred to is known and no address is used twice.
fn entries_are_consistent(text: &DeploymentText) -> bool {
    let known = text.data_centres.keys().collect::<HashSet<_>>();
    let used_data_centres = text.replicas.values().map(|it| &it.data_centre);
    let mut used_data_centres =
        used_data_centres.chain(text.vms.values().map(|it| &it.data_centre));
    let data_centres_known = used_data_centres.all(|it| known.contains(it));
    let replicas = text.replicas.values().map(|it| it.address);
    let vms = text.vms.values();
    let vms = vms.flat_map(|it| [it.caller_address, it.node_address]);
    let mut v4 = Vec::with_capacity(text.replicas.len() + 2 * text.vms.len());
    let mut v6 = HashSet::new();
    let mut distinct = true;
    for address in replicas.chain(vms) {
        match address {
            SocketAddr::V4(it) => {
                v4.push((u64::from(it.ip().to_bits()) << 16) | u64::from(it.port()));
            }
            SocketAddr::V6(it) => distinct &= v6.insert(it),
        }
    }
    v4.sort_unstable();
    data_centres_known && distinct && v4.is_sorted_by(|left, right| left < right)
}

pub(crate) fn length_finding(bytes: usize, max_bytes: usize) -> Option<Finding> {
    (bytes > max_bytes).then(|| Finding {
        line: 0,
        fix: "use defaults and short forms".into(),
        problem: format!("the text has {bytes} bytes; at most {max_bytes} are stored"),
        severity: Severity::Error,
    })
}

/// Runs the checks that need all entries, and returns the parsed text with all findings.
fn check_across_entries(deployment_reader: DeploymentReader) -> (DeploymentText, Vec<Finding>) {
    let DeploymentReader {
        lines,
        mut reader,
        text,
        ..
    } = deployment_reader;
    check_depends_on(&lines, &mut reader);
    check_data_centres(&text, &lines, &mut reader);
    check_replicas(&text, &lines, &mut reader);
    check_addresses(lines, &mut reader);
    check_all_out(&text, &mut reader);
    (text, reader.into_findings())
}

fn check_depends_on(lines: &LineIndex, reader: &mut Reader) {
    let mut used = BTreeSet::new();
    for (class, dependencies) in &lines.depends_on {
        let mut seen = BTreeSet::new();
        for (name, line) in dependencies {
            used.insert(name);
            if !seen.insert(name) {
                let problem = format!("class `{class}` names `{name}` twice");
                reader.error(*line, problem, "remove one of the two");
            } else if name == class {
                let problem = format!("class `{class}` depends on itself");
                reader.error(*line, problem, "a class depends on shard services only");
            } else if lines.classes.contains_key(name) {
                reader.error(
                    *line,
                    format!("class `{class}` depends on the class `{name}`"),
                    "a class depends on shard services only; list the services of that class",
                );
            } else if !lines.services.contains_key(name) {
                let known = lines.services.keys().map(AsRef::as_ref);
                let problem = format!("there is no service `{name}`");
                reader.error(*line, problem, suggested_fix(name, known, "add a service"));
            }
        }
    }
    for (service, line) in &lines.services {
        if !used.contains(service) {
            let problem = format!("no class depends on service `{service}`");
            reader.warning(*line, problem, "add it to a class or remove it");
        }
    }
}

fn check_data_centres(text: &DeploymentText, lines: &LineIndex, reader: &mut Reader) {
    let defined = lines.data_centres.keys().collect::<HashSet<_>>();
    for (line, data_centre) in &lines.data_centre_uses {
        if !defined.contains(data_centre) {
            let known = lines.data_centres.keys().map(AsRef::as_ref);
            let problem = format!("there is no data centre `{data_centre}`");
            let fix = suggested_fix(data_centre, known, "add a data centre");
            reader.error(*line, problem, fix);
        }
    }
    let mut ownerless_replicas = BTreeMap::new();
    let vm_data_centres = text.vms.values().map(|vm| &vm.data_centre);
    let vm_data_centres = vm_data_centres.collect::<HashSet<_>>();
    for replica in text.replicas.values() {
        if !vm_data_centres.contains(&replica.data_centre) {
            *ownerless_replicas.entry(&replica.data_centre).or_insert(0) += 1;
        }
    }
    for (data_centre, count) in ownerless_replicas {
        if let Some(&line) = lines.data_centres.get(data_centre) {
            reader.warning(
                line,
                format!("data centre `{data_centre}` holds no VM; {count} of its replicas cannot have an owner"),
                "add a VM there or move the replicas",
            );
        }
    }
}

fn suggested_fix<'a>(name: &str, known: impl Iterator<Item = &'a str>, add: &str) -> String {
    nearest_name(name, known).map_or_else(
        || format!("{add} of that name or correct the name"),
        |nearest| format!("did you mean `{nearest}`?"),
    )
}

fn check_addresses(lines: LineIndex, reader: &mut Reader) {
    let mut uses = lines.addresses;
    uses.sort();
    let mut first = HashMap::<SocketAddr, (u64, AddressUse)>::with_capacity(uses.len());
    for (line, address, address_use) in uses {
        match first.get(&address) {
            Some((first_line, other)) => reader.error(
                line,
                format!("{address_use} is {address}, like the {other} in line {first_line}"),
                "give each its own address",
            ),
            None => drop(first.insert(address, (line, address_use))),
        }
    }
}

fn check_replicas(text: &DeploymentText, lines: &LineIndex, reader: &mut Reader) {
    let out = text.data_centres.iter().filter(|(_, it)| it.out);
    let out = out.map(|(name, _)| name).collect::<HashSet<_>>();
    let mut services = HashMap::<&Arc<str>, ServiceSpread<'_>>::new();
    let by_service = text.replicas.values().collect::<Vec<_>>();
    // Replica names mostly sort by service, so that neighbours share one map access.
    for replicas in by_service.chunk_by(|left, right| left.service == right.service) {
        let first = replicas[0];
        let spread = services.entry(&first.service).or_insert(ServiceSpread {
            data_centre: &first.data_centre,
            single_data_centre: true,
            replicas: 0,
            in_service: false,
        });
        for replica in replicas {
            spread.single_data_centre &= *spread.data_centre == replica.data_centre;
            spread.replicas += 1;
            // An unknown data centre counts as in service.
            spread.in_service |= !replica.out && !out.contains(&replica.data_centre);
        }
    }
    for (service, spread) in services {
        let line = line_of(&lines.services, service);
        if spread.replicas > 1 && spread.single_data_centre {
            reader.warning(
                line,
                format!(
                    "all replicas of service `{service}` are in data centre `{}`",
                    spread.data_centre
                ),
                "place one elsewhere, or the service is lost with that data centre",
            );
        }
        if !spread.in_service {
            reader.warning(
                line,
                format!("every replica of service `{service}` is out"),
                "bring one in, or answers lack its rows",
            );
        }
    }
}

/// Distribution of the replicas of a service.
struct ServiceSpread<'a> {
    /// Data centre of the first replica.
    data_centre: &'a Arc<str>,
    /// Whether all replicas are in `data_centre`.
    single_data_centre: bool,
    replicas: usize,
    /// Whether at least one replica is in service.
    in_service: bool,
}

fn check_all_out(text: &DeploymentText, reader: &mut Reader) {
    let all_out = [
        (
            "data centre",
            !text.data_centres.is_empty() && text.data_centres.values().all(|it| it.out),
        ),
        (
            "VM",
            !text.vms.is_empty()
                && text
                    .vms
                    .values()
                    .all(|it| it.out || is_data_centre_out(text, &it.data_centre)),
        ),
        (
            "replica",
            !text.replicas.is_empty()
                && text
                    .replicas
                    .values()
                    .all(|it| it.out || is_data_centre_out(text, &it.data_centre)),
        ),
    ];
    for (what, out) in all_out {
        if out {
            let problem = format!("every {what} is out");
            reader.error(0, problem, "leave at least one in service");
        }
    }
}

fn is_data_centre_out(text: &DeploymentText, name: &str) -> bool {
    text.data_centres.get(name).is_some_and(|it| it.out)
}
