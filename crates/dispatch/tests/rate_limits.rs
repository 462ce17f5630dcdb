//! Guards against replicas that get more requests from all nodes together than the limit that they
//! name in their responses, and against limits that outlast their replica's need.

mod common;

use std::sync::Arc;

use wigeonhall_dispatch::Availability;
use wigeonhall_dispatch::GatherSize;
use wigeonhall_dispatch::Notice;
use wigeonhall_dispatch::PeerNode;
use wigeonhall_dispatch::Peers;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::RateLimit;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Reply;

use common::MS;
use common::S;
use common::add;
use common::registration;

/// Length of the windows in which requests are counted against the limit.
const WINDOW_US: u64 = 4 * S;

fn limit(rate_limit: RateLimit) -> Notice {
    Notice {
        rate_limit,
        ..Notice::default()
    }
}

/// Nodes that each know one replica, of which they have a share each.
struct Fleet {
    key: ReplicaKey,
    pools: Vec<Pool>,
    /// Times of the requests of all nodes, in ascending order.
    sent_us: Vec<u64>,
}

impl Fleet {
    fn new(nodes: usize, limit_per_s: f64) -> Self {
        let mut key = None;
        let pool = |seed| {
            let mut pool = Pool::new("north".into(), seed);
            pool.set_nodes(nodes);
            let added = add(&mut pool, "a", 1);
            pool.apply_notice(0, 0, added, limit(RateLimit::PerSecond(limit_per_s)));
            key = Some(added);
            pool
        };
        let pools = (0..nodes as u64).map(pool).collect();
        Self {
            key: key.unwrap(),
            pools,
            sent_us: Vec::new(),
        }
    }

    /// Lets each node send a request every 50 ms if it may.
    fn press(&mut self, from_us: u64, until_us: u64) {
        for now_us in (from_us..until_us).step_by(50_000) {
            for pool in &mut self.pools {
                let service = pool.service_key(&Arc::from("a"));
                if pool.choose(now_us, service, &[]).is_some() {
                    pool.request_started(now_us, self.key);
                    pool.request_finished(now_us, self.key, Reply::Success, 1.0);
                    self.sent_us.push(now_us);
                }
            }
        }
    }

    /// Largest number of requests in a window.
    fn most_in_window(&self) -> usize {
        let in_window = |(index, end_us): (usize, &u64)| {
            let first = self.sent_us.partition_point(|at| at + WINDOW_US <= *end_us);
            index + 1 - first
        };
        let counts = self.sent_us.iter().enumerate().map(in_window);
        counts.max().unwrap_or(0)
    }
}

/// Returns the number of requests in a window that operators allow under a limit.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * 4.0 * limit_per_s) as usize + 5
}

#[test]
fn nodes_together_stay_within_the_limit_of_a_replica() {
    for (nodes, limit_per_s) in [
        (1, 2.0),
        (14, 17.7),
        (14, 0.8),
        (100, 40.0),
        (100, 4.0),
        (300, 2.0),
    ] {
        let mut fleet = Fleet::new(nodes, limit_per_s);
        fleet.press(0, 60 * S);
        let most = fleet.most_in_window();
        assert!(
            most <= allowed(limit_per_s),
            "{nodes}, {limit_per_s}: {most}"
        );
        let used = fleet.sent_us.len() as f64 / (60.0 * limit_per_s);
        assert!(used >= 0.6, "{nodes}, {limit_per_s}: {used} of the limit");
    }
}

#[test]
fn shares_that_were_not_used_are_not_made_up_for_at_once() {
    for (nodes, limit_per_s) in [(14, 17.7), (100, 40.0), (100, 4.0), (300, 2.0)] {
        let mut fleet = Fleet::new(nodes, limit_per_s);
        fleet.press(60 * S, 70 * S);
        let most = fleet.most_in_window();
        assert!(
            most <= allowed(limit_per_s),
            "{nodes}, {limit_per_s}: {most}"
        );
    }
}

