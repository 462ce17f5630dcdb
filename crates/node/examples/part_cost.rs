//! Measures the processor time that a node spends on each part, the reply of one shard, of a
//! gather, a request that all shards answer together.
//!
//! Takes the path of the node's executable, the number of shards and the number of gathers as
//! arguments. Prints one line.

#[path = "../tests/entry/caller.rs"]
mod caller;

use std::env;
use std::error::Error;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use wigeonhall_adapter_standins::Behaviour;
use wigeonhall_adapter_standins::ReplicaStandin;
use wigeonhall_adapter_standins::SETTINGS_VARIABLE;
use wigeonhall_adapter_standins::StoreStandin;
use wigeonhall_adapter_standins::settings_text;
use wigeonhall_dispatch::Configuration;
use wigeonhall_dispatch::RequestLimits;
use wigeonhall_dispatch::RouteKind;
use wigeonhall_dispatch::RouteSpec;
use wigeonhall_dispatch::TargetSpec;

use caller::Caller;

/// Number of gathers before the measurement, which open the connections.
const WARM_UP_GATHERS: usize = 50;

/// Unit of the processor times in `/proc`: clock ticks a second.
const TICKS_PER_S: f64 = 100.0;

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = env::args().skip(1);
    let program = arguments
        .next()
        .ok_or("the path of the node's executable is required")?;
    let shards: usize = arguments
        .next()
        .ok_or("the number of shards is required")?
        .parse()?;
    let gathers: usize = arguments
        .next()
        .ok_or("the number of gathers is required")?
        .parse()?;
    let store = StoreStandin::start()?;
    let names: Vec<String> = (0..shards).map(|index| format!("s{index}")).collect();
    let replicas: Vec<ReplicaStandin> = names
        .iter()
        .map(|name| ReplicaStandin::start(name, 1, |_| Behaviour::answer(vec![7; 1_000])))
        .collect::<Result<_, _>>()?;
    for replica in &replicas {
        store.register(&replica.registration("north"));
    }
    store.configure(&configuration(&names));
    let settings = env::temp_dir().join(format!("wigeonhall-part-cost-{}.yaml", process::id()));
    fs::write(
        &settings,
        settings_text(store.address(), "node", "north", 6_000),
    )?;
    let mut child = Command::new(program)
        .arg("--entry")
        .env(SETTINGS_VARIABLE, &settings)
        .stdout(Stdio::piped())
        .spawn()?;
    let result = measure(&mut child, shards, gathers);
    child.kill()?;
    child.wait()?;
    fs::remove_file(&settings)?;
    result
}

fn measure(child: &mut Child, shards: usize, gathers: usize) -> Result<(), Box<dyn Error>> {
    let output = child
        .stdout
        .take()
        .ok_or("the node's output is not piped")?;
    let mut output = BufReader::new(output);
    let mut line = String::new();
    output.read_line(&mut line)?;
    let start: Value = serde_json::from_str(&line)?;
    let address = start["caller_address"]
        .as_str()
        .ok_or("the node's first line has no caller address")?
        .parse()?;
    std::thread::spawn(move || output.lines().map_while(Result::ok).count());
    // The node needs some time to read the configuration and the registrations of the replicas.
    std::thread::sleep(Duration::from_millis(500));
    let mut caller = Caller::connect(address);
    run_gathers(&mut caller, WARM_UP_GATHERS)?;
    let before_s = processor_time_s(child)?;
    let started = Instant::now();
    run_gathers(&mut caller, gathers)?;
    let used_s = processor_time_s(child)? - before_s;
    let parts = (shards * gathers) as f64;
    println!(
        "{shards} shards, {gathers} gathers: {:.1} us of processor time a part, {:.1} ms a gather",
        used_s / parts * 1e6,
        started.elapsed().as_secs_f64() / gathers as f64 * 1e3,
    );
    Ok(())
}

/// Sends gathers one after another; each must succeed.
fn run_gathers(caller: &mut Caller, gathers: usize) -> Result<(), Box<dyn Error>> {
    for index in 0..gathers {
        caller.ask("GET", "/all/x", &format!("q{index}"), "");
        let answer = caller.read().ok_or("no answer")?;
        if answer.status != 200 {
            return Err(format!("status {}", answer.status).into());
        }
    }
    Ok(())
}

/// Returns the user and system time of a process, in seconds.
fn processor_time_s(child: &Child) -> Result<f64, Box<dyn Error>> {
    let stat = fs::read_to_string(format!("/proc/{}/stat", child.id()))?;
    let (_, fields) = stat.rsplit_once(')').ok_or("malformed /proc/PID/stat")?;
    // After the process's name come eleven other fields, then the user and the system time.
    let ticks: Vec<f64> = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|text| text.parse().ok())
        .collect();
    Ok(ticks.iter().sum::<f64>() / TICKS_PER_S)
}

fn configuration(names: &[String]) -> Configuration {
    let target = TargetSpec::Gather {
        min_fraction: 0.9,
        shards: names.iter().map(|name| Arc::from(name.as_str())).collect(),
        top_records: 50,
    };
    Configuration {
        limits: RequestLimits {
            body_bytes: 1_000,
            header_bytes: 8_192,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        routes: vec![RouteSpec {
            allows_anonymous: false,
            host: "shop.example".into(),
            kind: RouteKind::Idempotent,
            max_attempts: 2,
            name: "all".into(),
            path_prefix: "/all/".into(),
            priority: 0,
            target,
            target_latency_ms: 120,
            timeout_ms: 1_200,
        }],
        services: Vec::new(),
        tenants: None,
        version: 1,
    }
}
