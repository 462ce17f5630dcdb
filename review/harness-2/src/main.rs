//! Runs one case of the review: `wigeonhall-review-2 CASE RECORD`, in the repository root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` the disruption is left out.

mod failback;
mod http;
mod json;
mod node;
mod popular;
mod quota;
mod record;
mod recover;
mod refused;
mod replica;
mod store;

use std::env;
use std::fs;
use std::panic;
use std::path::PathBuf;
use std::process;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a case needs.
pub struct Case {
    /// Folder for settings and logs.
    pub folder: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// How a case ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Broken,
    CannotRun,
    Held,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        eprintln!("usage: wigeonhall-review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let folder = env::temp_dir().join(format!("wigeonhall-review-{}", process::id()));
    let case = Case {
        folder: folder.clone(),
        record: Arc::new(Record::create(path)),
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let record = case.record.clone();
    let run = match name.as_str() {
        "failback" => failback::run,
        "popular" => popular::run,
        "quota" => quota::run,
        "recover" => recover::run,
        "refused" => refused::run,
        _ => return ExitCode::from(2),
    };
    let ended = panic::catch_unwind(panic::AssertUnwindSafe(|| run(&case)));
    let verdict = ended.unwrap_or(Verdict::CannotRun);
    drop(fs::remove_dir_all(&folder));
    record.line(&format!("verdict {verdict:?}"));
    println!("{name}: {verdict:?}");
    ExitCode::from(match verdict {
        Verdict::Broken => 1,
        Verdict::CannotRun => 2,
        Verdict::Held => 0,
    })
}

/// Returns a configuration with one route `/one/` to the service `svc-a`.
pub fn configuration(version: u64, kind: &str, header_bytes: usize, more: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-one","host":"shop.example","path_prefix":"/one/","kind":"{kind}","timeout_ms":5000,"target_latency_ms":500,"priority":1,"service":"svc-a","max_attempts":2}}],"services":[{{"name":"svc-a","health_check_path":"/health","max_connections":214,"warmup_s":3.0,"warmup_per_s":10.0}}],"limits":{{"max_header_bytes":{header_bytes},"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}{more}}}"#
    )
}
