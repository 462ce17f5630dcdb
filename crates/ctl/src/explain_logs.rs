use std::fmt::Write;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::Report;
use crate::report::DONE;
use crate::report::NOT_EVERYWHERE;
use wigeonhall_protocol::Subject;

/// What the logs say of one request or replica.
#[derive(Serialize)]
struct Story {
    /// Lines on the subject, by time of day.
    lines: Vec<Map<String, Value>>,
    /// Changes of what the same nodes knew, until a little after the request.
    context: Vec<Map<String, Value>>,
    /// Lines that are not JSON objects.
    unreadable: usize,
}

/// Time after the last line on a request within which a change still explains it.
const CONTEXT_AFTER_MS: u64 = 1_000;

/// Changes of state that are shown before a request.
const CONTEXT_LINES: usize = 12;

/// Events that change what a node knows.
const CONTEXT_EVENTS: [&str; 7] = [
    "configuration",
    "dependency",
    "evacuation",
    "reload",
    "replicas",
    "start",
    "stop",
];

/// Tells the story of a request or replica from the structured logs of any number of nodes.
///
/// What stands before the first brace of a line, as log collectors add it, is skipped.
#[must_use]
pub fn explain_logs(text: &str, subject: &Subject) -> Report {
    let mut all: Vec<Map<String, Value>> = Vec::new();
    let mut unreadable = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let object = line
            .find('{')
            .and_then(|start| serde_json::from_str(&line[start..]).ok());
        match object {
            Some(object) => all.push(object),
            None => unreadable += 1,
        }
    }
    all.sort_by_key(unix_ms);
    let (name, value) = match subject {
        Subject::Replica(id) => ("replica", id),
        Subject::Request(id) => ("request_id", id),
    };
    let about = |line: &&Map<String, Value>| field(line, name) == &**value;
    let lines: Vec<Map<String, Value>> = all.iter().filter(about).cloned().collect();
    let story = Story {
        context: context(&all, &lines),
        lines,
        unreadable,
    };
    let exit_code = if story.lines.is_empty() {
        NOT_EVERYWHERE
    } else {
        DONE
    };
    Report::new(exit_code, &story, text_of(&story))
}

fn context(all: &[Map<String, Value>], lines: &[Map<String, Value>]) -> Vec<Map<String, Value>> {
    let Some(last) = lines.last() else {
        return Vec::new();
    };
    let until_ms = unix_ms(last) + CONTEXT_AFTER_MS;
    let nodes: Vec<&str> = lines.iter().map(|line| field(line, "node")).collect();
    let explains = |line: &&Map<String, Value>| {
        CONTEXT_EVENTS.contains(&field(line, "event"))
            && nodes.contains(&field(line, "node"))
            && unix_ms(line) <= until_ms
    };
    let mut found: Vec<_> = all.iter().filter(explains).cloned().collect();
    found.split_off(found.len().saturating_sub(CONTEXT_LINES))
}

fn unix_ms(line: &Map<String, Value>) -> u64 {
    line.get("unix_ms").and_then(Value::as_u64).unwrap_or(0)
}

fn field<'a>(line: &'a Map<String, Value>, name: &str) -> &'a str {
    line.get(name).and_then(Value::as_str).unwrap_or("")
}

fn text_of(story: &Story) -> String {
    let mut text = String::new();
    if story.lines.is_empty() {
        text.push_str("no line of the logs names it\n");
    } else {
        text.push_str("what the nodes knew:\n");
        story
            .context
            .iter()
            .for_each(|line| write_line(&mut text, line));
        text.push_str("what happened:\n");
        story
            .lines
            .iter()
            .for_each(|line| write_line(&mut text, line));
    }
    if story.unreadable > 0 {
        let _ = writeln!(text, "{} lines are not structured logs", story.unreadable);
    }
    text
}

fn write_line(text: &mut String, line: &Map<String, Value>) {
    const SHOWN_APART: [&str; 5] = ["at_ms", "event", "node", "request_id", "unix_ms"];
    let node = field(line, "node");
    let _ = write!(text, "  {} {node} {}:", unix_ms(line), field(line, "event"));
    for (name, value) in line {
        if !SHOWN_APART.contains(&name.as_str()) {
            let _ = write!(text, " {name}={value}");
        }
    }
    text.push('\n');
}
