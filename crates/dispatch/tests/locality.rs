//! Guards against legs that leave the data centre without need, that stay at replicas that have
//! become slow or silent, and that fill the replicas of another data centre.

mod common;

use std::sync::Arc;

use wigeonhall_dispatch::ChoiceContext;
use wigeonhall_dispatch::NotRunCause;
use wigeonhall_dispatch::Policy;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Reply;
use wigeonhall_dispatch::RouteProfile;

use common::MS;
use common::S;
use common::registration;

const CHOICES: u32 = 400;

/// Time of the choices, after the pools have seen the responses.
const NOW_US: u64 = S;

/// A service with one replica in the own data centre and one in another, 8 ms away and back.
struct Case {
    far: ReplicaKey,
    near: ReplicaKey,
    pool: Pool,
}

/// Latencies of 15 ms, with this time left.
fn context(left_ms: u64) -> ChoiceContext {
    ChoiceContext {
        left_us: Some(left_ms * MS),
        profile: RouteProfile {
            latency_us: Some(15_000.0),
            response_bytes: Some(1_000.0),
        },
    }
}

impl Case {
    fn new(policy: Policy) -> Self {
        let mut pool = Pool::new("north".into(), 7);
        pool.set_policy(policy);
        let near = pool.register(0, registration("a", 1, "north")).unwrap();
        let far = pool.register(0, registration("a", 2, "south")).unwrap();
        pool.observe_connect(near, 400);
        pool.observe_connect(far, 8_400);
        Self { far, near, pool }
    }

    fn respond(&mut self, key: ReplicaKey, reply: Reply, ratio: f64, count: u32) {
        for _ in 0..count {
            self.pool.request_started(NOW_US, key);
            self.pool.request_finished(NOW_US, key, reply, ratio);
        }
    }

    /// Returns the share of the choices that leave the data centre.
    fn leaving(&mut self, now_us: u64, context: ChoiceContext) -> f64 {
        let service = self.pool.service_key(&Arc::from("a"));
        let far = self.far;
        let choose = |_: &u32| {
            let choice = self.pool.choose_in_context(now_us, service, &[], context);
            choice == Some(far)
        };
        f64::from((0..CHOICES).filter(choose).count() as u32) / f64::from(CHOICES)
    }
}

/// Returns the share that leaves while the own replica is slower than the median by this factor.
fn leaving_at(policy: Policy, slowness: f64) -> f64 {
    let mut case = Case::new(policy);
    case.respond(case.near, Reply::Success, slowness, 20);
    case.leaving(NOW_US, context(150))
}

#[test]
fn a_replica_that_is_somewhat_slower_keeps_its_legs() {
    for slowness in [1.0, 1.2, 1.35] {
        let (old, new) = (
            leaving_at(Policy::constant_distance(), slowness),
            leaving_at(Policy::default(), slowness),
        );
        println!("slower by {slowness}: {old} left, now {new}");
        assert!(new <= 0.0, "{slowness}: {new}");
    }
}

/// Nodes that see the same replicas must not leave all at once.
#[test]
fn the_share_that_leaves_grows_smoothly_with_the_slowness() {
    let shares: Vec<f64> = (10..=40)
        .map(|tenths| leaving_at(Policy::default(), f64::from(tenths) / 10.0))
        .collect();
    println!("{shares:?}");
    let between = shares.iter().filter(|share| (0.1..=0.9).contains(*share));
    assert!(between.count() >= 3, "{shares:?}");
    assert!(shares.is_sorted_by(|a, b| *a <= *b + 0.1), "{shares:?}");
    assert!(shares.last() >= Some(&1.0), "{shares:?}");
}

/// A caller with little time left cannot wait for a slow replica.
#[test]
fn more_legs_leave_the_less_time_is_left() {
    let shares = [400, 100, 60, 40].map(|left_ms| {
        let mut case = Case::new(Policy::default());
        case.respond(case.near, Reply::Success, 1.75, 20);
        case.leaving(NOW_US, context(left_ms))
    });
    assert!(shares.is_sorted(), "{shares:?}");
    assert!(shares[0] < 0.5 && shares[3] > 0.9, "{shares:?}");
}

/// A paused replica shows first by what is in flight.
#[test]
fn legs_leave_a_replica_that_returns_nothing() {
    let mut case = Case::new(Policy::default());
    case.pool.request_started(NOW_US, case.near);
    let at_once = case.leaving(NOW_US, context(150));
    let later = case.leaving(NOW_US + 40 * MS, context(150));
    assert!(later >= 1.0, "{at_once}, {later}");
}

/// Callers of the other data centre have filled its replicas, though not all of them have refused a
/// request of this node.
#[test]
fn legs_stay_while_the_other_data_centre_is_full() {
    for (reply, ratio) in [
        (Reply::Success, 4.0),
        (Reply::NotRun(NotRunCause::Busy), 1.0),
    ] {
        let mut case = Case::new(Policy::default());
        let other = case.pool.register(0, registration("b", 3, "south"));
        case.respond(other.unwrap(), reply, ratio, 100);
        case.respond(case.near, Reply::Success, 2.5, 20);
        let share = case.leaving(NOW_US, context(150));
        assert!(share <= 0.0, "{reply:?}: {share}");
    }
}

#[test]
fn legs_return_after_the_own_replica_was_slow() {
    let mut case = Case::new(Policy::default());
    case.respond(case.near, Reply::Success, 4.0, 20);
    let shares: Vec<f64> = (0..8)
        .map(|seconds| case.leaving(NOW_US + seconds * S, context(150)))
        .collect();
    assert!(shares.is_sorted_by(|a, b| a >= b), "{shares:?}");
    assert!(shares[0] >= 1.0 && shares[7] <= 0.0, "{shares:?}");
}

/// Small responses cost little, and leave earlier than large ones.
#[test]
fn small_responses_leave_for_a_smaller_gain() {
    let leaving = |bytes| {
        let mut case = Case::new(Policy::default());
        case.respond(case.near, Reply::Success, 1.8, 20);
        let mut context = context(150);
        context.profile.response_bytes = Some(bytes);
        case.leaving(NOW_US, context)
    };
    let (small, large) = (leaving(100.0), leaving(1_000.0));
    assert!(small > large, "{small}, {large}");
}

/// A refused leg needs a retry, of which the budget of the service has few.
#[test]
fn legs_leave_a_replica_that_refuses() {
    let mut case = Case::new(Policy::default());
    case.respond(case.near, Reply::Success, 1.0, 20);
    let refused = Reply::NotRun(NotRunCause::Busy);
    case.respond(case.near, refused, 1.0, 2);
    // The suspension after a refusal has ended.
    let share = case.leaving(NOW_US + 50 * MS, context(150));
    assert!(share >= 0.9, "{share}");
}
