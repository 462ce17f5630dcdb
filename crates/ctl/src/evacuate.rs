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
use crate::wait::poll_status;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_settings::Place;

/// Result of an evacuation without the store.
#[derive(Serialize)]
struct EvacuationSummary {
    change_id: Arc<str>,
    /// Nodes that did not report the evacuation in time.
    missing: Vec<MissingNode>,
    /// Number of nodes that the command line names.
    nodes: usize,
    /// Number of nodes that accepted the evacuation from this command.
    told: usize,
}

/// Takes a data centre or VM out of service without the store: sends an evacuation override
/// to the nodes named on the command line and waits until each of them reports it.
///
/// The nodes pass the override on to each other, so it is enough that one of them accepts
/// it. The override ends when a configuration lists its change id.
///
/// # Errors
///
/// - [`CtlError::NoNodes`] if the command line names no node.
/// - [`CtlError::NoNodeAccepted`] if no node accepted the override.
pub fn evacuate(context: &Context, place: Place<'_>) -> Result<Report, CtlError> {
    if context.node_addresses.is_empty() {
        return Err(CtlError::NoNodes);
    }
    let nodes = context.resolve_nodes()?;
    let (data_centre, vm) = match place {
        Place::DataCentre(name) => (Some(Arc::from(name)), None),
        Place::Vm(name) => (None, Some(Arc::from(name))),
    };
    let evacuation = EvacuationOverride {
        author: Arc::clone(&context.author),
        change_id: (context.new_change_id)(),
        data_centre,
        vm,
    };
    let body = serde_json::to_string(&evacuation).unwrap_or_default();
    let answers = context.node_client.post_all(&nodes, "/evacuate", &body);
    let told = answers.iter().filter(|answer| answer.is_ok()).count();
    if told == 0 {
        let failures = nodes.iter().zip(answers);
        let reasons = failures.filter_map(|(node, answer)| {
            let reason = answer.err()?;
            Some(format!("{}: {reason}", node.name))
        });
        return Err(CtlError::NoNodeAccepted(reasons.collect()));
    }
    (context.print_progress)(&format!(
        "{told} of {} nodes accepted evacuation {}; waiting for all to report it",
        nodes.len(),
        evacuation.change_id
    ));
    let missing = poll_status(context, &nodes, &|status| {
        let is_same = |it: &EvacuationOverride| it.change_id == evacuation.change_id;
        if status.overrides.iter().any(is_same) {
            return Ok(());
        }
        Err("does not report the evacuation".into())
    });
    let summary = EvacuationSummary {
        change_id: Arc::clone(&evacuation.change_id),
        missing,
        nodes: nodes.len(),
        told,
    };
    Ok(report(&evacuation, &summary))
}

fn report(evacuation: &EvacuationOverride, summary: &EvacuationSummary) -> Report {
    let mut text = format!(
        "{} is out on {} of {} nodes (change {})\n",
        describe_place(evacuation),
        summary.nodes - summary.missing.len(),
        summary.nodes,
        evacuation.change_id
    );
    for node in &summary.missing {
        let _ = writeln!(text, "missing: {}: {}", node.name, node.reason);
    }
    text.push_str("when the store answers again, run `wigeonhall out` for it once more\n");
    let exit_code = if summary.missing.is_empty() {
        EXIT_DONE
    } else {
        EXIT_INCOMPLETE
    };
    Report::new(exit_code, summary, text)
}
