use std::fmt::Write;

use serde::Serialize;

use crate::Report;
use crate::report::DONE;
use crate::report::REJECTED;
use wigeonhall_settings::Finding;
use wigeonhall_settings::check;
use wigeonhall_settings::check_node;

#[derive(Serialize)]
struct Mistake<'a> {
    error: bool,
    line: u64,
    mend: &'a str,
    problem: &'a str,
}

/// Lists the mistakes of a deployment text, or of the settings of a node.
#[must_use]
pub fn check_text(text: &str, is_node: bool) -> Report {
    let findings = if is_node {
        check_node(text)
    } else {
        check(text)
    };
    let mut list = String::new();
    for finding in &findings {
        let _ = writeln!(list, "{finding}");
    }
    let errors = findings.iter().filter(|it| it.is_error()).count();
    let warnings = findings.len() - errors;
    let _ = writeln!(list, "{errors} errors, {warnings} warnings");
    let lines = findings.iter().map(mistake).collect::<Vec<_>>();
    let exit_code = if errors > 0 { REJECTED } else { DONE };
    Report::new(exit_code, &lines, list)
}

fn mistake(finding: &Finding) -> Mistake<'_> {
    Mistake {
        error: finding.is_error(),
        line: finding.line,
        mend: &finding.mend,
        problem: &finding.problem,
    }
}
