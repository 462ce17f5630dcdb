//! The operators' command: parses the command line, runs the subcommand and prints its
//! report.

mod command;

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::io::Read;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use bpaf::Args;
use bpaf::ParseFailure;

use crate::command::ChangeOptions;
use crate::command::Command;
use crate::command::Connection;
use crate::command::PlaceOption;
use crate::command::Shell;
use crate::command::SubjectOption;
use crate::command::TextFile;
use crate::command::command;
use wigeonhall_ctl::BackoffFactory;
use wigeonhall_ctl::Context;
use wigeonhall_ctl::CtlError;
use wigeonhall_ctl::MeasureOptions;
use wigeonhall_ctl::Report;
use wigeonhall_ctl::StandinOptions;
use wigeonhall_ctl::Store;
use wigeonhall_ctl::apply;
use wigeonhall_ctl::burn;
use wigeonhall_ctl::check_text;
use wigeonhall_ctl::demo;
use wigeonhall_ctl::diff;
use wigeonhall_ctl::evacuate;
use wigeonhall_ctl::explain;
use wigeonhall_ctl::explain_logs;
use wigeonhall_ctl::history;
use wigeonhall_ctl::http_node_client;
use wigeonhall_ctl::log_causes;
use wigeonhall_ctl::measure;
use wigeonhall_ctl::set_place_out;
use wigeonhall_ctl::show;
use wigeonhall_ctl::standins;
use wigeonhall_ctl::status;
use wigeonhall_platform::ObjectApi;
use wigeonhall_protocol::Subject;
use wigeonhall_settings::Place;

/// Pause of a backoff between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

fn main() -> ExitCode {
    let command = command().run();
    let json = is_json(&command);
    match run(command) {
        Ok(report) if json => {
            println!("{:#}", report.json);
            report.exit_code.into()
        }
        Ok(report) => {
            print!("{}", report.text);
            report.exit_code.into()
        }
        Err(error) => {
            let exit_code = error.exit_code();
            if json {
                let text = error.to_string();
                let value = serde_json::json!({ "error": text, "exit_code": exit_code });
                println!("{value:#}");
            } else {
                eprintln!("{error}");
            }
            exit_code.into()
        }
    }
}

fn is_json(command: &Command) -> bool {
    match command {
        Command::Apply { connection, .. }
        | Command::Burn { connection }
        | Command::Diff { connection, .. }
        | Command::Explain { connection, .. }
        | Command::History { connection, .. }
        | Command::In { connection, .. }
        | Command::Out { connection, .. }
        | Command::Status { connection } => connection.json,
        Command::Causes { json, .. }
        | Command::Check { json, .. }
        | Command::Demo { json }
        | Command::Measure { json, .. } => *json,
        Command::Completion { .. } | Command::Standins { .. } => false,
    }
}

fn run(command: Command) -> Result<Report, CtlError> {
    match command {
        Command::Apply {
            connection,
            change,
            base,
            file,
        } => {
            let text = read(&file)?;
            let context = context(&connection, Some(&change));
            Ok(apply(&context, &text, base)?.report())
        }
        Command::Burn { connection } => burn(&context(&connection, None)),
        Command::Causes { logs, .. } => Ok(log_causes(&read_all(logs)?)),
        Command::Check { node, file, .. } => Ok(check_text(&read(&file)?, node)),
        Command::Completion { shell } => Ok(completion(shell)),
        Command::Demo { .. } => demo().map_err(|error| CtlError::Demo(error.to_string())),
        Command::Diff {
            connection,
            generation,
            file,
        } => diff(&context(&connection, None), &read(&file)?, generation),
        Command::Explain { logs, subject, .. } if !logs.is_empty() => {
            Ok(explain_logs(&read_all(logs)?, &subject_of(subject)))
        }
        Command::Explain {
            connection,
            subject,
            ..
        } => explain(&context(&connection, None), &subject_of(subject)),
        Command::History {
            connection,
            limit,
            generation,
        } => {
            let context = context(&connection, None);
            generation.map_or_else(|| history(&context, limit), |it| show(&context, it))
        }
        Command::In {
            connection,
            change,
            place,
        } => {
            let context = context(&connection, Some(&change));
            Ok(set_place_out(&context, place_of(&place), false)?.report())
        }
        Command::Measure {
            plot,
            policies,
            processor_time,
            product_only,
            run_ms,
            scenario,
            seeds,
            site,
            trace,
            ways,
            ..
        } => measure(&MeasureOptions {
            plot,
            policies,
            processor_time,
            product_only,
            run_ms,
            scenario,
            seeds,
            site,
            trace,
            ways,
        }),
        Command::Out {
            connection,
            change,
            without_store,
            place,
        } => {
            let context = context(&connection, Some(&change));
            if without_store {
                return evacuate(&context, place_of(&place));
            }
            Ok(set_place_out(&context, place_of(&place), true)?.report())
        }
        Command::Standins {
            store,
            vm_list,
            service_us,
            run_s,
            file,
        } => standins(
            &read(&file)?,
            StandinOptions {
                service_us,
                store,
                run_s,
                vm_list,
            },
        ),
        Command::Status { connection } => status(&context(&connection, None)),
    }
}

