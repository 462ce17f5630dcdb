//! Cold start of the stand-in target: the limits on its load after a start.

mod common;

use common::Fixture;
use common::LONG_TIMEOUT_US;
use common::read;
use common::wait_until;
use wigeonhall_standins::ColdSettings;
use wigeonhall_standins::ColdViolation;
use wigeonhall_standins::TargetSettings;
use wigeonhall_types::ColdBound;
use wigeonhall_types::TargetOutcome;

fn start(on_violation: ColdViolation) -> Fixture {
    Fixture::start(TargetSettings {
        cold: Some(ColdSettings {
            bound: ColdBound {
                requests_per_s: 1_000,
                slots: 1,
            },
            on_violation,
        }),
        connections: 5,
        slots: 4,
        ..TargetSettings::default()
    })
}

/// Guards against a stand-in that does not detect a cold-start violation. With such a stand-in,
/// tests could not prove that there are none.
#[test]
fn load_above_the_cold_bound_is_counted() {
    let fixture = start(ColdViolation::Count);
    fixture.target.set_hanging(true);
    let replies = [1, 2, 3].map(|it| fixture.send(&read(it, 0, 1), LONG_TIMEOUT_US));
    wait_until(|| fixture.target.counts().running == 3);
    assert_eq!(fixture.target.counts().cold_violations, 2);
    fixture.target.set_hanging(false);
    for reply in replies {
        reply.recv().unwrap();
    }
}

/// Guards against a stand-in that counts violations although the load stays within the limits. The
/// limit of concurrent requests doubles after each full round: 1, 2, 4.
#[test]
fn load_within_the_doubling_limits_is_no_violation() {
    let fixture = start(ColdViolation::Count);
    for (round, allowed) in [1, 2, 4].into_iter().enumerate() {
        let replies = (0..allowed)
            .map(|it| fixture.send(&read(round as u64 * 10 + it, 0, 1), LONG_TIMEOUT_US))
            .collect::<Vec<_>>();
        for reply in replies {
            reply.recv().unwrap();
        }
    }
    assert_eq!(fixture.target.counts().cold_violations, 0);
    assert!(!fixture.target.is_cold());
    fixture.target.restart();
    assert!(fixture.target.is_cold());
}

/// Guards against a stand-in that survives a violation which would crash a real target.
#[test]
fn target_restarts_on_a_cold_start_violation() {
    let fixture = start(ColdViolation::Restart);
    let instance = fixture.target.instance();
    fixture.target.set_hanging(true);
    let first = fixture.send(&read(1, 0, 1), LONG_TIMEOUT_US);
    wait_until(|| fixture.target.counts().running == 1);
    let second = fixture.send(&read(2, 0, 1), LONG_TIMEOUT_US);
    for reply in [first, second] {
        let outcome = reply.recv().unwrap().outcome;
        assert_eq!(outcome, TargetOutcome::ConnectionLost);
    }
    assert_ne!(fixture.target.instance(), instance);
    assert_eq!(fixture.target.counts().restarts, 1);
}
