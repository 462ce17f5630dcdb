use std::sync::Arc;

use serde::Serialize;

use crate::Context;
use crate::NodeAddress;
use wigeonhall_protocol::NodeStatus;

/// Asks for a status without members and replicas; those of 5,600 nodes would be more
/// than a gigabyte.
pub(crate) const BRIEF: [(&str, &str); 1] = [("brief", "true")];

/// A node that did not confirm in time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MissingNode {
    /// Name of the VM, or its address.
    pub name: Arc<str>,
    /// What it said last, or why it did not answer.
    pub reason: String,
}

/// Asks the nodes for their status until each is as `confirmed` wants it; returns
/// those that are not when the time is over. `confirmed` returns what is missing.
pub(crate) fn wait_for(
    context: &Context,
    nodes: &[NodeAddress],
    confirmed: &dyn Fn(&NodeStatus) -> Result<(), String>,
) -> Vec<MissingNode> {
    let mut wait = (context.patience)();
    let mut open = nodes.to_vec();
    loop {
        let answers = context.nodes.ask::<NodeStatus>(&open, "/status", &BRIEF);
        let mut missing = Vec::new();
        let mut still_open = Vec::new();
        for (node, answer) in open.into_iter().zip(answers) {
            if let Err(reason) = answer.and_then(|status| confirmed(&status)) {
                let name = Arc::clone(&node.name);
                missing.push(MissingNode { name, reason });
                still_open.push(node);
            }
        }
        if missing.is_empty() || !wait() {
            return missing;
        }
        open = still_open;
    }
}

/// Waits until every node reports this generation or a later one.
pub(crate) fn wait_for_generation(
    context: &Context,
    nodes: &[NodeAddress],
    generation: u64,
) -> Vec<MissingNode> {
    (context.say)(&format!(
        "waiting for {} nodes to report generation {generation}",
        nodes.len()
    ));
    wait_for(context, nodes, &|status| {
        if status.generation >= generation {
            return Ok(());
        }
        Err(format!("reports generation {}", status.generation))
    })
}
