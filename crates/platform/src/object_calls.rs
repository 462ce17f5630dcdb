use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counts of calls to the store by kind, including failed ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ObjectCallCounts {
    /// Conditional deletes.
    pub deletes: u64,
    /// Calls of any kind that returned an error.
    pub errors: u64,
    /// Reads of single objects.
    pub gets: u64,
    /// Listings of paths and versions by prefix.
    pub lists: u64,
    /// Conditional updates.
    pub puts: u64,
    /// Watches; a pending watch counts once.
    pub watches: u64,
}

#[derive(Debug, Default)]
pub(crate) struct CallCounters {
    pub(crate) deletes: AtomicU64,
    pub(crate) errors: AtomicU64,
    pub(crate) gets: AtomicU64,
    pub(crate) lists: AtomicU64,
    pub(crate) puts: AtomicU64,
    pub(crate) watches: AtomicU64,
}

impl CallCounters {
    pub(crate) fn snapshot(&self) -> ObjectCallCounts {
        ObjectCallCounts {
            deletes: self.deletes.load(Ordering::Relaxed),
            errors: self.errors.load(Ordering::Relaxed),
            gets: self.gets.load(Ordering::Relaxed),
            lists: self.lists.load(Ordering::Relaxed),
            puts: self.puts.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
        }
    }
}
