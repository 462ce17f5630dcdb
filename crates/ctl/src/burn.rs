use std::fmt::Write;
use std::sync::Arc;

use serde::Serialize;

use crate::Context;
use crate::CtlError;
use crate::MissingNode;
use crate::Report;
use crate::report::EXIT_BURN_ALERT;
use crate::report::EXIT_DONE;
use crate::report::EXIT_INCOMPLETE;
use wigeonhall_burn::BurnReport;
use wigeonhall_burn::BurnSample;

/// Burn report and the nodes that did not answer.
#[derive(Serialize)]
struct Burn {
    /// Nodes that did not answer.
    missing: Vec<MissingNode>,
    #[serde(flatten)]
    report: BurnReport,
}

/// Reports how fast each query class spends its error budget, summed over the nodes that answer.
///
/// # Errors
///
/// If neither the command line nor the store names the nodes.
pub fn burn(context: &Context) -> Result<Report, CtlError> {
    let nodes = context.resolve_nodes()?;
    let answers = context
        .node_client
        .fetch_all::<BurnSample>(&nodes, "/burn", &[]);
    let mut missing = Vec::new();
    let mut samples = Vec::new();
    for (node, answer) in nodes.iter().zip(answers) {
        match answer {
            Ok(sample) => samples.push(sample),
            Err(reason) => {
                let name = Arc::clone(&node.name);
                missing.push(MissingNode { name, reason });
            }
        }
    }
    let burn = Burn {
        missing,
        report: BurnReport::new(&samples),
    };
    let mut text = burn.report.to_string();
    for node in &burn.missing {
        let _ = writeln!(text, "no answer: {}: {}", node.name, node.reason);
    }
    let exit_code = match (burn.report.is_firing(), burn.missing.is_empty()) {
        (true, _) => EXIT_BURN_ALERT,
        (false, true) => EXIT_DONE,
        (false, false) => EXIT_INCOMPLETE,
    };
    Ok(Report::new(exit_code, &burn, text))
}
