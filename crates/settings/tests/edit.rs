//! Edits of the `out` flag in the deployment text.

use std::fmt::Write;

use wigeonhall_settings::Place;
use wigeonhall_settings::SettingsError;
use wigeonhall_settings::parse;
use wigeonhall_settings::set_out;

const TEXT: &str = "\
# Kept.
region: demo   # also kept
defaults: { slots: 2, connections: 3, connect_us: 0, cold: { slots: 1, requests_per_s: 1 } }

data_centres:
  plain:             # no entry yet
  short: demo        # short form
  flow: {region: demo}
  spaced: { out: false, region: demo } # has the flag
  empty: {}
  block:
    # a comment inside
    region: demo
  \"quoted\": \"demo\"
  shared: &shared { region: demo }
  alias: *shared

services:
  search:
    kind: read
    depends_on: [shard]
    deadline_ms: 100
    level: { latency_ms: 50, objective: 0.9 }
  shard:
    replicas:
      a: plain 127.0.0.1:1
      b: short 127.0.0.1:2

vms:
  v-1: plain 127.0.0.1:3 127.0.0.1:4 # first
  v-2:
    data_centre: short
    node_address: 127.0.0.1:5
    caller_address: 127.0.0.1:6
    out: false  # for now
  v-3: { data_centre: plain, node_address: '127.0.0.1:7', caller_address: '127.0.0.1:8' }
";

/// Returns the lines that differ, before and after.
fn changed(before: &str, after: &str) -> String {
    let mut changes = String::new();
    for line in before
        .lines()
        .filter(|it| !after.lines().any(|new| new == *it))
    {
        writeln!(changes, "- {line}").unwrap();
    }
    for line in after
        .lines()
        .filter(|it| !before.lines().any(|old| old == *it))
    {
        writeln!(changes, "+ {line}").unwrap();
    }
    changes
}

/// Guards against an edit that changes comments, layout or another entry, in every
/// supported layout of an entry.
#[test]
fn edit_changes_only_the_out_flag() {
    let data_centres = [
        "plain", "short", "flow", "spaced", "empty", "block", "quoted",
    ];
    let places = data_centres.map(Place::DataCentre).into_iter();
    let places = places.chain(["v-1", "v-2", "v-3"].map(Place::Vm));
    let mut changes = String::new();
    for place in places {
        let edited = set_out(TEXT, place, true).unwrap();
        assert_eq!(set_out(&edited, place, true).unwrap(), edited);
        let reverted = set_out(&edited, place, false).unwrap();
        assert_eq!(parse(&reverted).unwrap(), parse(TEXT).unwrap());
        writeln!(changes, "{place:?} out:\n{}", changed(TEXT, &edited)).unwrap();
        writeln!(changes, "and in again:\n{}", changed(&edited, &reverted)).unwrap();
    }
    insta::assert_snapshot!(changes);
}

/// Guards against an edit that adds a line feed to a text with CRLF line endings.
#[test]
fn edit_preserves_line_endings() {
    let text = TEXT.replace('\n', "\r\n");
    let edited = set_out(&text, Place::DataCentre("block"), true).unwrap();
    assert_eq!(edited.matches('\n').count(), edited.matches("\r\n").count());
    assert!(parse(&edited).unwrap().data_centres["block"].out);
}

/// Guards against an edit of an entry that changes another one through a YAML alias, and
/// against an edit of an unknown name that reports no error.
#[test]
fn unsupported_edits_are_rejected() {
    let refused = |place| set_out(TEXT, place, true).unwrap_err().to_string();
    let list = [
        refused(Place::DataCentre("shared")),
        refused(Place::DataCentre("alias")),
        refused(Place::DataCentre("shrot")),
        refused(Place::Vm("plain")),
    ];
    insta::assert_snapshot!(list.join("\n"));
}

/// Guards against an edit that takes the last VM in service out of service.
#[test]
fn last_vm_cannot_be_taken_out() {
    let one = set_out(TEXT, Place::Vm("v-1"), true).unwrap();
    let two = set_out(&one, Place::Vm("v-2"), true).unwrap();
    let error = set_out(&two, Place::Vm("v-3"), true).unwrap_err();
    assert!(matches!(error, SettingsError::Rejected(_)));
    insta::assert_snapshot!(error);
}
