use std::fmt::Debug;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::scope;

use serde::de::DeserializeOwned;

/// Maximum number of nodes that are called at the same time, with one thread each.
const MAX_PARALLEL_CALLS: usize = 32;

type Get = dyn Fn(SocketAddr, &str, &[(&str, &str)]) -> Result<String, String> + Send + Sync;
type Post = dyn Fn(SocketAddr, &str, &str) -> Result<String, String> + Send + Sync;

/// Client for HTTP calls to nodes, as closures that tests can replace. The error of a call
/// says why there is no answer.
pub struct NodeClient {
    /// Gets a path with parameters.
    pub get: Box<Get>,
    /// Posts a body to a path.
    pub post: Box<Post>,
}

/// Name of a node and the address at which it serves callers and operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeAddress {
    /// HTTP address.
    pub address: SocketAddr,
    /// Name of the VM, or the address if the name is not known.
    pub name: Arc<str>,
}

impl NodeClient {
    /// Gets `path` from every node. The answers are in the order of `nodes`.
    pub(crate) fn fetch_all<T: DeserializeOwned + Send>(
        &self,
        nodes: &[NodeAddress],
        path: &str,
        params: &[(&str, &str)],
    ) -> Vec<Result<T, String>> {
        call_all(nodes, &|node| {
            let body = (self.get)(node.address, path, params)?;
            serde_json::from_str(&body).map_err(|error| format!("unreadable answer: {error}"))
        })
    }

    /// Posts `body` to `path` of every node. The answers are in the order of `nodes`.
    pub(crate) fn post_all(
        &self,
        nodes: &[NodeAddress],
        path: &str,
        body: &str,
    ) -> Vec<Result<String, String>> {
        call_all(nodes, &|node| (self.post)(node.address, path, body))
    }
}

/// Calls every node, up to `MAX_PARALLEL_CALLS` at the same time.
fn call_all<T: Send>(
    nodes: &[NodeAddress],
    call: &(dyn Fn(&NodeAddress) -> Result<T, String> + Sync),
) -> Vec<Result<T, String>> {
    let mut answers = Vec::with_capacity(nodes.len());
    for group in nodes.chunks(MAX_PARALLEL_CALLS) {
        scope(|threads| {
            let calls = group.iter().map(|node| threads.spawn(move || call(node)));
            let calls = calls.collect::<Vec<_>>();
            for pending in calls {
                let answer = pending.join();
                answers.push(answer.unwrap_or_else(|_| Err("the call panicked".into())));
            }
        });
    }
    answers
}

impl Debug for NodeClient {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("NodeClient").finish_non_exhaustive()
    }
}
