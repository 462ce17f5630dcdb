/// Bytes of each response that are always accepted and not counted: without them no request
/// could be served.
const UNCOUNTED_BYTES: usize = 64 * 1024;

/// Divisor of the node's memory; the quotient is the limit for the counted bytes of all
/// responses together.
const MEMORY_DIVISOR: usize = 4;

/// Divisor of the limit for all responses; the quotient is the limit for the counted bytes of
/// one response.
const RESPONSE_DIVISOR: usize = 4;

/// Maximum limit for one response, however much memory the node has.
const RESPONSE_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Limits the memory that replicas' responses hold on a node.
///
/// A faulty replica may send an endless response, and replicas of many shards may do so at
/// once.
#[derive(Debug)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub struct ResponseMemoryBudget {
    response_limit_bytes: usize,
    /// Bytes held by all responses, without the first [`UNCOUNTED_BYTES`] of each.
    held_bytes: usize,
    limit_bytes: usize,
}

impl ResponseMemoryBudget {
    /// Creates the limits for a node with `memory_bytes` of memory.
    #[must_use]
    pub const fn new(memory_bytes: usize) -> Self {
        let limit_bytes = memory_bytes / MEMORY_DIVISOR;
        let share_bytes = limit_bytes / RESPONSE_DIVISOR;
        let response_limit_bytes = if share_bytes < RESPONSE_BYTES_MAX {
            share_bytes
        } else {
            RESPONSE_BYTES_MAX
        };
        Self {
            response_limit_bytes,
            held_bytes: 0,
            limit_bytes,
        }
    }

    /// Reserves memory for a response that grows from `from_bytes` to `to_bytes`; returns
    /// false if that would exceed a limit.
    pub const fn grow(&mut self, from_bytes: usize, to_bytes: usize) -> bool {
        let added_bytes = counted_bytes(to_bytes) - counted_bytes(from_bytes);
        if counted_bytes(to_bytes) > self.response_limit_bytes
            || self.held_bytes + added_bytes > self.limit_bytes
        {
            return false;
        }
        self.held_bytes += added_bytes;
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