/// A node that sends nothing would not learn that the limit has ended.
#[test]
fn a_replica_with_a_limit_of_zero_is_asked_now_and_then() {
    let mut fleet = Fleet::new(14, 0.0);
    fleet.press(0, 300 * S);
    assert!(!fleet.sent_us.is_empty());
    assert!(fleet.most_in_window() <= allowed(0.0));
}

/// Nodes that send to a service only now and then must not avoid its replicas for minutes after these
/// have lifted their limits: within the limit all nodes can ask each replica once in 9 s.
#[test]
fn nodes_learn_soon_that_limits_have_ended() {
    const NODES: u64 = 14;
    const LIMIT_PER_S: f64 = 1.7;
    const LIMITED_REPLICAS: u16 = 6;
    const REQUEST_INTERVAL_US: u64 = 620 * MS;
    const LIFTED_US: u64 = 20 * S;
    let mut learned_us = Vec::new();
    for seed in 0..NODES {
        let mut pool = Pool::new("north".into(), seed);
        pool.set_nodes(NODES as usize);
        let service = pool.service_key(&Arc::from("a"));
        let spare = add(&mut pool, "a", 0);
        let limited: Vec<ReplicaKey> = (1..=LIMITED_REPLICAS)
            .map(|number| add(&mut pool, "a", number))
            .collect();
        for key in &limited {
            pool.apply_notice(0, 0, *key, limit(RateLimit::PerSecond(LIMIT_PER_S)));
        }
        for now_us in (0..80 * S).step_by(REQUEST_INTERVAL_US as usize) {
            let key = pool.choose(now_us, service, &[]).unwrap();
            pool.request_started(now_us, key);
            pool.request_finished(now_us, key, Reply::Success, 1.0);
            let still_limited = key != spare && now_us < LIFTED_US;
            let named = if still_limited {
                RateLimit::PerSecond(LIMIT_PER_S)
            } else {
                RateLimit::None
            };
            let before = pool.replica(key).unwrap().limit_per_s();
            pool.apply_notice(now_us, now_us, key, limit(named));
            if before.is_some() && !still_limited {
                learned_us.push(now_us - LIFTED_US);
            }
        }
    }
    learned_us.sort_unstable();
    assert_eq!(
        learned_us.len(),
        NODES as usize * usize::from(LIMITED_REPLICAS)
    );
    assert!(learned_us[learned_us.len() / 2] <= 9 * S, "{learned_us:?}");
    assert!(
        learned_us[learned_us.len() - 1] <= 2 * 9 * S,
        "{learned_us:?}"
    );
}

/// Responses may arrive out of order.
#[test]
fn a_limit_ends_with_a_response_to_a_later_request_that_does_not_name_it() {
    let mut pool = common::pool();
    let key = add(&mut pool, "a", 1);
    assert!(pool.apply_notice(2 * S, S, key, limit(RateLimit::PerSecond(3.0))));
    assert!(!pool.apply_notice(2 * S + MS, S, key, limit(RateLimit::None)));
    assert!(!pool.apply_notice(2 * S + MS, 3 * S, key, Notice::default()));
    assert_eq!(pool.replica(key).unwrap().limit_per_s(), Some(3.0));
    assert!(pool.apply_notice(4 * S, 3 * S, key, limit(RateLimit::None)));
    assert_eq!(pool.replica(key).unwrap().limit_per_s(), None);
}

/// Replicas name another limit in nearly every response; a log line for each would displace others.
#[test]
fn small_changes_of_a_limit_are_heeded_and_not_reported() {
    let mut pool = common::pool();
    let key = add(&mut pool, "a", 1);
    assert!(pool.apply_notice(S, 0, key, limit(RateLimit::PerSecond(20.0))));
    for per_s in [21.0, 18.0, 24.0, 16.0] {
        assert!(!pool.apply_notice(S, 0, key, limit(RateLimit::PerSecond(per_s))));
        assert_eq!(pool.replica(key).unwrap().limit_per_s(), Some(per_s));
    }
    assert!(pool.apply_notice(S, 0, key, limit(RateLimit::PerSecond(10.0))));
    assert!(pool.apply_notice(2 * S, S, key, limit(RateLimit::None)));
}

