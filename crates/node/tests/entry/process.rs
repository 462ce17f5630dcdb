//! Guards against warnings that nobody sees, and against settings that are found wrong only
//! after a start.

use std::fs;
use std::net::TcpStream;
use std::process;
use std::process::Command;

use wigeonhall_adapter_standins::SETTINGS_VARIABLE;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_adapter_standins::settings_text;

use crate::deployment::Node;

/// Descriptors of a node that can accept only some callers.
const DESCRIPTORS: usize = 40;

/// Records of the `log` macros were written nowhere.
#[test]
fn a_warning_is_a_line_of_the_log() {
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

/// With `--check` the process used to start and serve.
#[test]
fn settings_are_checked_without_a_start() {
    let store = "127.0.0.1:1".parse().unwrap();
    let text = settings_text(store, "node-1", "north", 6_000);
    assert!(check(&text).0);
    let (success, error) = check(&text.replace("zone:", "place:"));
    assert!(!success);
    assert!(error.contains("zone"), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
}
