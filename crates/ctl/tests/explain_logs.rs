//! Tests of `explain` on log files: it must not leave out a node, a line or the state
//! changes of the nodes.

use wigeonhall_ctl::explain_logs;
use wigeonhall_protocol::Subject;

const LOGS: &str = r#"
 -1.5 north-1 {"at_ms":1,"event":"start","node":"north-1","unix_ms":1000}
north-1 {"at_ms":20,"event":"configuration","outcome":"in_force","version":4,"node":"north-1","unix_ms":1020}
south-1 {"at_ms":20,"event":"configuration","outcome":"in_force","version":4,"node":"south-1","unix_ms":1021}
north-1 {"at_ms":300,"event":"request","request_id":"q1","outcome":"Gather { missing: 1 }","node":"north-1","unix_ms":1300}
north-2 {"at_ms":250,"event":"send","request_id":"q1","reply":"Unknown(Reset)","replica":"r-7","node":"north-2","unix_ms":1250}
north-1 {"at_ms":310,"event":"request","request_id":"q2","outcome":"Forward","node":"north-1","unix_ms":1310}
not a line of the log
"#;

/// Guards against lines of several nodes that are listed out of order or without the state changes
/// of their nodes, and against lines that are dropped silently.
#[test]
fn request_lines_are_sorted_by_time_across_nodes() {
    let report = explain_logs(LOGS, &Subject::Request("q1".into()));
    assert_eq!(report.exit_code, 0);
    insta::assert_snapshot!(report.text, @r#"
    state changes on the nodes:
      1000 north-1 start:
      1020 north-1 configuration: outcome="in_force" version=4
    log lines:
      1250 north-2 send: replica="r-7" reply="Unknown(Reset)"
      1300 north-1 request: outcome="Gather { missing: 1 }"
    1 lines are not structured log lines
    "#);
}

/// Guards against a replica whose lines are not found, and against success for an unknown id.
#[test]
fn replica_lines_are_listed_and_an_unknown_id_is_reported() {
    let report = explain_logs(LOGS, &Subject::Replica("r-7".into()));
    assert!(report.text.contains("1250 north-2 send"));
    let report = explain_logs(LOGS, &Subject::Request("q9".into()));
    assert_eq!(report.exit_code, 4);
}
