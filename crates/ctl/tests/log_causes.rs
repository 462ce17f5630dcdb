//! Tests of `causes`: a cause must not be left out, split by its numbers or counted for another
//! route.

use wigeonhall_ctl::log_causes;

const LOGS: &str = r#"
 12.1 north-1 {"event":"request","route":"all","outcome":"Gather { missing: 2 }","missing":["s1: Open, asked [r-1]","s2: Dead(LastReply(NotRun(Busy))), asked [r-2 r-3]"]}
 12.2 north-1 {"event":"request","route":"all","outcome":"Gather { missing: 11 }","missing":["s1: Open, asked [r-1]","s3"]}
 12.3 north-2 {"event":"request","route":"all","outcome":"Refuse { reason: Overloaded { admitted_percent: 43 }, retry_after_ms: 300 }","missing":["s4: Dead(NoReplica), known [r-9 Suspended]"]}
 12.4 north-2 {"event":"request","route":"one","outcome":"Forward { attempt: 0 }"}
 12.5 north-2 {"event":"send","reply":"NotRun(Busy)","replica":"r-2"}
 12.6 north-2 {"event":"replicas","new":3}
not a line of the log
"#;

#[test]
fn causes_are_summed_by_route() {
    let report = log_causes(LOGS);
    assert_eq!(report.exit_code, 0);
    insta::assert_snapshot!(report.text);
}

#[test]
fn logs_without_a_request_are_reported() {
    let report = log_causes(r#"{"event":"start"}"#);
    assert_eq!(report.exit_code, 4);
}
