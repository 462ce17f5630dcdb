//! Findings about invalid deployment texts and node settings.

use std::fmt::Write;

use wigeonhall_settings::Finding;
use wigeonhall_settings::LogLevel;
use wigeonhall_settings::MAX_TEXT_BYTES;
use wigeonhall_settings::SettingsError;
use wigeonhall_settings::check;
use wigeonhall_settings::check_node;
use wigeonhall_settings::parse;
use wigeonhall_settings::parse_node;

fn listed(findings: &[Finding]) -> String {
    let mut list = String::new();
    for finding in findings {
        writeln!(list, "{finding}").unwrap();
    }
    list
}

const BROKEN: &str = "\
region: demo
defalts: { slots: 2 }
defaults:
  slots: 2
  connections: 2
  cold: { slots: 3, request_per_s: 20 }
data_centres:
  north:
  south: { oot: true }
  east: yes please out
  north: { out: yes }
services:
  search:
    kind: reads
    depends_on: [shard-01..03, shard-02, report, 5..1]
    deadline_ms: 0
    level: { latency_ms: 200, objective: 99.9 }
  report:
    kind: read
    depends_on: [report, serch]
    deadline_ms: 100
    level: { latency_ms: 200, objective: 0.9 }
    weigth: 3
  idle: { kind: write, depends_on: [] }
  shard-01:
    connect_us: 100
    replicas:
      shard-01-a: north 127.0.0.1:9100
      shard-01-b: { data_centre: north, address: 127.0.0.1:9100 }
  shard-02:
    slots: 0
    replicas:
      shard-01-a: nroth 127.0.0.1:9101
      shard-02-b: south 127.0.0.1
      shard 2c: south 127.0.0.1:9102 out of order
  unused:
    depends-on: [shard-01]
  empty:
    replicas: {}
vms:
  north-1: north 127.0.0.1:4101 127.0.0.1:9100
  south-1: { data_centre: south, node_address: 127.0.0.1:0 }
";

/// Guards against a check that stops at the first error or reports it without its line.
#[test]
fn all_findings_are_listed_with_their_lines() {
    insta::assert_snapshot!(listed(&check(BROKEN)));
    assert!(matches!(parse(BROKEN), Err(SettingsError::Rejected(_))));
}

const WARNED: &str = "\
region: demo
defaults: { slots: 2, connections: 2, connect_us: 0, cold: { slots: 1, requests_per_s: 1 } }
data_centres: { north: , south: demo out, east: }
services:
  search:
    kind: read
    depends_on: shard
    deadline_ms: 100
    level: { latency_ms: 200, objective: 0.9 }
  shard: { replicas: { a: 'south 127.0.0.1:1', b: 'south 127.0.0.1:2' } }
  spare: { replicas: { c: 'east 127.0.0.1:3' } }
vms: { v: 'north 127.0.0.1:4 127.0.0.1:5' }
";

/// Guards against a text that is rejected for warnings alone.
#[test]
fn warnings_do_not_reject_the_text() {
    insta::assert_snapshot!(listed(&check(WARNED)));
    assert!(parse(WARNED).is_ok());
}

/// Guards against accepting a text that leaves nothing in service.
#[test]
fn text_with_everything_out_is_rejected() {
    let text = WARNED
        .replace("north:", "north: demo out")
        .replace("east:", "east: demo out");
    insta::assert_snapshot!(listed(&check(&text)));
}

/// Guards against accepting a text that is too large for the object API, and against a
/// panic on a text that is not YAML or has another structure.
#[test]
fn malformed_texts_are_rejected() {
    let texts = [
        "a".repeat(MAX_TEXT_BYTES + 1),
        String::new(),
        "- a\n- b".into(),
        "data_centres: [a\nvms: }".into(),
        "region: a\n---\nregion: b".into(),
        "data_centres: 5\nservices: x\nvms: [1]\n".into(),
        "a: &a [*a]".into(),
    ];
    let findings = texts
        .iter()
        .map(|text| listed(&check(text)))
        .collect::<Vec<_>>();
    insta::assert_snapshot!(findings.join("--\n"));
}

const BROKEN_NODE: &str = "\
name: north 1
regoin: demo
data_centre: 7
node_address: localhost:4100
caller_address: 127.0.0.1:8080
object_api_address: 0.0.0.0:1
log_level: inof
seeds: { south-1: 127.0.0.1 }
timeouts: { node_call_s: 1, vm_list_ms: 0, shutdown_ms: soon }
";

/// Guards against a check of node settings that stops at the first error.
#[test]
fn all_findings_of_node_settings_are_listed() {
    insta::assert_snapshot!(listed(&check_node(BROKEN_NODE)));
}

/// Guards against accepting node settings in which two addresses are equal, or a seed node
/// has only the name or only the address of the node itself.
#[test]
fn conflicting_node_addresses_are_listed() {
    let text = "\
name: a
region: r
data_centre: d
node_address: 127.0.0.1:1
caller_address: 127.0.0.1:1
object_api_address: 127.0.0.1:3
vm_list_address: 127.0.0.1:4
seeds: { a: 127.0.0.1:5, b: 127.0.0.1:1, c: 127.0.0.1:6 }
";
    insta::assert_snapshot!(listed(&check_node(text)));
}

/// Guards against parsing unquoted `off`, `no` and `on` as booleans, as YAML 1.1 does.
#[test]
fn yaml_1_1_booleans_are_text() {
    let text = "\
name: no
region: on
data_centre: y
node_address: 127.0.0.1:1
caller_address: 127.0.0.1:2
object_api_address: 127.0.0.1:3
vm_list_address: 127.0.0.1:4
log_level: off
seeds: { yes: 127.0.0.1:5 }
";
    let settings = parse_node(text).unwrap();
    assert_eq!(&*settings.name, "no");
    assert_eq!(settings.log_level, LogLevel::Off);
    assert_eq!(&*settings.seeds[0].name, "yes");
}

/// Guards against an error that is found only in texts with other errors. The lines of
/// replicas and VMs are recorded only in a second pass, after the first one found a problem.
#[test]
fn single_error_in_a_valid_text_is_found() {
    let demo = include_str!("../../../examples/demo.yaml");
    let mistakes = [
        (
            "127.0.0.1:9103",
            "127.0.0.1:9102",
            "address of another replica",
        ),
        ("127.0.0.1:8083", "127.0.0.1:9102", "address of a replica"),
        ("shard-06-a", "shard-01-a", "name of another replica"),
        ("shard-06-a: east", "shard-06-a: west", "data centre"),
        ("east-1: east", "east-1: west", "data centre of a VM"),
    ];
    for host in ["127.0.0.1", "[::1]"] {
        for (old, new, what) in mistakes {
            let text = demo.replace(old, new).replace("127.0.0.1", host);
            let findings = check(&text);
            let errors = findings.iter().filter(|it| it.is_error());
            assert_eq!(errors.count(), 1, "{what}, {host}");
        }
    }
}
