use std::fmt::Write;

use serde::Serialize;

use crate::Report;
use crate::report::EXIT_DONE;
use crate::report::EXIT_INVALID_TEXT;
use wigeonhall_settings::Finding;
use wigeonhall_settings::check;
use wigeonhall_settings::check_node;

/// An error or warning, as printed in JSON.
#[derive(Serialize)]
struct FindingJson<'a> {
    error: bool,
    line: u64,
    mend: &'a str,
    problem: &'a str,
}

/// Lists the errors and warnings of a deployment text or, if `is_node_settings`, of the settings of
/// a node.
#[must_use]
pub fn check_text(text: &str, is_node_settings: bool) -> Report {
    let findings = if is_node_settings {
        check_node(text)
    } else {
        check(text)
    };
    let mut text_report = String::new();
    for finding in &findings {
        let _ = writeln!(text_report, "{finding}");
    }
    let errors = findings.iter().filter(|it| it.is_error()).count();
    let warnings = findings.len() - errors;
    let _ = writeln!(text_report, "{errors} errors, {warnings} warnings");
    let json = findings.iter().map(finding_json).collect::<Vec<_>>();
    let exit_code = if errors > 0 {
        EXIT_INVALID_TEXT
    } else {
        EXIT_DONE
    };
    Report::new(exit_code, &json, text_report)
}

fn finding_json(finding: &Finding) -> FindingJson<'_> {
    FindingJson {
        error: finding.is_error(),
        line: finding.line,
        mend: &finding.fix,
        problem: &finding.problem,
    }
}
