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
use crate::lines::AddressUser;
use crate::lines::Lines;
use crate::lines::line_of;
use crate::nearest;
use crate::reader::Reader;
use crate::section::Section;
use crate::tree::Tree;

/// Longest text in bytes.
///
/// A text is stored in parts of at least 1,024 bytes but for the last, so it has at most
/// 3,907 of them. Their list takes 35 bytes a part in the store, 137 kB of the megabyte
/// that an object may have, and 16 bytes a part in a message between nodes, which stays
/// below the 64 KiB of a message with parts.
pub const MAX_TEXT_BYTES: usize = 4_000_000;

/// All mistakes of a deployment text, by rising line.
#[must_use]
pub fn check(text: &str) -> Vec<Finding> {
    read(text, MAX_TEXT_BYTES).1
}

/// The content of a deployment text.
///
/// # Errors
///
/// [`SettingsError::Rejected`] with all findings if one of them is an error.
pub fn parse(text: &str) -> Result<DeploymentText, SettingsError> {
    accepted(read(text, MAX_TEXT_BYTES))
}

/// The content, unless one of the findings is an error.
pub(crate) fn accepted(
    (content, findings): (DeploymentText, Vec<Finding>),
) -> Result<DeploymentText, SettingsError> {
    if findings.iter().any(Finding::is_error) {
        return Err(SettingsError::Rejected(findings));
    }
    Ok(content)
}

pub(crate) fn read(text: &str, max_bytes: usize) -> (DeploymentText, Vec<Finding>) {
    if let Some(finding) = too_long(text.len(), max_bytes) {
        return (DeploymentText::default(), vec![finding]);
    }
    let item = match Tree::parse(text) {
        Ok(item) => item,
        Err(finding) => return (DeploymentText::default(), vec![finding]),
    };
    let mut reader = Reader::default();
    let entries = reader.map(&item, "the text");
    let sections = entries.iter().map(|it| Section::whole(0, it));
    let (content, mut findings) = read_sections(&sections.collect::<Vec<_>>());
    findings.append(&mut reader.findings);
    findings.sort();
    findings.dedup();
    (content, findings)
}

/// The content and the findings of the sections of a text.
pub(crate) fn read_sections(sections: &[Section<'_>]) -> (DeploymentText, Vec<Finding>) {
    let read = |every_entry| {
        let mut draft = DeploymentReader::default();
        draft.lines.every_entry = every_entry;
        draft.read_sections(sections);
        draft
    };
    let draft = read(false);
    let has_error = draft.reader.findings.iter().any(Finding::is_error);
    let clean = !has_error && !draft.replicas_repeat && entries_fit(&draft.text);
    if clean {
        return checked(draft);
    }
    drop(draft);
    checked(read(true))
}

/// Whether every data centre is known and no address is used twice.
fn entries_fit(text: &DeploymentText) -> bool {
    let known = text.data_centres.keys().collect::<HashSet<_>>();
    let homes = text.replicas.values().map(|it| &it.data_centre);
    let mut homes = homes.chain(text.vms.values().map(|it| &it.data_centre));
    let homes_known = homes.all(|it| known.contains(it));
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
    homes_known && distinct && v4.is_sorted_by(|left, right| left < right)
}

pub(crate) fn too_long(bytes: usize, max_bytes: usize) -> Option<Finding> {
    (bytes > max_bytes).then(|| Finding {
        line: 0,
        mend: "use defaults and short forms".into(),
        problem: format!("the text has {bytes} bytes; at most {max_bytes} are stored"),
        severity: Severity::Error,
    })
}

/// Checks what concerns several entries of a text whose form has been read.
fn checked(draft: DeploymentReader) -> (DeploymentText, Vec<Finding>) {
    let DeploymentReader {
        lines,
        mut reader,
        text,
        ..
    } = draft;
    check_depends_on(&lines, &mut reader);
    check_data_centres(&text, &lines, &mut reader);
    check_replicas(&text, &lines, &mut reader);
    check_addresses(lines, &mut reader);
    check_out(&text, &mut reader);
    (text, reader.into_findings())
}

fn check_depends_on(lines: &Lines, reader: &mut Reader) {
    let mut used = BTreeSet::new();
    for (class, named) in &lines.depends_on {
        let mut seen = BTreeSet::new();
        for (name, at) in named {
            used.insert(name);
            if !seen.insert(name) {
                let problem = format!("class `{class}` names `{name}` twice");
                reader.error(*at, problem, "remove one of the two");
            } else if name == class {
                let problem = format!("class `{class}` depends on itself");
                reader.error(*at, problem, "a class depends on shard services only");
            } else if lines.classes.contains_key(name) {
                reader.error(
                    *at,
                    format!("class `{class}` depends on the class `{name}`"),
                    "a class depends on shard services only; list the services of that class",
                );
            } else if !lines.services.contains_key(name) {
                let known = lines.services.keys().map(AsRef::as_ref);
                let problem = format!("there is no service `{name}`");
                reader.error(*at, problem, suggestion(name, known, "add a service"));
            }
        }
    }
    for (service, at) in &lines.services {
        if !used.contains(service) {
            let problem = format!("no class depends on service `{service}`");
            reader.warning(*at, problem, "add it to a class or remove it");
        }
    }
}

fn check_data_centres(text: &DeploymentText, lines: &Lines, reader: &mut Reader) {
    let named = lines.data_centres.keys().collect::<HashSet<_>>();
    for (at, data_centre) in &lines.places {
        if !named.contains(data_centre) {
            let known = lines.data_centres.keys().map(AsRef::as_ref);
            let problem = format!("there is no data centre `{data_centre}`");
            let mend = suggestion(data_centre, known, "add a data centre");
            reader.error(*at, problem, mend);
        }
    }
    let mut unowned = BTreeMap::new();
    let homes = text.vms.values().map(|vm| &vm.data_centre);
    let homes = homes.collect::<HashSet<_>>();
    for replica in text.replicas.values() {
        if !homes.contains(&replica.data_centre) {
            *unowned.entry(&replica.data_centre).or_insert(0) += 1;
        }
    }
    for (data_centre, count) in unowned {
        if let Some(&at) = lines.data_centres.get(data_centre) {
            reader.warning(
                at,
                format!("data centre `{data_centre}` holds no VM; {count} of its replicas cannot have an owner"),
                "add a VM there or move the replicas",
            );
        }
    }
}

fn suggestion<'a>(name: &str, known: impl Iterator<Item = &'a str>, add: &str) -> String {
    nearest(name, known).map_or_else(
        || format!("{add} of that name or correct the name"),
        |nearest| format!("did you mean `{nearest}`?"),
    )
}

