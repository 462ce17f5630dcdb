use std::fmt::Write;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::Report;
use crate::report::EXIT_DONE;
use crate::report::EXIT_INCOMPLETE;
use wigeonhall_protocol::Subject;

/// Log lines on one request or replica, and the last state changes of their nodes.
#[derive(Serialize)]
struct LogExcerpt {
    /// Lines that name the subject, sorted by time.
    lines: Vec<Map<String, Value>>,
    /// Last state changes on the nodes of `lines`, up to `CONTEXT_AFTER_MS` after the last line.
    context: Vec<Map<String, Value>>,
    /// Number of lines that are not JSON objects.
    unreadable: usize,
}

/// Time after the last line on the subject within which a state change is still listed.
const CONTEXT_AFTER_MS: u64 = 1_000;

/// Maximum number of listed state changes.
const CONTEXT_LINES: usize = 12;

/// Events that log a state change of a node.
const CONTEXT_EVENTS: [&str; 8] = [
    "configuration",
    "dependency",
    "evacuation",
    "load",
    "reload",
    "replicas",
    "start",
    "stop",
];

/// Lists the lines on a request or replica in the structured logs of any number of nodes.
#[must_use]
pub fn explain_logs(text: &str, subject: &Subject) -> Report {
    let (mut all, unreadable) = read_lines(text);
    all.sort_by_key(unix_ms);
    let (name, value) = match subject {
        Subject::Replica(id) => ("replica", id),
        Subject::Request(id) => ("request_id", id),
    };
    let names_subject = |line: &&Map<String, Value>| field(line, name) == &**value;
    let lines: Vec<Map<String, Value>> = all.iter().filter(names_subject).cloned().collect();
    let excerpt = LogExcerpt {
        context: context(&all, &lines),
        lines,
        unreadable,
    };
    let exit_code = if excerpt.lines.is_empty() {
        EXIT_INCOMPLETE
    } else {
        EXIT_DONE
    };
    Report::new(exit_code, &excerpt, text_of(&excerpt))
}

/// Returns the lines of structured logs, and the number of other lines that are not empty.
///
/// Skips everything before the first brace of a line, where log collectors add a prefix.
pub(crate) fn read_lines(text: &str) -> (Vec<Map<String, Value>>, usize) {
    let mut lines = Vec::new();
    let mut unreadable = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let object = line
            .find('{')
            .and_then(|start| serde_json::from_str(&line[start..]).ok());
        match object {
            Some(object) => lines.push(object),
            None => unreadable += 1,
        }
    }
    (lines, unreadable)
}

/// Returns the last state changes on the nodes of `lines`.
fn context(all: &[Map<String, Value>], lines: &[Map<String, Value>]) -> Vec<Map<String, Value>> {
    let Some(last) = lines.last() else {
        return Vec::new();
    };
    let until_ms = unix_ms(last) + CONTEXT_AFTER_MS;
    let nodes: Vec<&str> = lines.iter().map(|line| field(line, "node")).collect();
    let is_context = |line: &&Map<String, Value>| {
        CONTEXT_EVENTS.contains(&field(line, "event"))
            && nodes.contains(&field(line, "node"))
            && unix_ms(line) <= until_ms
    };
    let mut found: Vec<_> = all.iter().filter(is_context).cloned().collect();
    found.split_off(found.len().saturating_sub(CONTEXT_LINES))
}

fn unix_ms(line: &Map<String, Value>) -> u64 {
    line.get("unix_ms").and_then(Value::as_u64).unwrap_or(0)
}

pub(crate) fn field<'a>(line: &'a Map<String, Value>, name: &str) -> &'a str {
    line.get(name).and_then(Value::as_str).unwrap_or("")
}

fn text_of(excerpt: &LogExcerpt) -> String {
    let mut text = String::new();
    if excerpt.lines.is_empty() {
        text.push_str("no log line names it\n");
    } else {
        text.push_str("state changes on the nodes:\n");
        excerpt
            .context
            .iter()
            .for_each(|line| write_line(&mut text, line));
        text.push_str("log lines:\n");
        excerpt
            .lines
            .iter()
            .for_each(|line| write_line(&mut text, line));
    }
    if excerpt.unreadable > 0 {
        let _ = writeln!(
            text,
            "{} lines are not structured log lines",
            excerpt.unreadable
        );
    }
    text
}

fn write_line(text: &mut String, line: &Map<String, Value>) {
    // Fields that the start of the line holds or that add nothing to it.
    const OMITTED_FIELDS: [&str; 5] = ["at_ms", "event", "node", "request_id", "unix_ms"];
    let node = field(line, "node");
    let _ = write!(text, "  {} {node} {}:", unix_ms(line), field(line, "event"));
    for (name, value) in line {
        if !OMITTED_FIELDS.contains(&name.as_str()) {
            let _ = write!(text, " {name}={value}");
        }
    }
    text.push('\n');
}
