/// Size of the kernel's receive buffer of a caller's connection: the bytes that a caller can send
/// before they are read.
pub const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

/// Memory of a caller's connection: buffers for reading (16 KiB with a head of the largest usual
/// size) and writing (8 KiB), its task and its timers, and the bytes that have arrived and were
/// not read.
pub const CONNECTION_BYTES: usize = 36 * 1024 + RECEIVE_BUFFER_BYTES;

/// Time for which a connection may wait for the rest of a request before others are closed after it
/// in favour of a new one; long enough for an ordinary caller on a slow link.
pub const REQUEST_GRACE_MS: u64 = 500;

/// Divisor of the descriptors; callers may hold the quotient. The rest is for replicas, peers and
/// the store.
const DESCRIPTOR_DIVISOR: usize = 2;

/// What a caller's connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionState {
    /// The request was rejected and the connection is about to be closed.
    Closing,
    /// The body of a request is being received.
    Body,
    /// A request is being answered.
    Busy,
    /// The head of a request has been partly read.
    Head,
    /// No request is open; `used` says whether one was answered before.
    Idle {
        /// Whether a request was answered on this connection.
        used: bool,
    },
}

/// Returns the number of connections that callers may hold at the same time; `None` is no limit.
#[must_use]
pub const fn connection_limit(descriptors: Option<usize>) -> usize {
    match descriptors {
        Some(descriptors) => descriptors / DESCRIPTOR_DIVISOR,
        None => usize::MAX,
    }
}

/// Returns the connection to close in favour of a new one, of connections given with their state
/// and the time since which they wait; `None` if there is none to close.
///
/// Those that are about to be closed go first, then those that never sent a request, have an
/// incomplete head, are between two requests, or have an incomplete body; of each kind the one that
/// waits longest. The caller may be about to send the rest if it waits since later than
/// `young_since`, so that such connections go last: callers that connect again and again would
/// displace all others. Of these, bodies go first, as most ordinary ones arrive with their head.
pub fn connection_to_close<K, T: Copy + Ord>(
    connections: impl Iterator<Item = (K, ConnectionState, T)>,
    young_since: T,
) -> Option<K> {
    connections
        .filter_map(|(key, state, since)| Some((key, rank(state, since > young_since)?, since)))
        .min_by_key(|(_, rank, since)| (*rank, *since))
        .map(|(key, _, _)| key)
}

const fn rank(state: ConnectionState, young: bool) -> Option<u8> {
    match (state, young) {
        (ConnectionState::Closing, _) => Some(0),
        (ConnectionState::Idle { used: false }, false) => Some(1),
        (ConnectionState::Head, false) => Some(2),
        (ConnectionState::Idle { used: true }, _) => Some(3),
        (ConnectionState::Body, false) => Some(4),
        (ConnectionState::Body, true) => Some(5),
        (ConnectionState::Head, true) => Some(6),
        (ConnectionState::Idle { used: false }, true) => Some(7),
        (ConnectionState::Busy, _) => None,
    }
}
