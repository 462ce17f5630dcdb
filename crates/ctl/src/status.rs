use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

use serde::Serialize;

use crate::Context;
use crate::CtlError;
use crate::MissingNode;
use crate::Report;
use crate::overrides::describe_place;
use crate::report::EXIT_DONE;
use crate::report::EXIT_INCOMPLETE;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_protocol::MemberState;
use wigeonhall_protocol::NodeStatus;
use wigeonhall_protocol::ReplicaStatus;
use wigeonhall_types::ReplicaState;

/// Status of every node that answered, and the nodes that did not.
#[derive(Serialize)]
struct FleetStatus {
    missing: Vec<MissingNode>,
    nodes: Vec<NodeStatus>,
}

/// Reports the state of every node, and the replicas that are not warm or have requests
/// waiting.
///
/// # Errors
///
/// If neither the command line nor the store names the nodes.
pub fn status(context: &Context) -> Result<Report, CtlError> {
    let nodes = context.resolve_nodes()?;
    let answers = context
        .node_client
        .fetch_all::<NodeStatus>(&nodes, "/status", &[]);
    let mut fleet = FleetStatus {
        missing: Vec::new(),
        nodes: Vec::new(),
    };
    for (node, answer) in nodes.iter().zip(answers) {
        match answer {
            Ok(status) => fleet.nodes.push(status),
            Err(reason) => {
                let name = Arc::clone(&node.name);
                fleet.missing.push(MissingNode { name, reason });
            }
        }
    }
    let newest = fleet.nodes.iter().map(|node| node.generation).max();
    let is_current =
        |node: &NodeStatus| node.not_ready.is_none() && Some(node.generation) == newest;
    let exit_code = if fleet.missing.is_empty() && fleet.nodes.iter().all(is_current) {
        EXIT_DONE
    } else {
        EXIT_INCOMPLETE
    };
    Ok(Report::new(exit_code, &fleet, text_of(&fleet)))
}

fn text_of(fleet: &FleetStatus) -> String {
    let mut text = format!(
        "{:<20}  {:<16}  {:>10}  {:>8}  {:>7}  {:>7}  state\n",
        "node", "data centre", "generation", "replicas", "running", "waiting"
    );
    for node in &fleet.nodes {
        let sum = |count: fn(&ReplicaStatus) -> u32| node.replicas.iter().map(count).sum::<u32>();
        let _ = writeln!(
            text,
            "{:<20}  {:<16}  {:>10}  {:>8}  {:>7}  {:>7}  {}",
            node.name,
            node.data_centre,
            node.generation,
            node.replicas.len(),
            sum(|it| it.running),
            sum(|it| it.waiting),
            node.not_ready.as_deref().unwrap_or("ready")
        );
    }
    for node in &fleet.missing {
        let _ = writeln!(text, "{:<20}  no answer: {}", node.name, node.reason);
    }
    write_replicas(&mut text, fleet);
    write_members(&mut text, fleet);
    write_overrides(&mut text, fleet);
    text
}

/// Lists the replicas that are not warm or have requests waiting. The allowance is the limit on
/// concurrent requests in force, which is below the slots during a cold start or after a failure.
fn write_replicas(text: &mut String, fleet: &FleetStatus) {
    let owned = fleet.nodes.iter();
    let mut listed = owned
        .flat_map(|node| node.replicas.iter().map(move |it| (it, &node.name)))
        .filter(|(it, _)| it.state != ReplicaState::Warm || it.waiting > 0)
        .collect::<Vec<_>>();
    if listed.is_empty() {
        return;
    }
    listed.sort_by_key(|(it, node)| (&it.name, *node));
    let _ = writeln!(text, "\nreplicas that are not warm or have work waiting:");
    for (replica, node) in listed {
        let _ = writeln!(
            text,
            "  {}: {}{}, {} of {} slots used, {} allowed, {} waiting, {} ms expected wait, \
             owned by {node}",
            replica.name,
            state_name(replica.state),
            replica
                .reason
                .as_ref()
                .map_or_else(String::new, |reason| format!(" ({reason})")),
            replica.running,
            replica.slots,
            replica.allowance,
            replica.waiting,
            replica.expected_wait_us.div_ceil(1_000)
        );
    }
}

const fn state_name(state: ReplicaState) -> &'static str {
    match state {
        ReplicaState::Cold => "cold",
        ReplicaState::Leaving => "leaving",
        ReplicaState::Out => "out",
        ReplicaState::Unreachable => "unreachable",
        ReplicaState::Warm => "warm",
    }
}

fn write_members(text: &mut String, fleet: &FleetStatus) {
    let mut reports = BTreeMap::<_, Vec<&str>>::new();
    for node in &fleet.nodes {
        for member in node
            .members
            .iter()
            .filter(|it| it.state != MemberState::Alive)
        {
            let key = (&member.name, member.state);
            reports.entry(key).or_default().push(&node.name);
        }
    }
    if reports.is_empty() {
        return;
    }
    let _ = writeln!(text, "\nmembers that are not alive:");
    for ((name, state), by) in reports {
        let state = match state {
            MemberState::Alive => "alive",
            MemberState::Dead => "dead",
            MemberState::Leaving => "leaving",
            MemberState::Suspect => "suspect",
        };
        let _ = writeln!(
            text,
            "  {name}: {state} according to {} nodes: {}",
            by.len(),
            by.join(", ")
        );
    }
}

/// Lists the evacuation overrides: evacuations that nodes received without the store.
fn write_overrides(text: &mut String, fleet: &FleetStatus) {
    let mut counts = BTreeMap::<&EvacuationOverride, usize>::new();
    for it in fleet.nodes.iter().flat_map(|node| &node.overrides) {
        *counts.entry(it).or_default() += 1;
    }
    if counts.is_empty() {
        return;
    }
    let _ = writeln!(text, "\nevacuations without the store:");
    for (evacuation, count) in counts {
        let _ = writeln!(
            text,
            "  {} by {}, change {}, on {count} of {} nodes",
            describe_place(evacuation),
            evacuation.author,
            evacuation.change_id,
            fleet.nodes.len()
        );
    }
}
