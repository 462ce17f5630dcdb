//! Small deployments for sessions.

#![allow(dead_code, reason = "each test file uses a part")]

use std::fmt::Write;

use wigeonhall_measure::MeasuredDeployment;
use wigeonhall_measure::Network;
use wigeonhall_types::NameCatalog;

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MS;

const DATA_CENTRES: [&str; 3] = ["greenwood", "clarksdale", "yazoo"];

/// Returns a deployment of three shard services, each with two replicas in different data
/// centres and `slots` slots, one read class and one write class over them, and `nodes` nodes in
/// each data centre.
pub fn site(data_centre_count: usize, nodes: usize, slots: u32) -> MeasuredDeployment {
    let data_centres = &DATA_CENTRES[..data_centre_count];
    let mut text = format!(
        "region: delta-south\ndefaults:\n  slots: {slots}\n  connections: 8\n  connect_us: 1000\n  \
         cold: {{ slots: 1, requests_per_s: 4 }}\ndata_centres:\n",
    );
    for data_centre in data_centres {
        writeln!(text, "  {data_centre}:").unwrap();
    }
    text += "services:\n";
    for (name, kind) in [("ledger", "read"), ("fill-log", "write")] {
        writeln!(text, "  {name}:\n    kind: {kind}").unwrap();
        text += "    depends_on: [shard-1..3]\n    deadline_ms: 1000\n";
        text += "    level: { latency_ms: 360, objective: 0.999 }\n";
    }
    for shard in 1..=3 {
        writeln!(text, "  shard-{shard}:\n    replicas:").unwrap();
        for (position, letter) in ["a", "b"].into_iter().enumerate() {
            let index = (shard - 1 + position) % data_centre_count;
            let data_centre = data_centres[index];
            let port = 7000 + shard * 10 + position;
            writeln!(
                text,
                "      shard-{shard}-{letter}: {data_centre} 127.1.{index}.1:{port}"
            )
            .unwrap();
        }
    }
    text += "vms:\n";
    for (index, data_centre) in data_centres.iter().enumerate() {
        for node in 1..=nodes {
            let address = format!("127.1.{index}.{}", 10 + node);
            writeln!(
                text,
                "  {data_centre}-{node}: {data_centre} {address}:4100 {address}:8080"
            )
            .unwrap();
        }
    }
    let text = wigeonhall_settings::parse(&text).expect("the text is valid");
    let mut catalog = NameCatalog::default();
    let deployment = wigeonhall_settings::resolve(&text, 1, &mut catalog);
    MeasuredDeployment {
        catalog,
        deployment,
        name: "sessions",
        network: Network {
            between_us: MS,
            caller_us: 3 * MS,
            within_us: 100,
        },
    }
}
