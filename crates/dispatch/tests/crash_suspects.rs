//! Guards against requests that crash one replica after the other, and against other requests that
//! are blocked because they ran beside such a one.

use wigeonhall_dispatch::CrashAdmission;
use wigeonhall_dispatch::CrashEvidence;
use wigeonhall_dispatch::CrashSuspects;
use wigeonhall_dispatch::RequestKey;
use wigeonhall_dispatch::Suspicion;
use wigeonhall_dispatch::SuspicionReport;

/// Trial of a request that was not answered before.
const TRIAL: CrashAdmission = CrashAdmission::Trial { replicas_min: 2 };

/// Trial of a request that was answered before; the only replica of its service may be risked.
const TRIAL_OF_ANSWERED: CrashAdmission = CrashAdmission::Trial { replicas_min: 1 };

const SECOND_US: u64 = 1_000_000;

fn key(path: &str) -> RequestKey {
    RequestKey::new("GET", "shop.example", path, b"")
}

/// Returns the report of a peer that suspects the request for `/a`.
fn report(suspicion: Suspicion, remaining_ms: u64) -> SuspicionReport {
    SuspicionReport {
        evidence: suspicion.into(),
        key: key("/a"),
        remaining_ms,
        suspicion,
    }
}

#[test]
fn request_is_blocked_after_a_second_crash_that_followed_the_first() {
    let mut suspects = CrashSuspects::default();
    assert_eq!(suspects.admit(0, key("/a")), CrashAdmission::Free);
    let first = suspects.record_crash(SECOND_US, key("/a"), 0);
    assert_eq!(first.unwrap().suspicion, Suspicion::Suspected);
    assert_eq!(suspects.admit(2 * SECOND_US, key("/a")), TRIAL);
    let second = suspects.record_crash(3 * SECOND_US, key("/a"), 2 * SECOND_US);
    assert_eq!(second.unwrap().suspicion, Suspicion::Blocked);
    let admission = suspects.admit(4 * SECOND_US, key("/a"));
    assert!(matches!(admission, CrashAdmission::Refused { .. }));
    assert_eq!(
        suspects.admit(4 * SECOND_US, key("/b")),
        CrashAdmission::Free
    );
}

/// The replicas of a service may end one after the other for another reason, and a popular request is
/// then tried on the one that ends next.
#[test]
fn a_request_that_was_answered_before_is_blocked_after_a_third_crash() {
    let mut suspects = CrashSuspects::default();
    suspects.record_answer(0, key("/a"));
    suspects.record_crash(SECOND_US, key("/a"), 0);
    for second in 2..4 {
        let sent_us = second * SECOND_US;
        assert_eq!(suspects.admit(sent_us, key("/a")), TRIAL_OF_ANSWERED);
        let report = suspects.record_crash(sent_us + 1, key("/a"), sent_us);
        suspects.end_trial(key("/a"), false);
        let blocked = report.unwrap().suspicion == Suspicion::Blocked;
        assert_eq!(blocked, second == 3);
    }
}

/// A service whose replicas end one after the other serves its popular requests soon after they are
/// back.
#[test]
fn the_first_block_of_a_request_that_was_answered_before_is_short() {
    let mut suspects = CrashSuspects::default();
    suspects.record_answer(0, key("/a"));
    let mut blocks_ms = Vec::new();
    let mut now_us = SECOND_US;
    for _ in 0..9 {
        let sent_us = now_us + 1;
        suspects.admit(sent_us, key("/a"));
        now_us += 2;
        let report = suspects.record_crash(now_us, key("/a"), sent_us).unwrap();
        if report.suspicion == Suspicion::Blocked {
            blocks_ms.push(report.remaining_ms);
            now_us += report.remaining_ms * 1_000;
        }
    }
    assert_eq!(
        blocks_ms,
        [2_000, 4_000, 8_000, 16_000, 32_000, 60_000, 60_000]
    );
}

/// A request may begin to crash replicas that answered it before.
#[test]
fn an_answer_counts_for_a_limited_time() {
    let mut suspects = CrashSuspects::default();
    suspects.record_answer(0, key("/a"));
    let crashed_us = 121 * SECOND_US;
    let first = suspects.record_crash(crashed_us, key("/a"), 0);
    assert!(!first.unwrap().evidence.answered);
    let second = suspects.record_crash(crashed_us + 2, key("/a"), crashed_us + 1);
    assert_eq!(second.unwrap().suspicion, Suspicion::Blocked);
}

/// The node that suspects a popular request may not have sent it before; others did.
#[test]
fn a_block_is_lifted_by_a_node_that_saw_the_request_answered() {
    let mut seen = CrashSuspects::default();
    seen.record_answer(0, key("/a"));
    let mut suspects = CrashSuspects::default();
    suspects.record_crash(SECOND_US, key("/a"), 0);
    let blocked = suspects.record_crash(3 * SECOND_US, key("/a"), 2 * SECOND_US);
    let blocked = blocked.unwrap();
    assert_eq!(blocked.suspicion, Suspicion::Blocked);
    assert!(seen.learn(3 * SECOND_US, blocked));
    let answered = seen.report(3 * SECOND_US, key("/a")).unwrap();
    assert!(suspects.learn(3 * SECOND_US, answered));
    for node in [&mut seen, &mut suspects] {
        assert_eq!(node.admit(4 * SECOND_US, key("/a")), TRIAL_OF_ANSWERED);
    }
}

