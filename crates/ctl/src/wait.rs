use std::sync::Arc;

use serde::Serialize;

use crate::Context;
use crate::NodeAddress;
use wigeonhall_protocol::NodeStatus;

/// Parameter that requests a status without members and replicas. With them, the answers
/// of 5,600 nodes would take more than a gigabyte.
pub(crate) const BRIEF_PARAMS: [(&str, &str); 1] = [("brief", "true")];

/// A node that did not answer or did not confirm a change in time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MissingNode {
    /// Name of the VM, or its address.
    pub name: Arc<str>,
    /// What the last status lacked, or why there was no answer.
    pub reason: String,
}

/// Polls the status of the nodes until `confirmed` accepts each of them. Returns the nodes
/// that are not confirmed when the time limit has passed.
///
/// `confirmed` returns what the status lacks as its error.
pub(crate) fn poll_status(
    context: &Context,
    nodes: &[NodeAddress],
    confirmed: &dyn Fn(&NodeStatus) -> Result<(), String>,
) -> Vec<MissingNode> {
    let mut backoff = (context.new_backoff)();
    let mut pending = nodes.to_vec();
    loop {
        let answers =
            context
                .node_client
                .fetch_all::<NodeStatus>(&pending, "/status", &BRIEF_PARAMS);
        let mut missing = Vec::new();
        let mut still_pending = Vec::new();
        for (node, answer) in pending.into_iter().zip(answers) {
            if let Err(reason) = answer.and_then(|status| confirmed(&status)) {
                let name = Arc::clone(&node.name);
                missing.push(MissingNode { name, reason });
                still_pending.push(node);
            }
        }
        if missing.is_empty() || !backoff() {
            return missing;
        }
        pending = still_pending;
    }
}

/// Waits until every node reports this generation or a later one.
pub(crate) fn wait_for_generation(
    context: &Context,
    nodes: &[NodeAddress],
    generation: u64,
) -> Vec<MissingNode> {
    (context.print_progress)(&format!(
        "waiting for {} nodes to report generation {generation}",
        nodes.len()
    ));
    poll_status(context, nodes, &|status| {
        if status.generation >= generation {
            return Ok(());
        }
        Err(format!("reports generation {}", status.generation))
    })
}
