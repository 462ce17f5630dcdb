/// Bytes of an answer that are always read: without them no request could be served.
const ALWAYS_BYTES: usize = 64 * 1024;

/// Part of a node's memory that answers may hold beyond these bytes, all together.
const MEMORY_DIVISOR: usize = 4;

/// Part of that memory which one answer may hold.
const ANSWER_DIVISOR: usize = 4;

/// Longest answer, however much memory the node has.
const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Memory that the answers of replicas hold in a node.
///
/// A replica in trouble may send without end, and replicas of many shards may do so at once.
#[derive(Debug)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub struct AnswerMemoryBudget {
    answer_limit_bytes: usize,
    /// Held by all answers, beyond [`ALWAYS_BYTES`] of each.
    held_bytes: usize,
    limit_bytes: usize,
}

impl AnswerMemoryBudget {
    /// The share of answers in the memory of a node.
    #[must_use]
    pub const fn new(memory_bytes: usize) -> Self {
        let limit_bytes = memory_bytes / MEMORY_DIVISOR;
        let part_bytes = limit_bytes / ANSWER_DIVISOR;
        let answer_limit_bytes = if part_bytes < ANSWER_BYTES_MAX {
            part_bytes
        } else {
            ANSWER_BYTES_MAX
        };
        Self {
            answer_limit_bytes,
            held_bytes: 0,
            limit_bytes,
        }
    }

    /// Lets an answer grow from `from_bytes` to `to_bytes`; false if there is no room.
    pub const fn grow(&mut self, from_bytes: usize, to_bytes: usize) -> bool {
        let more_bytes = counted(to_bytes) - counted(from_bytes);
        if counted(to_bytes) > self.answer_limit_bytes
            || self.held_bytes + more_bytes > self.limit_bytes
        {
            return false;
        }
        self.held_bytes += more_bytes;
        true
    }

    /// Gives back what an answer of `bytes` held.
    pub const fn release(&mut self, bytes: usize) {
        self.held_bytes -= counted(bytes);
    }
}

const fn counted(bytes: usize) -> usize {
    bytes.saturating_sub(ALWAYS_BYTES)
}
