/// Bytes of each response that are always accepted and not counted: without them no part of a
/// gather could be received. All connections that a node may open hold 11 MB of them.
const UNCOUNTED_BYTES: usize = 4 * 1024;

/// Divisor of the node's memory; the quotient is the limit for the counted bytes of all
/// responses together.
const MEMORY_DIVISOR: usize = 8;

/// Divisor of the free bytes; the counted bytes of one response are at most the quotient.
const FREE_DIVISOR: usize = 16;

/// Maximum limit for one response, however much memory the node has.
const RESPONSE_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Limits the memory that replicas' responses hold on a node.
///
/// A faulty replica may send an endless response, and replicas of many shards may do so for many
/// gathers at once. Each response may hold a share of what is still free: the more responses are
/// open, the shorter is the one that is given up, and short ones always find room.
#[derive(Debug)]
pub struct ResponseMemoryBudget {
    /// Bytes held by all responses, without the first [`UNCOUNTED_BYTES`] of each; at most
    /// `limit_bytes`.
    held_bytes: usize,
    limit_bytes: usize,
}

impl ResponseMemoryBudget {
    /// Creates the limits for a node with `memory_bytes` of memory.
    #[must_use]
    pub const fn new(memory_bytes: usize) -> Self {
        Self {
            held_bytes: 0,
            limit_bytes: memory_bytes / MEMORY_DIVISOR,
        }
    }

    /// Returns the limit for the counted bytes of all responses together.
    pub(crate) const fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Reserves memory for a response that grows from `from_bytes` to `to_bytes`; returns
    /// false if that would exceed a limit.
    pub fn grow(&mut self, from_bytes: usize, to_bytes: usize) -> bool {
        let free_bytes = self.limit_bytes - self.held_bytes;
        let response_limit_bytes = (free_bytes / FREE_DIVISOR).min(RESPONSE_BYTES_MAX);
        let counted_to_bytes = counted_bytes(to_bytes);
        if counted_to_bytes > response_limit_bytes {
            return false;
        }
        self.held_bytes += counted_to_bytes - counted_bytes(from_bytes);
        true
    }

    /// Releases the memory reserved for a response of `bytes`.
    pub const fn release(&mut self, bytes: usize) {
        self.held_bytes -= counted_bytes(bytes);
    }
}

const fn counted_bytes(bytes: usize) -> usize {
    bytes.saturating_sub(UNCOUNTED_BYTES)
}
