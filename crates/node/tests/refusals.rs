//! Invalid and late requests get an answer with a reason and a correct verdict.

mod common;

use std::sync::Arc;

use common::Cluster;
use wigeonhall_node::CallerAnswer;
use wigeonhall_node::ReadRequest;
use wigeonhall_node::StatusName;
use wigeonhall_node::WriteRequest;
use wigeonhall_node::unix_ms;
use wigeonhall_types::KeyRange;
use wigeonhall_types::Verdict;

/// Guards against invalid requests that get no answer or no reason, or that reach a target
/// although their verdict is `NotRun`.
#[test]
fn invalid_requests_are_rejected_with_a_reason() {
    let cluster = Cluster::start(1);
    let address = cluster.address(0);
    let requests_before: u64 = cluster.targets.iter().map(|it| it.counts().requests).sum();
    let assert_invalid = |code: u16, path: &str, body: String, reason: &str| {
        let (status, answer) = common::post_text(address, path, body).unwrap();
        assert_eq!(status, code, "{answer:?}");
        assert_eq!(answer.status, StatusName::Invalid);
        assert_eq!(answer.verdict, Verdict::NotRun);
        let given = answer.reason.unwrap();
        assert!(given.contains(reason), "{given}");
    };
    let text = |value: &ReadRequest| serde_json::to_string(value).unwrap();
    let write_text = |value: &WriteRequest| serde_json::to_string(value).unwrap();
    let read = common::read_request();
    assert_invalid(400, "query", "{".into(), "malformed");
    assert_invalid(400, "query", "{}".into(), "missing field");
    let unknown_key = r#"{"service": "search", "colour": 1}"#;
    assert_invalid(400, "query", unknown_key.into(), "unknown field");
    assert_invalid(413, "query", " ".repeat(300_000), "larger");
    assert_invalid(404, "nowhere", String::new(), "no such path");
    let unknown_service = ReadRequest {
        service: Arc::from("absent"),
        ..read.clone()
    };
    assert_invalid(400, "query", text(&unknown_service), "no such service");
    let wrong_kind = ReadRequest {
        service: Arc::from("record"),
        ..read.clone()
    };
    assert_invalid(400, "query", text(&wrong_kind), "use POST /write");
    let empty_range = ReadRequest {
        range: Some(KeyRange { start: 9, end: 9 }),
        ..read.clone()
    };
    assert_invalid(400, "query", text(&empty_range), "range");
    let zero_deadline = ReadRequest {
        deadline_ms: Some(0),
        ..read
    };
    assert_invalid(400, "query", text(&zero_deadline), "deadline_ms");
    let write = common::write_request("a/b", 7);
    assert_invalid(400, "write", write_text(&write), "request_id");
    let write = common::write_request("ab", 1 << 40);
    assert_invalid(400, "write", write_text(&write), "key");
    let requests: u64 = cluster.targets.iter().map(|it| it.counts().requests).sum();
    assert_eq!(requests, requests_before);
}

/// Guards against a refusal without a retry delay, against a late request that a target runs
/// although its refusal has the verdict `NotRun`, and against this verdict for a repeated write
/// whose earlier attempt may have run.
#[test]
fn late_requests_are_refused_at_once() {
    let cluster = Cluster::start(1);
    let address = cluster.address(0);
    for target in &cluster.targets {
        target.set_slowdown(100.0);
    }
    for _ in 0..3 {
        let _ = common::read(address);
    }
    let before: u64 = cluster.targets.iter().map(|it| it.counts().requests).sum();
    let late = ReadRequest {
        deadline_ms: Some(1),
        ..common::read_request()
    };
    let (code, answer) =
        common::post_text(address, "query", serde_json::to_string(&late).unwrap()).unwrap();
    assert_eq!(code, 503, "{answer:?}");
    assert_eq!(answer.status, StatusName::Refused);
    assert!(answer.retry_after_ms.is_some_and(|it| it > 0));
    let after: u64 = cluster.targets.iter().map(|it| it.counts().requests).sum();
    if answer.verdict == Verdict::NotRun {
        assert_eq!(after, before);
    }
    // Issued 25 h ago. Claims, which let a request id run only once, may be deleted after 24 h, so
    // nothing shows whether an earlier attempt ran.
    let old = WriteRequest {
        first_attempt: false,
        issued_unix_ms: unix_ms() - 25 * 3_600_000,
        ..common::write_request("old-1", 7)
    };
    let answer: CallerAnswer = common::write(address, &old);
    assert_eq!(answer.status, StatusName::Refused);
    assert_eq!(answer.verdict, Verdict::MayHaveRun);
    assert_eq!(cluster.executions("old-1"), 0);
}
