//! Guards against requests to versions that no rollout allows, and against limits that do not hold
//! while a node is cut off.

mod common;

use std::sync::Arc;

use common::MS;
use common::S;
use common::pool;
use common::registration;
use wigeonhall_dispatch::Pool;
use wigeonhall_dispatch::ReplicaKey;
use wigeonhall_dispatch::Rollout;
use wigeonhall_dispatch::RolloutAnswer;
use wigeonhall_dispatch::RolloutBounds;
use wigeonhall_dispatch::RolloutNews;
use wigeonhall_dispatch::RolloutOrder;
use wigeonhall_dispatch::RolloutPhase;
use wigeonhall_dispatch::RolloutState;
use wigeonhall_dispatch::RolloutStatus;
use wigeonhall_dispatch::ServiceKey;

const REQUESTS: usize = 200;

/// Requests of [`REQUESTS`] that the target version may get by the node's own share and the
/// fraction at its start.
const OWN_SHARE_MAX: usize = REQUESTS / 10;

fn pool_with_bounds() -> Pool {
    let mut pool = pool();
    pool.set_rollout_bounds(Some(RolloutBounds {
        exposure_share: 0.1,
        exposure_slack: 50.0,
        rollback_ms: 5_000,
    }));
    pool
}

fn add(pool: &mut Pool, number: u16, version: &str) -> ReplicaKey {
    let mut registration = registration("a", number, "north");
    registration.started_unix_ms = number.into();
    registration.version = version.into();
    pool.register(0, registration).unwrap()
}

fn service(pool: &mut Pool) -> ServiceKey {
    pool.service_key(&Arc::from("a"))
}

fn rollout(target_version: &str, status: Option<(RolloutState, &str)>) -> Rollout {
    Rollout {
        duration_ms: 12_000,
        service: "a".into(),
        status: status.map(|(state, version)| RolloutStatus {
            state,
            target_version: version.into(),
        }),
        target_version: target_version.into(),
    }
}

fn apply(pool: &mut Pool, revision: u64, rollout: Rollout) {
    pool.apply_rollout(0, rollout, revision, RolloutNews::Current);
}

/// Sends first requests and returns the number that each version got.
fn sent(pool: &mut Pool, now_us: u64, versions: &[&str]) -> Vec<usize> {
    let service = service(pool);
    let mut counts = vec![0; versions.len()];
    for _ in 0..REQUESTS {
        let Some(key) = pool.choose(now_us, service, &[]) else {
            continue;
        };
        pool.request_started(now_us, key);
        pool.request_dropped(key);
        let version = pool.replica(key).unwrap().registration.version.clone();
        let index = versions.iter().position(|it| **it == *version).unwrap();
        counts[index] += 1;
    }
    counts
}

/// The replicas of another version may be registered before their rollout is requested.
#[test]
fn only_the_version_that_was_there_first_gets_requests_without_a_rollout() {
    let mut pool = pool_with_bounds();
    add(&mut pool, 2, "v1");
    add(&mut pool, 9, "v2");
    assert_eq!(sent(&mut pool, 0, &["v1", "v2"]), [REQUESTS, 0]);
    let mut pool = pool_with_bounds();
    let listed = [(9, "v2"), (2, "v1")].map(|(number, version)| {
        let mut registration = registration("a", number, "north");
        registration.started_unix_ms = number.into();
        registration.version = version.into();
        registration
    });
    pool.register_all(0, listed.into(), 0);
    assert_eq!(sent(&mut pool, 0, &["v1", "v2"]), [REQUESTS, 0]);
}

/// Deployments without bounds have no rollouts.
#[test]
fn all_versions_get_requests_without_bounds() {
    let mut pool = pool();
    add(&mut pool, 2, "v1");
    add(&mut pool, 9, "v2");
    let counts = sent(&mut pool, 0, &["v1", "v2"]);
    assert!(counts.iter().all(|count| *count > REQUESTS / 4));
}

#[test]
fn a_third_version_gets_no_request_during_a_rollout() {
    let mut pool = pool_with_bounds();
    for (number, version) in [(1, "v1"), (2, "v2"), (3, "v3")] {
        add(&mut pool, number, version);
    }
    apply(&mut pool, 1, rollout("v2", None));
    let counts = sent(&mut pool, S, &["v1", "v2", "v3"]);
    assert!((1..=OWN_SHARE_MAX).contains(&counts[1]), "{counts:?}");
    assert_eq!(counts[2], 0);
}