/// Reads files and joins their lines.
fn read_all(paths: Vec<String>) -> Result<String, CtlError> {
    let texts = paths.into_iter().map(|path| read(&TextFile { path }));
    Ok(texts.collect::<Result<Vec<String>, CtlError>>()?.join("\n"))
}

fn context(connection: &Connection, change: Option<&ChangeOptions>) -> Context {
    let api = connection
        .store
        .map(|address| ObjectApi::new(address, connection.timeout_ms));
    let json = connection.json;
    let nodes = connection.nodes.as_ref();
    Context {
        author: Arc::from(change.map_or("", |change| &change.author)),
        new_change_id: Box::new(random_id),
        node_addresses: nodes.map_or_else(Vec::new, |list| list.0.clone()),
        node_client: http_node_client(connection.timeout_ms),
        new_backoff: backoff_factory(change.map_or(0, |change| change.wait_s)),
        print_progress: Box::new(move |line| {
            if !json {
                println!("{line}");
            }
        }),
        store: api.as_ref().map(Store::from_api),
        unix_ms: Box::new(wigeonhall_node::unix_ms),
    }
}

/// Returns a factory of backoffs whose time limit is `wait_s`.
fn backoff_factory(wait_s: u64) -> BackoffFactory {
    Box::new(move || {
        let end = Instant::now() + Duration::from_secs(wait_s);
        Box::new(move || {
            sleep(RETRY_PAUSE);
            Instant::now() < end
        })
    })
}

/// Returns 128 random bits in hexadecimal. The standard library seeds its hashers from the
/// system's source of randomness.
fn random_id() -> Arc<str> {
    let half = || RandomState::new().hash_one(std::process::id());
    Arc::from(format!("{:016x}{:016x}", half(), half()))
}

/// Reads a file, or standard input if its path is `-`.
fn read(file: &TextFile) -> Result<String, CtlError> {
    let text = if file.path == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(&file.path)
    };
    text.map_err(|error| CtlError::File {
        path: file.path.clone(),
        reason: error.to_string(),
    })
}

fn place_of(place: &PlaceOption) -> Place<'_> {
    match place {
        PlaceOption::DataCentre { data_centre } => Place::DataCentre(data_centre),
        PlaceOption::Vm { vm } => Place::Vm(vm),
    }
}

fn subject_of(subject: SubjectOption) -> Subject {
    match subject {
        SubjectOption::Replica { replica } => Subject::Replica(Arc::from(replica)),
        SubjectOption::Request { request } => Subject::Request(Arc::from(request)),
    }
}

/// Generates the completion script for a shell.
fn completion(shell: Shell) -> Report {
    let flag: &[&str] = match shell {
        Shell::Bash => &["--bpaf-complete-style-bash"],
        Shell::Elvish => &["--bpaf-complete-style-elvish"],
        Shell::Fish => &["--bpaf-complete-style-fish"],
        Shell::Zsh => &["--bpaf-complete-style-zsh"],
    };
    let text = match command().run_inner(Args::from(flag).set_name("wigeonhall")) {
        Err(ParseFailure::Completion(script)) => script,
        _ => String::new(),
    };
    Report {
        exit_code: 0,
        json: serde_json::Value::Null,
        text,
    }
}
