//! Guards against extra sub-requests of all nodes that exceed what operators allow in a window,
//! and against slack, their fixed allowance per window, that stays unused while shards are slow.

mod common;

use std::sync::Arc;

use wigeonhall_dispatch::ExtraAllowance;
use wigeonhall_dispatch::ExtraReason;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::ServiceKey;

use common::MS;
use common::S;
use common::add;
use common::pool;

const WINDOW_US: u64 = 10 * S;

const RATIO: f64 = 0.2;

/// Nodes that send to one service and try to send every request twice.
struct NodeGroup {
    nodes: Vec<Pool>,
    service: ServiceKey,
}

impl NodeGroup {
    fn new(senders: usize, slack: f64) -> Self {
        let mut service = None;
        let nodes = (0..senders).map(|_| {
            let mut node = pool();
            node.set_extra_allowance(ExtraAllowance {
                ratio: RATIO,
                slack,
                window_ms: WINDOW_US / 1_000,
            });
            add(&mut node, "a", 1);
            let key = node.service_key(&Arc::from("a"));
            node.set_senders(key, senders);
            service = Some(key);
            node
        });
        Self {
            nodes: nodes.collect(),
            service: service.unwrap(),
        }
    }

    /// Sends `per_s` requests per second from all nodes in turn; returns the times of the
    /// extra sub-requests.
    fn send_requests(&mut self, per_s: u64, seconds: u64) -> Vec<u64> {
        let count = per_s * seconds;
        let mut extra_us = Vec::new();
        for index in 0..count {
            let now_us = index * S / per_s;
            let node = index as usize % self.nodes.len();
            self.nodes[node].earn(self.service);
            let reason = if index % 2 == 0 {
                ExtraReason::Hedge
            } else {
                ExtraReason::Retry
            };
            if self.nodes[node].try_charge_extra(now_us, self.service, reason) {
                extra_us.push(now_us);
            }
        }
        extra_us
    }
}

fn max_in_a_window(times_us: &[u64]) -> usize {
    let within = |start_us: &u64| {
        let window = *start_us..start_us + WINDOW_US;
        times_us
            .iter()
            .filter(|at_us| window.contains(at_us))
            .count()
    };
    times_us.iter().map(within).max().unwrap_or(0)
}

/// Guards against bursts of all nodes that together exceed the allowance: four extra sub-requests
/// from each of 295 nodes exceed a slack of 630.
#[test]
fn all_nodes_together_stay_within_the_allowance_in_every_window() {
    for (senders, slack, per_s) in [
        (295, 630.0, 400),
        (21, 630.0, 60),
        (21, 135.0, 90),
        (14, 108.0, 112),
        (109, 282.0, 80),
        (1, 20.0, 50),
    ] {
        let mut group = NodeGroup::new(senders, slack);
        let extra_us = group.send_requests(per_s, 40);
        let allowed = RATIO * (per_s * WINDOW_US / S) as f64 + slack;
        let max_extra = max_in_a_window(&extra_us);
        assert!(
            max_extra as f64 <= allowed,
            "{senders}: {max_extra} of {allowed}"
        );
    }
}

/// Guards against nodes that use only credit earned by the ratio, which leaves three quarters of
/// the allowance unused.
#[test]
fn slack_is_used_if_few_nodes_send_to_a_service() {
    let mut group = NodeGroup::new(21, 630.0);
    let extra_us = group.send_requests(60, 40);
    // The 40 seconds are four windows, each with a slack of 630.
    let allowed = RATIO * 60.0 * 40.0 + 4.0 * 630.0;
    let used = extra_us.len() as f64;
    assert!(used >= allowed / 2.0, "{used} of {allowed}");
}

#[test]
fn service_without_slack_stays_within_the_ratio() {
    let mut group = NodeGroup::new(4, 0.0);
    let extra = group.send_requests(100, 40).len();
    assert!(extra as f64 <= RATIO * 4_000.0, "{extra}");
    let charged = group.nodes[0].try_charge_extra(500 * MS, group.service, ExtraReason::Hedge);
    assert!(!charged);
}
