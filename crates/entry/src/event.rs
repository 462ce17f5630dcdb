use std::net::SocketAddr;

use serde::Serialize;

/// One line of the log: a decision, its inputs and its outcome.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub(crate) enum Event<'a> {
    /// The node learns of changes from the store, or from the node that is named.
    ChangeSource { reason: &'a str, source: &'a str },
    /// A configuration came into force, is held back, or was not taken; `lacking` of its
    /// services have no known replica although they are served now.
    Configuration {
        lacking: usize,
        outcome: &'a str,
        routes: usize,
        version: u64,
    },
    /// A dependency was lost or is back.
    Dependency {
        name: &'a str,
        reason: &'a str,
        state: &'a str,
    },
    /// Data centres that operators took out.
    Evacuation { out: Vec<&'a str>, revision: u64 },
    /// An entry of the store that could not be decoded.
    Malformed {
        collection: &'a str,
        name: &'a str,
        reason: String,
    },
    /// A warning or an error that belongs to no decision.
    Message {
        level: &'a str,
        source: &'a str,
        text: String,
    },
    /// How many nodes of the own data centre are known.
    Nodes { near: usize },
    /// A replica asked in an answer to be left alone, for a while or until it is gone.
    Notice {
        hold_off_ms: Option<u64>,
        leaving: bool,
        replica: &'a str,
    },
    /// Another node did not hand over the parts that it was asked for.
    Relay {
        peer: &'a str,
        reason: String,
        request_id: &'a str,
    },
    /// This node handed parts to another one.
    Relayed {
        extra_sends: u32,
        legs: usize,
        parts: usize,
        request_id: &'a str,
    },
    /// What the registrations of replicas changed.
    Replicas {
        gone: usize,
        new: usize,
        ready: usize,
        revision: u64,
        suspended: usize,
    },
    /// The final answer to a request.
    Request(RequestEvent<'a>),
    /// A send to a replica that did not succeed.
    Send {
        elapsed_ms: f64,
        replica: &'a str,
        reply: String,
        request_id: &'a str,
        service: &'a str,
    },
    /// The process started.
    Start {
        caller_address: SocketAddr,
        data_centre: &'a str,
        metrics_address: Option<SocketAddr>,
        readiness_address: SocketAddr,
        version: &'a str,
    },
    /// The process stops, or has stopped.
    Stop { connections: usize, phase: &'a str },
    /// The settings file was read again.
    Reload { outcome: String },
}

/// The final answer to a request.
#[derive(Debug, Serialize)]
pub(crate) struct RequestEvent<'a> {
    /// Version of the configuration that decided.
    pub(crate) config_version: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) elapsed_ms: f64,
    /// Hedges and retries.
    pub(crate) extra_sends: u32,
    pub(crate) legs: usize,
    /// Services without an answer, with the reason.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) missing: Vec<String>,
    /// Nodes that worked on it.
    pub(crate) nodes: usize,
    pub(crate) outcome: String,
    pub(crate) request_id: &'a str,
    pub(crate) route: &'a str,
    pub(crate) status: u16,
    /// Age of the last word from the store on the replicas.
    pub(crate) store_age_ms: u64,
}
