use std::collections::HashMap;

use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// Connections that entry nodes keep to targets; each carries one request at a time.
///
/// An idle one stays open: runs are shorter than usual keep-alive times.
#[derive(Debug, Default)]
pub struct Connections {
    /// Open and busy connections of each pair.
    pairs: HashMap<(NodeKey, ReplicaKey), (u32, u32)>,
    /// Open connections of each target.
    totals: HashMap<ReplicaKey, u32>,
}

/// How a request gets its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Taken {
    /// The target has as many connections as it takes.
    Full,
    /// An open one is idle.
    Idle,
    /// A new one is opened; the target has this many now.
    New(u32),
}

impl Connections {
    /// Takes a connection for a request.
    pub fn take(&mut self, node: NodeKey, replica: ReplicaKey, limit: u32) -> Taken {
        let (open, busy) = self.pairs.entry((node, replica)).or_default();
        if busy < open {
            *busy += 1;
            return Taken::Idle;
        }
        let total = self.totals.entry(replica).or_default();
        if *total >= limit {
            return Taken::Full;
        }
        *total += 1;
        *open += 1;
        *busy += 1;
        Taken::New(*total)
    }

    /// A request no longer needs its connection.
    pub fn put_back(&mut self, node: NodeKey, replica: ReplicaKey) {
        if let Some((_, busy)) = self.pairs.get_mut(&(node, replica)) {
            *busy = busy.saturating_sub(1);
        }
    }

    /// A target ended.
    pub fn lose_target(&mut self, replica: ReplicaKey) {
        self.totals.remove(&replica);
        self.pairs.retain(|(_, it), _| *it != replica);
    }

    /// An entry node ended.
    pub fn lose_node(&mut self, node: NodeKey) {
        let totals = &mut self.totals;
        self.pairs.retain(|(it, replica), (open, _)| {
            if *it == node
                && let Some(total) = totals.get_mut(replica)
            {
                *total -= *open;
            }
            *it != node
        });
    }
}
