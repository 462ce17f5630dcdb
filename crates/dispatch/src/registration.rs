use std::net::SocketAddr;
use std::sync::Arc;

/// What a replica says of itself.
#[derive(Clone, Debug)]
pub struct Registration {
    /// Where it listens.
    pub address: SocketAddr,
    /// Unix milliseconds of its start; tells two lifetimes under one id apart.
    pub born_unix_ms: u64,
    /// Time until it is warm.
    pub cold_for_ms: u64,
    /// Data centre that it is in.
    pub data_centre: Arc<str>,
    /// Its id.
    pub id: Arc<str>,
    /// Counts its reports within one lifetime.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: RegistrationState,
}

/// Whether a replica takes new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationState {
    /// It is about to leave.
    Draining,
    /// It takes requests.
    Ready,
}
