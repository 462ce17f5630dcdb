use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counters of one replica or of the whole pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetCounters {
    /// Connections broken by the target or the network. All connections of a target break
    /// when it restarts.
    pub broken: u64,
    /// Cancellations sent.
    pub cancels: u64,
    /// Failed attempts to open a connection.
    pub connect_failures: u64,
    /// Connections closed because a reply was late or unreadable.
    pub discarded: u64,
    /// Connections currently open.
    pub open: u64,
    /// Connections opened.
    pub opened: u64,
    /// Probes sent.
    pub probes: u64,
    /// Requests sent, including those sent only in part.
    pub requests: u64,
    /// Requests queued again because their connection broke before it accepted any byte of
    /// them.
    pub requeued: u64,
}

/// Atomic counters from which [`TargetCounters`] are read.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) broken: AtomicU64,
    pub(crate) cancels: AtomicU64,
    pub(crate) connect_failures: AtomicU64,
    pub(crate) discarded: AtomicU64,
    pub(crate) open: AtomicU64,
    pub(crate) opened: AtomicU64,
    pub(crate) probes: AtomicU64,
    pub(crate) requests: AtomicU64,
    pub(crate) requeued: AtomicU64,
}

impl Counters {
    pub(crate) fn snapshot(&self) -> TargetCounters {
        TargetCounters {
            broken: self.broken.load(Ordering::Relaxed),
            cancels: self.cancels.load(Ordering::Relaxed),
            connect_failures: self.connect_failures.load(Ordering::Relaxed),
            discarded: self.discarded.load(Ordering::Relaxed),
            open: self.open.load(Ordering::Relaxed),
            opened: self.opened.load(Ordering::Relaxed),
            probes: self.probes.load(Ordering::Relaxed),
            requests: self.requests.load(Ordering::Relaxed),
            requeued: self.requeued.load(Ordering::Relaxed),
        }
    }
}
