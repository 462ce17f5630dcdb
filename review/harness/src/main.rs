//! Scripts of the review's cases. `review-harness CASE FOLDER` runs a case and writes
//! `record.txt` to FOLDER. It exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run.

mod http;
mod lost_watch;
mod nested_route;
mod node;
mod paged_list;
mod record;
mod replica;
mod silent_leaver;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Broken,
    CouldNotRun,
    Held,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = record::Record::new(folder);
    let verdict = match case.as_str() {
        "lost-watch" => lost_watch::run(&mut record, trouble),
        "nested-route" => nested_route::run(&mut record, trouble),
        "paged-list" => paged_list::run(&mut record, trouble),
        "silent-leaver" => silent_leaver::run(&mut record, trouble),
        _ => Verdict::CouldNotRun,
    };
    let (code, text) = match verdict {
        Verdict::Broken => (1, "BROKEN"),
        Verdict::Held => (0, "held"),
        Verdict::CouldNotRun => (2, "could not run"),
    };
    record.line(&format!("verdict: {text}"));
    ExitCode::from(code)
}
