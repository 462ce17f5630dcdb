use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::DeploymentText;
use crate::Finding;
use crate::SettingsError;
use crate::Severity;
use crate::deployment_reader::DeploymentReader;
use crate::lines::Lines;
use crate::lines::line_of;
use crate::nearest;
use crate::reader::Reader;
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
    read(text).1
}

/// The content of a deployment text.
///
/// # Errors
///
/// [`SettingsError::Rejected`] with all findings if one of them is an error.
pub fn parse(text: &str) -> Result<DeploymentText, SettingsError> {
    let (content, findings) = read(text);
    if findings.iter().any(Finding::is_error) {
        return Err(SettingsError::Rejected(findings));
    }
    Ok(content)
}

fn read(text: &str) -> (DeploymentText, Vec<Finding>) {
    if text.len() > MAX_TEXT_BYTES {
        let finding = Finding {
            line: 0,
            mend: "use defaults and short forms".into(),
            problem: format!(
                "the text has {} bytes; at most {MAX_TEXT_BYTES} are stored",
                text.len()
            ),
            severity: Severity::Error,
        };
        return (DeploymentText::default(), vec![finding]);
    }
    let item = match Tree::parse(text) {
        Ok(item) => item,
        Err(finding) => return (DeploymentText::default(), vec![finding]),
    };
    let mut draft = DeploymentReader::default();
    draft.read(&item);
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
    for (at, data_centre) in &lines.places {
        if !lines.data_centres.contains_key(data_centre) {
            let known = lines.data_centres.keys().map(AsRef::as_ref);
            let problem = format!("there is no data centre `{data_centre}`");
            let mend = suggestion(data_centre, known, "add a data centre");
            reader.error(*at, problem, mend);
        }
    }
    let mut unowned = BTreeMap::new();
    let homes = text.vms.values().map(|vm| &vm.data_centre);
    let homes = homes.collect::<BTreeSet<_>>();
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
    let mut first = BTreeMap::<SocketAddr, (u64, String)>::new();
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
    let mut places = BTreeMap::<&Arc<str>, Vec<&Arc<str>>>::new();
    let mut serving = BTreeSet::new();
    for replica in text.replicas.values() {
        let data_centres = places.entry(&replica.service).or_default();
        data_centres.push(&replica.data_centre);
        if !replica.out && !data_centre_out(text, &replica.data_centre) {
            serving.insert(&replica.service);
        }
    }
    for (service, data_centres) in places {
        let at = line_of(&lines.services, service);
        if data_centres.len() > 1 && data_centres.iter().all(|it| *it == data_centres[0]) {
            reader.warning(
                at,
                format!(
                    "all replicas of service `{service}` are in data centre `{}`",
                    data_centres[0]
                ),
                "place one elsewhere, or the service is lost with that data centre",
            );
        }
        if !serving.contains(service) {
            reader.warning(
                at,
                format!("every replica of service `{service}` is out"),
                "bring one in, or answers lack its rows",
            );
        }
    }
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
                    .all(|it| it.out || data_centre_out(text, &it.data_centre)),
        ),
        (
            "replica",
            !text.replicas.is_empty()
                && text
                    .replicas
                    .values()
                    .all(|it| it.out || data_centre_out(text, &it.data_centre)),
        ),
    ];
    for (what, out) in all_out {
        if out {
            let problem = format!("every {what} is out");
            reader.error(0, problem, "leave at least one in service");
        }
    }
}

fn data_centre_out(text: &DeploymentText, name: &str) -> bool {
    text.data_centres.get(name).is_some_and(|it| it.out)
}
