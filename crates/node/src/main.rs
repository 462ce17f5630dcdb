//! Command line of the node that runs on an entry VM.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use flexi_logger::Logger;
use flexi_logger::WriteMode;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use wigeonhall_entry::EntryOptions;
use wigeonhall_node::Node;
use wigeonhall_settings::parse_node;

/// Wigeonhall's node: answers callers from every shard in time.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Check the settings file and exit
    check: bool,
    /// Run the entry tier on the users' platform, with the platform's own settings
    entry: bool,
    /// Port for the metrics of the entry tier
    #[bpaf(argument("PORT"), optional)]
    metrics_port: Option<u16>,
    /// Settings file in YAML
    #[bpaf(argument("FILE"), optional)]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("wigeonhall-node: {message}");
            ExitCode::from(2)
        }
    }
}

fn run(options: &Options) -> Result<(), String> {
    if options.entry && options.check {
        wigeonhall_entry::check_settings().map_err(|error| error.to_string())?;
        println!("settings of the platform: ok");
        return Ok(());
    }
    if options.entry {
        let entry = EntryOptions {
            metrics_port: options.metrics_port,
        };
        return wigeonhall_entry::run(entry).map_err(|error| error.to_string());
    }
    let Some(path) = &options.settings else {
        return Err("either --settings FILE or --entry is required".to_owned());
    };
    let text = fs::read_to_string(path)
        .map_err(|error| format!("cannot read {}: {error}", path.display()))?;
    let path = path.display();
    let settings = parse_node(&text).map_err(|error| format!("{path}: {error}"))?;
    if options.check {
        println!("{path}: ok");
        return Ok(());
    }
    let _logger = Logger::try_with_env_or_str(log_spec(settings.log_level.as_str()))
        .and_then(|logger| logger.write_mode(WriteMode::Direct).start())
        .map_err(|error| format!("cannot start logging: {error}"))?;
    let mut signals = Signals::new([SIGINT, SIGTERM])
        .map_err(|error| format!("cannot watch for signals: {error}"))?;
    let node = Node::start(&settings).map_err(|error| error.to_string())?;
    log::info!(
        "node {} listens for callers on {}",
        settings.name,
        node.address()
    );
    if let Some(signal) = signals.forever().next() {
        log::info!("received signal {signal}; starting a planned stop");
        node.request_stop();
    }
    node.join();
    Ok(())
}

/// Returns the log filter: `level` for the node, warnings only for libraries, which log each call
/// at the level `info`.
fn log_spec(level: &str) -> String {
    format!("warn, wigeonhall_node={level}")
}
