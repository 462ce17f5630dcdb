use std::fmt::Write;
use std::sync::Arc;

use serde::Serialize;

use crate::Context;
use crate::CtlError;
use crate::MissingNode;
use crate::Report;
use crate::report::DONE;
use crate::report::NOT_EVERYWHERE;
use wigeonhall_protocol::Decision;
use wigeonhall_protocol::Explanation;
use wigeonhall_protocol::Subject;

#[derive(Serialize)]
struct Explained {
    /// By falling age. Ages are counted by each node from when it was asked.
    decisions: Vec<NodeDecision>,
    missing: Vec<MissingNode>,
}

#[derive(Serialize)]
struct NodeDecision {
    #[serde(flatten)]
    decision: Decision,
    node: Arc<str>,
}

/// Lists what the nodes decided on a request or replica.
///
/// # Errors
///
/// If neither the command line nor the store names the nodes.
pub fn explain(context: &Context, subject: &Subject) -> Result<Report, CtlError> {
    let nodes = context.find_nodes()?;
    let param = match subject {
        Subject::Replica(name) => ("replica", name.as_ref()),
        Subject::Request(id) => ("request", id.as_ref()),
    };
    let answers = context
        .nodes
        .ask::<Explanation>(&nodes, "/explain", &[param]);
    let mut explained = Explained {
        decisions: Vec::new(),
        missing: Vec::new(),
    };
    let mut forgotten = 0;
    for (node, answer) in nodes.iter().zip(answers) {
        match answer {
            Ok(explanation) => {
                forgotten += explanation.forgotten;
                let decisions = explanation.decisions.into_iter();
                explained
                    .decisions
                    .extend(decisions.map(|decision| NodeDecision {
                        decision,
                        node: Arc::clone(&explanation.node),
                    }));
            }
            Err(reason) => {
                let name = Arc::clone(&node.name);
                explained.missing.push(MissingNode { name, reason });
            }
        }
    }
    explained
        .decisions
        .sort_by_key(|it| std::cmp::Reverse(it.decision.age_us));
    let exit_code = if explained.missing.is_empty() {
        DONE
    } else {
        NOT_EVERYWHERE
    };
    let text = text_of(&explained, forgotten);
    Ok(Report::new(exit_code, &explained, text))
}

fn text_of(explained: &Explained, forgotten: u64) -> String {
    let mut text = String::new();
    for it in &explained.decisions {
        let decision = &it.decision;
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
            it.node,
            about.collect::<String>(),
            decision.what,
            decision.reason
        );
    }
    if explained.decisions.is_empty() {
        let _ = writeln!(
            text,
            "no decision is recorded; the nodes have dropped {forgotten} older decisions"
        );
    }
    for node in &explained.missing {
        let _ = writeln!(text, "no answer: {}: {}", node.name, node.reason);
    }
    text
}
