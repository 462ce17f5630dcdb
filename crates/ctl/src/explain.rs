use std::fmt::Write;
use std::sync::Arc;

use serde::Serialize;

use crate::Context;
use crate::CtlError;
use crate::MissingNode;
use crate::Report;
use crate::report::EXIT_DONE;
use crate::report::EXIT_INCOMPLETE;
use wigeonhall_protocol::Decision;
use wigeonhall_protocol::Explanation;
use wigeonhall_protocol::Subject;

/// Decisions of all nodes on one subject.
#[derive(Serialize)]
struct ExplainSummary {
    /// Decisions, oldest first. The age of each is relative to its node's answer.
    decisions: Vec<NodeDecision>,
    /// Nodes that did not answer.
    missing: Vec<MissingNode>,
}

/// A decision and the node that made it.
#[derive(Serialize)]
struct NodeDecision {
    #[serde(flatten)]
    decision: Decision,
    node: Arc<str>,
}

/// Lists the decisions of the nodes on a request or replica.
///
/// # Errors
///
/// If neither the command line nor the store names the nodes.
pub fn explain(context: &Context, subject: &Subject) -> Result<Report, CtlError> {
    let nodes = context.resolve_nodes()?;
    let param = match subject {
        Subject::Replica(name) => ("replica", name.as_ref()),
        Subject::Request(id) => ("request", id.as_ref()),
    };
    let answers = context
        .node_client
        .fetch_all::<Explanation>(&nodes, "/explain", &[param]);
    let mut summary = ExplainSummary {
        decisions: Vec::new(),
        missing: Vec::new(),
    };
    // Decisions that nodes recorded and have dropped since for newer ones.
    let mut forgotten = 0;
    for (node, answer) in nodes.iter().zip(answers) {
        match answer {
            Ok(explanation) => {
                forgotten += explanation.forgotten;
                let decisions = explanation.decisions.into_iter();
                summary
                    .decisions
                    .extend(decisions.map(|decision| NodeDecision {
                        decision,
                        node: Arc::clone(&explanation.node),
                    }));
            }
            Err(reason) => {
                let name = Arc::clone(&node.name);
                summary.missing.push(MissingNode { name, reason });
            }
        }
    }
    summary
        .decisions
        .sort_by_key(|it| std::cmp::Reverse(it.decision.age_us));
    let exit_code = if summary.missing.is_empty() {
        EXIT_DONE
    } else {
        EXIT_INCOMPLETE
    };
    let text = text_of(&summary, forgotten);
    Ok(Report::new(exit_code, &summary, text))
}

fn text_of(summary: &ExplainSummary, forgotten: u64) -> String {
    let mut text = String::new();
    for node_decision in &summary.decisions {
        let decision = &node_decision.decision;
        let about = [
            ("request", &decision.request),
            ("replica", &decision.replica),
        ];
        let about = about
            .iter()
            .filter_map(|(kind, name)| Some(format!(", {kind} {}", name.as_ref()?)));
        let _ = writeln!(
            text,
            "{:>6}.{:03} s ago  {}{}: {} ({})",
            decision.age_us / 1_000_000,
            decision.age_us / 1_000 % 1_000,
            node_decision.node,
            about.collect::<String>(),
            decision.what,
            decision.reason
        );
    }
    if summary.decisions.is_empty() {
        let _ = writeln!(
            text,
            "no decision is recorded; the nodes have dropped {forgotten} older decisions"
        );
    }
    for node in &summary.missing {
        let _ = writeln!(text, "no answer: {}: {}", node.name, node.reason);
    }
    text
}
