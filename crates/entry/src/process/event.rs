use std::net::SocketAddr;

use serde::Serialize;

/// An event in the structured log: a decision with its inputs and its outcome.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub(crate) enum Event<'a> {
    /// Callers were refused or their connections closed since the last such line, as the memory or
    /// the number of connections reached a limit.
    CallersLimited {
        bodies_closed: u64,
        connections: usize,
        connections_closed: u64,
        connections_refused: u64,
        requests_refused: u64,
    },
    /// The source of changes was switched to the store, to the peer named in `source`, or to none.
    ChangeSource { reason: &'a str, source: &'a str },
    /// A list of the store is older than the copy that it replaces (`replaced`), or a message of a
    /// peer is not newer than the copy and was not applied (`ignored`).
    Collection {
        copy: Option<String>,
        name: &'a str,
        outcome: &'a str,
        revision: String,
    },
    /// A configuration came into force, is held back, or was ignored as older than the current
    /// one; `lacking` counts the services that would newly have no replica in service. The store
    /// has had the version for at most `age_ms`.
    Configuration {
        age_ms: u64,
        lacking: usize,
        outcome: &'a str,
        routes: usize,
        version: u64,
    },
    /// A replica crashed under a request (`suspected`), and another one under a later request that
    /// asks the same (`blocked`); `replica` and `request_id` are empty if a peer reported it. A
    /// request with such a key is sent to one replica (`tried`), which answers it (`cleared`), or
    /// to none (`refused`).
    CrashSuspicion {
        key: String,
        replica: &'a str,
        request_id: &'a str,
        state: &'a str,
    },
    /// A dependency became unavailable or is available again.
    Dependency {
        name: &'a str,
        reason: &'a str,
        state: &'a str,
    },
    /// The set of data centres that operators evacuated changed or was read; `out` lists them.
    Evacuation { out: Vec<&'a str>, revision: u64 },
    /// What this node does about the load of the shards of some routes changed.
    Load {
        admitted_percent: u32,
        queued_percent: u32,
        routes: Vec<&'a str>,
        state: &'a str,
    },
    /// An object of the store could not be decoded.
    Malformed {
        collection: &'a str,
        name: &'a str,
        reason: String,
    },
    /// A warning or an error from the `log` macros.
    Message {
        level: &'a str,
        source: &'a str,
        text: String,
    },
    /// The number of known nodes in this node's data centre changed.
    Nodes { near: usize },
    /// A replica asked in a response for no more requests, for a time or because it is draining, or
    /// changed the limit of the rate that it accepts from all nodes together. `limited_requests`
    /// counts the requests that this node sent since the replica first named a limit.
    Notice {
        hold_off_ms: Option<u64>,
        leaving: bool,
        limit_per_s: Option<f64>,
        limited_requests: u32,
        replica: &'a str,
    },
    /// This node, as an owner of a tenant, declared it limited or no longer limited.
    /// `reserved_percent` of its quota is kept for nodes that have not acknowledged that.
    Quota {
        demand_per_s: f64,
        reserved_percent: u32,
        state: &'a str,
        tenant: &'a str,
        tokens: f64,
    },
    /// An owner of tenants did not reply (`unreachable`) or replies again (`reachable`).
    QuotaOwner { owner: &'a str, state: &'a str },
    /// A peer failed to deliver the parts that it was asked for.
    Relay {
        peer: &'a str,
        reason: String,
        request_id: &'a str,
    },
    /// This node sent parts to a peer.
    Relayed {
        extra_sends: u32,
        legs: usize,
        parts: usize,
        request_id: &'a str,
    },
    /// Registrations of replicas were removed, at most `age_ms` ago; the replicas are still used
    /// for `delay_ms`.
    Removals {
        age_ms: u64,
        delay_ms: u64,
        removals: usize,
    },
    /// A replica was dropped, as a later one, `successor`, registered its address.
    ReplicaReplaced {
        address: SocketAddr,
        replica: &'a str,
        service: &'a str,
        successor: &'a str,
        successor_service: &'a str,
    },
    /// Registrations of replicas changed; `unnamed` counts those that are kept until a configuration
    /// names their service.
    Replicas {
        gone: usize,
        new: usize,
        ready: usize,
        revision: u64,
        suspended: usize,
        unnamed: usize,
    },
    /// A request was answered.
    Request(RequestEvent<'a>),
    /// A sub-request failed.
    Send {
        elapsed_ms: f64,
        replica: &'a str,
        reply: String,
        request_id: &'a str,
        service: &'a str,
    },
    /// Which versions this node sends requests to during a rollout changed (`trial`, `moving`,
    /// `stopped`, `succeeded`, `rolled_back`), or this node decided as the coordinator what nodes
    /// are told (`try`, `move`, `stop`).
    Rollout {
        decided_by: &'a str,
        elapsed_ms: u64,
        new_requests: u64,
        reason: &'a str,
        service: &'a str,
        state: &'a str,
        target_version: &'a str,
    },
    /// The state of a rollout was written (`written`), or not (`refused`, `conflict`), or that is
    /// `unknown`; `stands` is the state that the store holds.
    RolloutStatus {
        outcome: &'a str,
        revision: u64,
        service: &'a str,
        stands: Option<&'a str>,
        state: &'a str,
        target_version: &'a str,
    },
    /// The process started.
    Start {
        caller_address: SocketAddr,
        data_centre: &'a str,
        metrics_address: Option<SocketAddr>,
        readiness_address: SocketAddr,
        version: &'a str,
    },
    /// The store was restored from a copy, and gives revisions out again; all collections are read
    /// anew.
    StoreRestored { era: u64, known: u64 },
    /// The process is stopping or has stopped.
    Stop { connections: usize, phase: &'a str },
    /// The settings file was reloaded.
    Reload { outcome: String },
}

/// The final answer to a request, with the inputs of the decision.
#[derive(Debug, Serialize)]
pub(crate) struct RequestEvent<'a> {
    /// Version of the configuration that the request was routed by.
    pub(crate) config_version: u64,
    pub(crate) deadline_ms: u64,
    /// Time from the arrival at which a gather is answered with the parts received so far.
    pub(crate) due_ms: u64,
    pub(crate) elapsed_ms: f64,
    /// Number of hedges and retries.
    pub(crate) extra_sends: u32,
    pub(crate) legs: usize,
    /// Services without a usable response, with the reason.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) missing: Vec<String>,
    /// Number of nodes that collected parts.
    pub(crate) nodes: usize,
    pub(crate) outcome: String,
    pub(crate) request_id: &'a str,
    pub(crate) route: &'a str,
    pub(crate) status: u16,
    /// Time since the registrations of replicas were last known to be current.
    pub(crate) store_age_ms: u64,
    /// Tenant of the caller; left out if callers need no keys or the caller is anonymous.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) tenant: Option<&'a str>,
}
