use crate::ResponseMemoryBudget;

/// Memory of the program itself: code, log, metrics, and one item of the store that is being read.
/// Copies of the store's collections are counted apart.
pub const PROCESS_BYTES: usize = 16_000_000;

/// Divisor of a node's memory; the quotient may be held for others however little memory the node
/// has.
const SMALL_MEMORY_DIVISOR: usize = 4;

/// Divisor of the free bytes; a request is admitted if it needs at most the quotient. The rest
/// stays free for requests with small bodies.
const FREE_DIVISOR: usize = 4;

/// Divisor of a node's memory that gives the memory of a collection's entries without a use.
const UNNEEDED_DIVISOR: usize = 16;

/// Maximum memory of a collection's entries without a use, however much memory the node has: a
/// message to a peer has 16 MiB at most, and holds them beside those in use.
const UNNEEDED_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Returns the memory that a collection of the store may take on a node with `memory_bytes` before
/// entries are left out of which the node has no use yet. Any writer may leave any number of them.
#[must_use]
pub fn unneeded_bytes_max(memory_bytes: usize) -> usize {
    (memory_bytes / UNNEEDED_DIVISOR).min(UNNEEDED_BYTES_MAX)
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemoryUse {
    /// Connections of callers, with their buffers.
    Connections,
    /// Messages of peers that are being received.
    Peers,
    /// Requests of callers and peers: parsed heads and bodies.
    Requests,
    /// Copies of the store's collections, and its responses.
    Store,
}

/// Number of variants of [`MemoryUse`].
const USES: usize = 4;

/// Limits the memory that a process holds for others: callers, replicas, peers and the store.
///
/// Replicas' responses have a fixed part. Everything else shares the rest: peers and the store have
/// limits of their own and are always granted what they need, and callers get what these leave.
/// Amounts are what the process spends, such as the capacity of a buffer, not the payload.
#[derive(Debug)]
pub struct MemoryBudget {
    /// Memory that is held, by use.
    held_bytes: [usize; USES],
    /// Limit for everything except replicas' responses.
    limit_bytes: usize,
    responses: ResponseMemoryBudget,
}

impl MemoryBudget {
    /// Creates the budget of a process with `memory_bytes` of memory.
    #[must_use]
    pub fn new(memory_bytes: usize) -> Self {
        let responses = ResponseMemoryBudget::new(memory_bytes);
        // A quarter is left to the allocator's fragmentation and to buffers that are being copied.
        let usable_bytes = memory_bytes.saturating_sub(PROCESS_BYTES) / 4 * 3;
        let usable_bytes = usable_bytes.max(memory_bytes / SMALL_MEMORY_DIVISOR);
        Self {
            held_bytes: [0; USES],
            limit_bytes: usable_bytes - responses.limit_bytes(),
            responses,
        }
    }

    /// Reserves memory for a caller's connection or request; returns false if there is no room.
    ///
    /// Requests and connections may each hold two thirds of the limit, so that neither leaves no
    /// room for the other. A request needs at most a quarter of what is free, or all of it while
    /// requests hold little.
    pub fn reserve(&mut self, memory_use: MemoryUse, bytes: usize) -> bool {
        let free_bytes = self.free_bytes(memory_use);
        let held_part_bytes = self.held(memory_use) * FREE_DIVISOR;
        let fits = match memory_use {
            MemoryUse::Requests if held_part_bytes > free_bytes => {
                bytes <= free_bytes / FREE_DIVISOR
            }
            MemoryUse::Requests | MemoryUse::Connections => bytes <= free_bytes,
            MemoryUse::Peers | MemoryUse::Store => true,
        };
        if fits {
            self.held_bytes[memory_use as usize] += bytes;
        }
        fits
    }

    /// Reserves memory for a request that was admitted and needs more.
    pub fn grow(&mut self, memory_use: MemoryUse, bytes: usize) -> bool {
        let fits = bytes <= self.free_bytes(memory_use);
        if fits {
            self.held_bytes[memory_use as usize] += bytes;
        }
        fits
    }

    /// Returns memory that was reserved.
    pub const fn release(&mut self, memory_use: MemoryUse, bytes: usize) {
        self.held_bytes[memory_use as usize] -= bytes;
    }

    /// Returns the memory that is held for a use.
    #[must_use]
    pub const fn held(&self, memory_use: MemoryUse) -> usize {
        self.held_bytes[memory_use as usize]
    }

    /// Returns the budget of replicas' responses.
    pub const fn responses(&mut self) -> &mut ResponseMemoryBudget {
        &mut self.responses
    }

    fn free_bytes(&self, memory_use: MemoryUse) -> usize {
        let total_bytes: usize = self.held_bytes.iter().sum();
        let free_bytes = self.limit_bytes.saturating_sub(total_bytes);
        let part_bytes = self.limit_bytes / 3 * 2;
        match memory_use {
            MemoryUse::Connections | MemoryUse::Requests => {
                free_bytes.min(part_bytes.saturating_sub(self.held(memory_use)))
            }
            MemoryUse::Peers | MemoryUse::Store => usize::MAX,
        }
    }
}