fn check_addresses(lines: Lines, reader: &mut Reader) {
    let mut uses = lines.addresses;
    uses.sort();
    let mut first = HashMap::<SocketAddr, (u64, AddressUser)>::with_capacity(uses.len());
    for (at, address, user) in uses {
        match first.get(&address) {
            Some((line, other)) => reader.error(
                at,
                format!("{user} is {address}, like the {other} in line {line}"),
                "give each its own address",
            ),
            None => drop(first.insert(address, (at, user))),
        }
    }
}

fn check_replicas(text: &DeploymentText, lines: &Lines, reader: &mut Reader) {
    let out = text.data_centres.iter().filter(|(_, it)| it.out);
    let out = out.map(|(name, _)| name).collect::<HashSet<_>>();
    let mut services = HashMap::<&Arc<str>, Spread<'_>>::new();
    let by_service = text.replicas.values().collect::<Vec<_>>();
    // Names are mostly in the order of their services.
    for replicas in by_service.chunk_by(|left, right| left.service == right.service) {
        let first = replicas[0];
        let spread = services.entry(&first.service).or_insert(Spread {
            data_centre: &first.data_centre,
            one_place: true,
            replicas: 0,
            serving: false,
        });
        for replica in replicas {
            spread.one_place &= *spread.data_centre == replica.data_centre;
            spread.replicas += 1;
            // A data centre that is not known counts as in service.
            spread.serving |= !replica.out && !out.contains(&replica.data_centre);
        }
    }
    for (service, spread) in services {
        let at = line_of(&lines.services, service);
        if spread.replicas > 1 && spread.one_place {
            reader.warning(
                at,
                format!(
                    "all replicas of service `{service}` are in data centre `{}`",
                    spread.data_centre
                ),
                "place one elsewhere, or the service is lost with that data centre",
            );
        }
        if !spread.serving {
            reader.warning(
                at,
                format!("every replica of service `{service}` is out"),
                "bring one in, or answers lack its rows",
            );
        }
    }
}

/// Where the replicas of a service are.
struct Spread<'a> {
    /// Data centre of the first replica.
    data_centre: &'a Arc<str>,
    /// Whether all replicas are in that data centre.
    one_place: bool,
    replicas: usize,
    /// Whether a replica is in service.
    serving: bool,
}

fn check_out(text: &DeploymentText, reader: &mut Reader) {
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
