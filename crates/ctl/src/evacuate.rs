use std::fmt::Write;
use std::sync::Arc;

use serde::Serialize;

use crate::Context;
use crate::CtlError;
use crate::MissingNode;
use crate::Report;
use crate::overrides::describe;
use crate::report::DONE;
use crate::report::NOT_EVERYWHERE;
use crate::wait::wait_for;
use wigeonhall_fleet::EvacuationOverride;
use wigeonhall_settings::Place;

#[derive(Serialize)]
struct Evacuated {
    change_id: Arc<str>,
    missing: Vec<MissingNode>,
    nodes: usize,
    /// Nodes that took the evacuation from this command.
    told: usize,
}

/// Takes a place out of service without the store: tells the nodes of the command line
/// and waits until each reports the evacuation.
///
/// The nodes pass it on among themselves, so one that takes it is enough. It ends when
/// a configuration contains its change id.
///
/// # Errors
///
/// - [`CtlError::NoNodes`] if the command line names no node.
/// - [`CtlError::NoNodeAccepted`] if no node took it.
pub fn evacuate(context: &Context, place: Place<'_>) -> Result<Report, CtlError> {
    if context.node_addresses.is_empty() {
        return Err(CtlError::NoNodes);
    }
    let nodes = context.find_nodes()?;
    let (data_centre, vm) = match place {
        Place::DataCentre(name) => (Some(Arc::from(name)), None),
        Place::Vm(name) => (None, Some(Arc::from(name))),
    };
    let order = EvacuationOverride {
        author: Arc::clone(&context.author),
        change_id: (context.new_id)(),
        data_centre,
        vm,
    };
    let body = serde_json::to_string(&order).unwrap_or_default();
    let answers = context.nodes.tell(&nodes, "/evacuate", &body);
    let told = answers.iter().filter(|answer| answer.is_ok()).count();
    if told == 0 {
        let failures = nodes.iter().zip(answers);
        let reasons = failures.filter_map(|(node, answer)| {
            let reason = answer.err()?;
            Some(format!("{}: {reason}", node.name))
        });
        return Err(CtlError::NoNodeAccepted(reasons.collect()));
    }
    (context.say)(&format!(
        "{told} of {} nodes took evacuation {}; waiting for all to report it",
        nodes.len(),
        order.change_id
    ));
    let missing = wait_for(context, &nodes, &|status| {
        let known = |it: &EvacuationOverride| it.change_id == order.change_id;
        if status.overrides.iter().any(known) {
            return Ok(());
        }
        Err("does not report the evacuation".into())
    });
    let evacuated = Evacuated {
        change_id: Arc::clone(&order.change_id),
        missing,
        nodes: nodes.len(),
        told,
    };
    Ok(report(&order, &evacuated))
}

fn report(order: &EvacuationOverride, evacuated: &Evacuated) -> Report {
    let mut text = format!(
        "{} is out on {} of {} nodes (change {})\n",
        describe(order),
        evacuated.nodes - evacuated.missing.len(),
        evacuated.nodes,
        order.change_id
    );
    for node in &evacuated.missing {
        let _ = writeln!(text, "missing: {}: {}", node.name, node.reason);
    }
    text.push_str("when the store answers again, run `wigeonhall out` for it once more\n");
    let exit_code = if evacuated.missing.is_empty() {
        DONE
    } else {
        NOT_EVERYWHERE
    };
    Report::new(exit_code, evacuated, text)
}