/// An outage ends many replicas at once, under parts of gathers that were all sent before.
#[test]
fn crashes_of_one_event_do_not_block_the_requests_that_were_running() {
    let mut suspects = CrashSuspects::default();
    for replica in 0..20 {
        suspects.record_crash(SECOND_US + replica, key("/a"), replica);
    }
    assert_eq!(suspects.admit(2 * SECOND_US, key("/a")), TRIAL);
    suspects.end_trial(key("/a"), true);
    assert!(suspects.is_empty());
}

/// All but one replica would be risked if requests with the same key came at once.
#[test]
fn one_request_at_a_time_is_tried() {
    let mut suspects = CrashSuspects::default();
    suspects.record_crash(SECOND_US, key("/a"), 0);
    assert_eq!(suspects.admit(SECOND_US, key("/a")), TRIAL);
    let admission = suspects.admit(SECOND_US, key("/a"));
    assert!(matches!(admission, CrashAdmission::Refused { .. }));
    // A trial whose caller left has no result.
    assert_eq!(suspects.admit(10 * SECOND_US, key("/a")), TRIAL);
}

/// A replica may be mended; a request must not be refused for good.
#[test]
fn blocked_request_is_tried_again_after_a_time() {
    let mut suspects = CrashSuspects::default();
    assert!(suspects.learn(0, report(Suspicion::Blocked, 60_000)));
    let admission = suspects.admit(59 * SECOND_US, key("/a"));
    assert!(matches!(admission, CrashAdmission::Refused { .. }));
    assert_eq!(suspects.admit(61 * SECOND_US, key("/a")), TRIAL);
    suspects.end_trial(key("/a"), true);
    assert_eq!(
        suspects.admit(62 * SECOND_US, key("/a")),
        CrashAdmission::Free
    );
}

/// Nodes tell each other, and must not tell the same again.
#[test]
fn reports_of_peers_count_once_and_never_weaken_what_is_known() {
    let mut suspects = CrashSuspects::default();
    assert!(suspects.learn(0, report(Suspicion::Suspected, 60_000)));
    assert!(!suspects.learn(0, report(Suspicion::Suspected, 60_000)));
    assert!(suspects.learn(0, report(Suspicion::Blocked, 60_000)));
    assert!(!suspects.learn(0, report(Suspicion::Suspected, 60_000)));
    let admission = suspects.admit(SECOND_US, key("/a"));
    assert!(matches!(admission, CrashAdmission::Refused { .. }));
}

/// Nodes that start ask others; passed on with its full time again and again, a block would never
/// end while nodes restart.
#[test]
fn block_that_is_passed_on_ends_with_the_first_one() {
    let mut first = CrashSuspects::default();
    first.learn(0, report(Suspicion::Blocked, 60_000));
    let mut second = CrashSuspects::default();
    for passed_on in first.reports(50 * SECOND_US) {
        assert!(second.learn(50 * SECOND_US, passed_on));
    }
    let admission = second.admit(59 * SECOND_US, key("/a"));
    assert!(matches!(admission, CrashAdmission::Refused { .. }));
    assert_eq!(second.admit(61 * SECOND_US, key("/a")), TRIAL);
    assert!(first.reports(61 * SECOND_US).is_empty());
}

/// A request that was answered before is blocked for a short time; nodes that learn of the block at its
/// end must not begin it anew.
#[test]
fn block_of_an_answered_request_that_is_passed_on_ends_with_the_first_one() {
    let mut second = CrashSuspects::default();
    let passed_on = SuspicionReport {
        evidence: CrashEvidence {
            answered: true,
            crashes: 3,
        },
        key: key("/a"),
        remaining_ms: 500,
        suspicion: Suspicion::Blocked,
    };
    assert!(second.learn(0, passed_on));
    let admission = second.admit(400_000, key("/a"));
    assert!(matches!(admission, CrashAdmission::Refused { .. }));
    assert_eq!(second.admit(600_000, key("/a")), TRIAL_OF_ANSWERED);
}

/// A replica may answer a request that was sent to it before another one crashed under its key.
#[test]
fn an_answer_that_arrives_after_a_crash_counts() {
    let mut suspects = CrashSuspects::default();
    suspects.record_crash(SECOND_US, key("/a"), 0);
    suspects.record_answer(SECOND_US + 1, key("/a"));
    let second = suspects.record_crash(3 * SECOND_US, key("/a"), 2 * SECOND_US);
    assert_eq!(second.unwrap().suspicion, Suspicion::Suspected);
}

/// A caller that varies its requests must not fill the memory of the nodes.
#[test]
fn number_of_suspects_is_limited_and_old_ones_make_room() {
    let mut suspects = CrashSuspects::default();
    let record = |suspects: &mut CrashSuspects, second: u64| {
        let keys = (0..3_000).map(|number| key(&format!("/{second}/{number}")));
        keys.filter(|key| suspects.record_crash(second * SECOND_US, *key, 0).is_some())
            .count()
    };
    let first = record(&mut suspects, 1);
    assert!(first < 3_000);
    assert_eq!(record(&mut suspects, 100), first);
}

/// Nodes of two releases must agree on the key, and no caller may choose one of another request.
#[test]
fn request_key_does_not_depend_on_the_build_and_separates_its_parts() {
    insta::assert_snapshot!(key("/a?b=1"), @"06b6ff300c6abd0cbeb3f8ccc6487f6c");
    assert_eq!(key("/a").to_string().parse(), Ok(key("/a")));
    let other = RequestKey::new("GET", "shop.example/", "a", b"");
    assert_ne!(key("/a"), other);
    assert_ne!(key("/a"), RequestKey::new("GET", "shop.example", "/", b"a"));
}