/// The registration lapses and is restored while the replica names a limit.
#[test]
fn a_limit_holds_for_the_lifetime_of_its_replica() {
    let mut pool = common::pool();
    let key = add(&mut pool, "a", 1);
    pool.apply_notice(0, 0, key, limit(RateLimit::PerSecond(3.0)));
    pool.unregister("a-1", S);
    pool.sweep(S);
    let restored = add(&mut pool, "a", 1);
    assert_eq!(pool.replica(restored).unwrap().limit_per_s(), Some(3.0));
    let mut restarted = registration("a", 1, "north");
    restarted.started_unix_ms += 1;
    let restarted = pool.register(2 * S, restarted).unwrap();
    assert_eq!(pool.replica(restarted).unwrap().limit_per_s(), None);
}

#[test]
fn a_sibling_gets_the_requests_beyond_the_limit() {
    let mut pool = common::pool();
    pool.set_nodes(1);
    let limited = add(&mut pool, "a", 1);
    let sibling = add(&mut pool, "a", 2);
    pool.apply_notice(0, 0, limited, limit(RateLimit::PerSecond(2.0)));
    let service = pool.service_key(&Arc::from("a"));
    let mut to_sibling = 0;
    for now_us in (0..10 * S).step_by(100_000) {
        let key = pool.choose(now_us, service, &[]).unwrap();
        pool.request_started(now_us, key);
        pool.request_finished(now_us, key, Reply::Success, 1.0);
        to_sibling += usize::from(key == sibling);
    }
    // Two a second in 10 s, and in the window of 2 s that has just begun.
    assert!(to_sibling >= 100 - 24, "{to_sibling}");
    while let Some(key) = pool.choose(10 * S, service, &[sibling]) {
        pool.request_started(10 * S, key);
    }
    assert_eq!(
        pool.availability(10 * S, limited),
        Some(Availability::Limited)
    );
}

fn node(number: u16, data_centre: &str) -> PeerNode {
    PeerNode {
        address: ([10, 0, 0, 1], number).into(),
        data_centre: data_centre.into(),
        name: format!("node-{number:02}").into(),
        processor_share: if number.is_multiple_of(5) { 1.0 } else { 0.08 },
    }
}

/// Of the nodes that divide a gather, one in each data centre sends nearly all requests of a leg;
/// with equal shares it would have one of a hundred.
#[test]
fn a_node_has_the_share_of_those_for_whose_callers_it_sends() {
    let centres = ["north", "south", "east"];
    let all: Vec<PeerNode> = (0..60)
        .map(|number| node(number, centres[usize::from(number) % 3]))
        .collect();
    let gather = GatherSize {
        legs: 90,
        single_slots: false,
        target_latency_ms: 120,
    };
    let mut largest = vec![0.0_f64; gather.legs];
    let mut sums = vec![0.0; gather.legs];
    for own in &all {
        let mut peers = Peers::new(own.clone());
        peers.replace(all.clone());
        for (leg, share) in peers.sender_shares(0, gather).into_iter().enumerate() {
            largest[leg] = largest[leg].max(share);
            sums[leg] += share;
        }
    }
    // 16 small nodes of 20 in each data centre divide their gathers. Those that hand a leg over keep
    // a share for legs that they take back.
    assert!(largest.iter().all(|share| *share >= 16.0 / 60.0));
    let most = 1.0 + 3.0 * 16.0 / 60.0;
    assert!(sums.iter().all(|sum| *sum <= most + 1e-9), "{sums:?}");
}