/// The rollout that replaces a succeeded one begins from its version.
#[test]
fn the_version_of_a_succeeded_rollout_is_the_earlier_one_of_the_next() {
    let mut pool = pool_with_bounds();
    for (number, version) in [(1, "v1"), (2, "v2"), (3, "v3")] {
        add(&mut pool, number, version);
    }
    let status = Some((RolloutState::Succeeded, "v2"));
    apply(&mut pool, 4, rollout("v3", status));
    let counts = sent(&mut pool, S, &["v1", "v2", "v3"]);
    assert_eq!(counts[0], 0);
    assert!((1..=OWN_SHARE_MAX).contains(&counts[2]), "{counts:?}");
}

/// The node would not learn that the version is bad, or that it was rolled back.
#[test]
fn the_target_version_gets_no_request_without_contact_or_after_the_deadline() {
    let mut pool = pool_with_bounds();
    add(&mut pool, 1, "v1");
    add(&mut pool, 2, "v2");
    apply(&mut pool, 1, rollout("v2", None));
    assert!(sent(&mut pool, 2_400 * MS, &["v1", "v2"])[1] > 0);
    assert_eq!(sent(&mut pool, 2_600 * MS, &["v1", "v2"])[1], 0);
    let answer = RolloutAnswer {
        elapsed_ms: 12_100,
        coordinator_share: 0.5,
        order: RolloutOrder::Try,
    };
    let service = service(&mut pool);
    pool.apply_rollout_answer(12 * S, service, "v2", answer);
    assert_eq!(sent(&mut pool, 12 * S, &["v1", "v2"])[1], 0);
}

/// The coordinator's share is for nodes that it hears of.
#[test]
fn the_coordinators_share_ends_soon_after_its_last_answer() {
    let mut pool = pool_with_bounds();
    add(&mut pool, 1, "v1");
    add(&mut pool, 2, "v2");
    apply(&mut pool, 1, rollout("v2", None));
    let answer = RolloutAnswer {
        elapsed_ms: 500,
        coordinator_share: 0.5,
        order: RolloutOrder::Try,
    };
    let service = service(&mut pool);
    pool.apply_rollout_answer(500 * MS, service, "v2", answer);
    assert!(sent(&mut pool, S, &["v1", "v2"])[1] > REQUESTS / 3);
    assert!(sent(&mut pool, 2_100 * MS, &["v1", "v2"])[1] <= OWN_SHARE_MAX);
}

/// A failed request must not fail again at the version that failed it.
#[test]
fn retries_and_fallbacks_go_to_the_earlier_version() {
    let mut pool = pool_with_bounds();
    add(&mut pool, 1, "v1");
    let tried = [add(&mut pool, 2, "v2"), add(&mut pool, 3, "v2")];
    apply(&mut pool, 1, rollout("v2", None));
    let service = service(&mut pool);
    for _ in 0..REQUESTS {
        for key in [
            pool.choose(S, service, &tried[..1]),
            pool.choose_fallback(S, service),
        ] {
            let replica = pool.replica(key.unwrap()).unwrap();
            assert_eq!(&*replica.registration.version, "v1");
            pool.request_started(S, key.unwrap());
        }
    }
}

/// The replicas of the earlier version have stopped already.
#[test]
fn a_final_state_holds_after_the_store_was_restored_without_it() {
    let mut pool = pool_with_bounds();
    add(&mut pool, 1, "v1");
    add(&mut pool, 2, "v2");
    apply(
        &mut pool,
        7,
        rollout("v2", Some((RolloutState::Succeeded, "v2"))),
    );
    let older = rollout("v2", Some((RolloutState::Running, "v2")));
    pool.apply_rollout(S, older, 5, RolloutNews::Restored);
    let service = service(&mut pool);
    let state = pool.rollout(service).unwrap();
    assert_eq!(state.phase, RolloutPhase::Succeeded);
    assert!(state.is_open());
    assert_eq!(sent(&mut pool, S, &["v1", "v2"]), [0, REQUESTS]);
}

/// An object that was read before a write may arrive after the response to the write.
#[test]
fn an_older_object_does_not_replace_a_final_state() {
    let mut pool = pool_with_bounds();
    add(&mut pool, 1, "v1");
    add(&mut pool, 2, "v2");
    apply(
        &mut pool,
        7,
        rollout("v2", Some((RolloutState::RolledBack, "v2"))),
    );
    apply(
        &mut pool,
        6,
        rollout("v2", Some((RolloutState::Running, "v2"))),
    );
    assert_eq!(sent(&mut pool, S, &["v1", "v2"]), [REQUESTS, 0]);
}
