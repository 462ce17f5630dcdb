use std::net::SocketAddr;
use std::sync::Arc;

/// The record that a replica writes about itself to the store.
#[derive(Clone, Debug)]
pub struct Registration {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Unix time of its start in milliseconds; distinguishes its incarnations, the processes that
    /// ran under one id.
    pub started_unix_ms: u64,
    /// Remaining time of its cold start, during which it is slow and limits its request rate.
    pub cold_for_ms: u64,
    /// Data centre of the replica.
    pub data_centre: Arc<str>,
    /// Id of the replica.
    pub id: Arc<str>,
    /// Counter of its registrations within one incarnation.
    pub sequence: u64,
    /// Name of its service.
    pub service: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether the replica takes new requests.
    pub state: RegistrationState,
    /// Version of its service; empty if it states none.
    pub version: Arc<str>,
}

/// Whether a replica takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationState {
    /// It takes no new requests, because it is about to stop.
    Draining,
    /// It takes requests.
    Ready,
}
