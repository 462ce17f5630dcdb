use std::collections::HashMap;

/// Length of the windows in which requests are counted against a limit.
const WINDOW_US: u64 = 4_000_000;

/// Time that nodes have to adapt after a replica first named its limit.
const ADAPT_US: u64 = 4_000_000;

/// Time after which the requests of a node count that has heard of the limit.
const HEARD_US: u64 = 500_000;

/// Factor of the limit up to which requests are accepted.
const TOLERANCE: f64 = 1.5;

/// Requests in a window that are accepted beyond that.
const SLACK: f64 = 5.0;

/// Counts the requests to replicas that limit their rate against what they accept.
#[derive(Debug, Default)]
pub(crate) struct LimitUse {
    /// Times at which nodes first heard of the limit, by replica and node.
    heard_us: HashMap<(usize, usize), u64>,
    limits: HashMap<usize, Limit>,
    /// Largest share of what a replica accepts that it got in a window.
    pub(crate) worst_share: f64,
}

#[derive(Debug, Default)]
struct Limit {
    /// Times of the requests of nodes that had heard of the limit, in ascending order.
    arrived_us: Vec<u64>,
    named_us: u64,
    per_s: f64,
}

impl LimitUse {
    /// Records that a replica names a limit from now on.
    pub(crate) fn name(&mut self, now_us: u64, replica: usize, per_s: f64) {
        let limit = Limit {
            arrived_us: Vec::new(),
            named_us: now_us,
            per_s,
        };
        self.limits.insert(replica, limit);
    }

    /// Records that a replica names no limit any more.
    pub(crate) fn lift(&mut self, replica: usize) {
        self.limits.remove(&replica);
        self.heard_us.retain(|(other, _), _| *other != replica);
    }

    /// Returns the limit that a replica names.
    pub(crate) fn limit_per_s(&self, replica: usize) -> Option<f64> {
        self.limits.get(&replica).map(|limit| limit.per_s)
    }

    /// Records that a node got a response of a replica that names a limit.
    pub(crate) fn hear(&mut self, now_us: u64, replica: usize, node: usize) {
        self.heard_us.entry((replica, node)).or_insert(now_us);
    }

    /// Records a request of a node to a replica.
    pub(crate) fn arrive(&mut self, now_us: u64, replica: usize, node: usize) {
        let Some(limit) = self.limits.get_mut(&replica) else {
            return;
        };
        let heard_us = self.heard_us.get(&(replica, node));
        let counts = heard_us.is_some_and(|heard_us| heard_us + HEARD_US <= now_us);
        if !counts || now_us < limit.named_us + ADAPT_US {
            return;
        }
        limit.arrived_us.push(now_us);
        let first = limit
            .arrived_us
            .partition_point(|at| at + WINDOW_US <= now_us);
        let in_window = (limit.arrived_us.len() - first) as f64;
        let accepted = TOLERANCE * limit.per_s * (WINDOW_US as f64 / 1e6) + SLACK;
        self.worst_share = self.worst_share.max(in_window / accepted);
    }
}
