use std::collections::HashMap;

use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// Connection pools of entry nodes to targets; each connection carries one request at a time.
///
/// Idle connections stay open, since a run is shorter than the usual keep-alive timeout.
#[derive(Debug, Default)]
pub struct Connections {
    /// Open and busy connections between each node and target.
    pairs: HashMap<(NodeKey, ReplicaKey), (u32, u32)>,
    /// Open connections at each target.
    totals: HashMap<ReplicaKey, u32>,
}

/// Result of the checkout of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Checkout {
    /// The target is at its connection limit.
    Full,
    /// An idle connection is reused.
    Idle,
    /// A new connection is opened; the target now has this many.
    New(u32),
}

impl Connections {
    /// Checks out a connection for a request.
    pub fn check_out(&mut self, node: NodeKey, replica: ReplicaKey, limit: u32) -> Checkout {
        let (open, busy) = self.pairs.entry((node, replica)).or_default();
        if busy < open {
            *busy += 1;
            return Checkout::Idle;
        }
        let total = self.totals.entry(replica).or_default();
        if *total >= limit {
            return Checkout::Full;
        }
        *total += 1;
        *open += 1;
        *busy += 1;
        Checkout::New(*total)
    }

    /// Returns the connection of a request to the pool.
    pub fn check_in(&mut self, node: NodeKey, replica: ReplicaKey) {
        if let Some((_, busy)) = self.pairs.get_mut(&(node, replica)) {
            *busy = busy.saturating_sub(1);
        }
    }

    /// Closes all connections to a target that crashed.
    pub fn lose_target(&mut self, replica: ReplicaKey) {
        self.totals.remove(&replica);
        self.pairs.retain(|(_, it), _| *it != replica);
    }

    /// Closes all connections of an entry node that crashed.
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
