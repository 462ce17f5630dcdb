//! Tests the bounded trace of a node's decisions.

use std::sync::Arc;

use wigeonhall_protocol::DecisionTrace;
use wigeonhall_protocol::Subject;

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

fn lines(trace: &DecisionTrace, subject: &Subject) -> Vec<String> {
    let explanation = trace.explain(100, &name("node"), subject);
    let decisions = explanation.decisions.iter();
    decisions
        .map(|it| format!("{} {} {}", it.age_us, it.what, it.reason))
        .collect()
}

/// Guards against requests that evict the decisions on replicas, and against memory that grows
/// with the number of requests.
#[test]
fn requests_and_replicas_have_separate_bounded_buffers() {
    let mut trace = DecisionTrace::new(3, 2);
    let replica = name("a");
    trace.record_replica(1, &replica, "cold", "new instance");
    for index in 0..10 {
        let id = name(&format!("r{index}"));
        trace.record_request(10 + index, &id, Some(&replica), "sent", "least wait");
    }
    let on_replica = Subject::Replica(replica);
    assert_eq!(
        lines(&trace, &on_replica),
        [
            "99 cold new instance",
            "83 sent least wait",
            "82 sent least wait",
            "81 sent least wait"
        ]
    );
    let evicted = trace.explain(100, &name("node"), &Subject::Request(name("r0")));
    assert!(evicted.decisions.is_empty());
    assert_eq!(evicted.forgotten, 7);
    assert_eq!(trace.explain(100, &name("node"), &on_replica).forgotten, 0);
}

/// Guards against a long request id that takes too much memory or is not found again after
/// truncation.
#[test]
fn long_texts_are_truncated_and_still_found() {
    let mut trace = DecisionTrace::new(3, 2);
    let id = name(&"é".repeat(1_000));
    trace.record_request(1, &id, None, &"w".repeat(1_000), "r");
    let explanation = trace.explain(2, &name("node"), &Subject::Request(id));
    assert_eq!(explanation.decisions[0].what.len(), 200);
    assert_eq!(
        explanation.decisions[0].request.as_ref().unwrap().len(),
        200
    );
}
