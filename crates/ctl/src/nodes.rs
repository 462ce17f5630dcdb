use std::fmt::Debug;
use std::fmt::Formatter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::scope;

use serde::de::DeserializeOwned;

/// Threads that ask nodes at the same time.
const PARALLEL: usize = 32;

type Get = dyn Fn(SocketAddr, &str, &[(&str, &str)]) -> Result<String, String> + Send + Sync;
type Post = dyn Fn(SocketAddr, &str, &str) -> Result<String, String> + Send + Sync;

/// HTTP calls to nodes; the error says why there is no answer.
pub struct Nodes {
    /// Gets a path with parameters.
    pub get: Box<Get>,
    /// Posts a body to a path.
    pub post: Box<Post>,
}

/// Where a node serves operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeAddress {
    /// HTTP address.
    pub address: SocketAddr,
    /// Name of the VM, or the address if the name is not known.
    pub name: Arc<str>,
}

impl Nodes {
    /// Gets `path` from every node; the answers are in the order of `nodes`.
    pub(crate) fn ask<T: DeserializeOwned + Send>(
        &self,
        nodes: &[NodeAddress],
        path: &str,
        params: &[(&str, &str)],
    ) -> Vec<Result<T, String>> {
        each(nodes, &|node| {
            let body = (self.get)(node.address, path, params)?;
            serde_json::from_str(&body).map_err(|error| format!("unreadable answer: {error}"))
        })
    }

    /// Posts `body` to `path` of every node.
    pub(crate) fn tell(
        &self,
        nodes: &[NodeAddress],
        path: &str,
        body: &str,
    ) -> Vec<Result<String, String>> {
        each(nodes, &|node| (self.post)(node.address, path, body))
    }
}

fn each<T: Send>(
    nodes: &[NodeAddress],
    call: &(dyn Fn(&NodeAddress) -> Result<T, String> + Sync),
) -> Vec<Result<T, String>> {
    let mut answers = Vec::with_capacity(nodes.len());
    for group in nodes.chunks(PARALLEL) {
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

impl Debug for Nodes {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Nodes").finish_non_exhaustive()
    }
}
