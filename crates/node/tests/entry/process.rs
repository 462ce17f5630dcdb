//! Guards against warnings that are not logged, and against invalid settings that are found only
//! after a start.

use std::fs;
use std::net::TcpStream;
use std::process;
use std::process::Command;

use wigeonhall_adapter_standins::SETTINGS_VARIABLE;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_adapter_standins::settings_text;

use crate::deployment::Node;

/// File descriptors of a node that can accept only some of the callers.
const DESCRIPTORS: usize = 40;

/// A caller beyond the limit of file descriptors can't be accepted, which causes a warning of the
/// `log` macros.
#[test]
fn a_warning_is_written_to_the_log() {
    let store = StoreStandin::start().unwrap();
    let node = Node::start_with_descriptors(&store, DESCRIPTORS);
    let connect = |_| TcpStream::connect(node.callers).unwrap();
    let callers: Vec<TcpStream> = (0..DESCRIPTORS).map(connect).collect();
    let line = node.logged(|line| line["event"] == "message");
    assert_eq!(line["level"], "WARN");
    assert!(line["text"].as_str().unwrap().contains("cannot accept"));
    drop(callers);
}

fn check(text: &str) -> (bool, String) {
    let name = format!("wigeonhall-check-{}-{}.yaml", process::id(), text.len());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_wigeonhall-node"))
        .args(["--entry", "--check"])
        .env(SETTINGS_VARIABLE, &path)
        .output()
        .unwrap();
    fs::remove_file(&path).unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    (output.status.success(), text)
}

/// With `--check` the process must end and not serve callers.
#[test]
fn check_validates_the_settings_without_starting_the_node() {
    let store = "127.0.0.1:1".parse().unwrap();
    let text = settings_text(store, "node-1", "north", 6_000);
    assert!(check(&text).0);
    let (success, error) = check(&text.replace("zone:", "place:"));
    assert!(!success);
    assert!(error.contains("zone"), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
}

/// A bound that is not read would be replaced by its default without notice.
#[test]
fn a_malformed_bound_on_quotas_is_found_by_the_check() {
    let store = "127.0.0.1:1".parse().unwrap();
    let text = settings_text(store, "node-1", "north", 6_000);
    for name in ["quota_overage", "quota_slack", "quota_window_s"] {
        let with = |value: &str| text.replace("bounds:", &format!("bounds:\n  {name}: {value}"));
        assert!(check(&with("5")).0, "{name}");
        assert!(!check(&with("many")).0, "{name}");
    }
}
