use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::Report;
use crate::explain_logs::field;
use crate::explain_logs::read_lines;
use crate::report::EXIT_DONE;
use crate::report::EXIT_INCOMPLETE;

/// Counts by cause.
type Causes = BTreeMap<String, u64>;

/// What became of the requests of one route, and why.
#[derive(Debug, Default, Serialize)]
struct RouteCauses {
    /// Parts that are missing in answers, by the state of their leg.
    missing_parts: Causes,
    /// Requests by outcome; the reason of a refusal or failure is part of it.
    outcomes: Causes,
    requests: u64,
}

/// Causes summed over many requests.
#[derive(Debug, Default, Serialize)]
struct LogCauses {
    /// Sends that did not succeed, by reply.
    failed_sends: Causes,
    routes: BTreeMap<String, RouteCauses>,
    /// Number of lines that are not JSON objects.
    unreadable: usize,
}

/// Sums the outcomes of requests, the missing parts and the failed sends in the structured logs of
/// any number of nodes, by their causes.
#[must_use]
pub fn log_causes(text: &str) -> Report {
    let (lines, unreadable) = read_lines(text);
    let mut causes = LogCauses {
        unreadable,
        ..LogCauses::default()
    };
    for line in &lines {
        match field(line, "event") {
            "request" => causes.add_request(line),
            "send" => add(&mut causes.failed_sends, field(line, "reply")),
            _ => {}
        }
    }
    let exit_code = if causes.routes.is_empty() {
        EXIT_INCOMPLETE
    } else {
        EXIT_DONE
    };
    Report::new(exit_code, &causes, text_of(&causes))
}

impl LogCauses {
    fn add_request(&mut self, line: &Map<String, Value>) {
        let route = field(line, "route").to_owned();
        let route = self.routes.entry(route).or_default();
        route.requests += 1;
        add(
            &mut route.outcomes,
            &without_numbers(field(line, "outcome")),
        );
        let missing = line.get("missing").and_then(Value::as_array);
        for part in missing.into_iter().flatten().filter_map(Value::as_str) {
            add(&mut route.missing_parts, &cause_of_part(part));
        }
    }
}

fn add(causes: &mut Causes, cause: &str) {
    *causes.entry(cause.to_owned()).or_default() += 1;
}

/// Returns the state of a missing part and how many replicas were asked, such as
/// `Open, asked 1`. Parts that another node collected have no state.
fn cause_of_part(part: &str) -> String {
    let Some((_, state)) = part.split_once(": ") else {
        return "collected by another node".to_owned();
    };
    let Some((state, asked)) = state.split_once(", asked [") else {
        return state.split(", known").next().unwrap_or(state).to_owned();
    };
    format!("{state}, asked {}", asked.split_whitespace().count())
}

/// Replaces each number by `N`, so that outcomes with different numbers have one cause.
fn without_numbers(text: &str) -> String {
    let mut result = String::new();
    for letter in text.chars() {
        let digit = letter.is_ascii_digit();
        if !digit {
            result.push(letter);
        } else if !result.ends_with('N') {
            result.push('N');
        }
    }
    result
}

fn text_of(causes: &LogCauses) -> String {
    let mut text = String::new();
    for (route, of_route) in &causes.routes {
        let _ = writeln!(text, "route {route}: {} requests", of_route.requests);
        write_causes(&mut text, "outcomes", &of_route.outcomes);
        write_causes(&mut text, "missing parts", &of_route.missing_parts);
    }
    write_causes(&mut text, "failed sends", &causes.failed_sends);
    if causes.unreadable > 0 {
        let _ = writeln!(
            text,
            "{} lines are not structured log lines",
            causes.unreadable
        );
    }
    text
}

/// Lists causes, the most frequent first.
fn write_causes(text: &mut String, title: &str, causes: &Causes) {
    if causes.is_empty() {
        return;
    }
    let _ = writeln!(text, "  {title}:");
    let mut sorted: Vec<_> = causes.iter().collect();
    sorted.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    for (cause, count) in sorted {
        let _ = writeln!(text, "    {count:>7} {cause}");
    }
}
