//! The part of a read that one service answers, and the merge of its replies.

use crate::AbsentReason;
use crate::send_cost::SendCost;
use wigeonhall_types::KeyRange;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::Row;
use wigeonhall_types::ServiceKey;

/// State of a part of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartState {
    /// Every key was read.
    Done,
    /// The remaining gaps cannot be read, for this reason.
    Failed(AbsentReason),
    /// A sub-request is in flight.
    Open,
    /// Waits for a backoff to end or for a newer version, for this reason; no sub-request is
    /// in flight.
    Waiting(AbsentReason),
}

/// The part of a read that one service answers.
#[derive(Clone, Debug)]
pub struct QueryPart {
    /// Sequence numbers of the sub-requests in flight.
    pub open_sequences: Vec<u64>,
    /// Number of `Busy` refusals.
    pub busy_refusals: u32,
    /// Replica that last refused with `Busy`.
    pub last_busy_replica: Option<ReplicaKey>,
    /// Retries and hedges that were not charged to the budget.
    pub free_retries: u32,
    /// Hedges that were refused with `Busy`.
    pub busy_hedges: u32,
    /// Whether the last hedge was charged to the budget.
    pub hedge_charged: bool,
    /// Ranges not read yet; sorted and disjoint.
    pub gaps: Vec<KeyRange>,
    /// Number of `Overloaded` refusals.
    pub overloaded_refusals: u32,
    /// How the next send is charged.
    pub next_send_cost: SendCost,
    /// Ranges that were read; disjoint from `gaps`.
    pub read: Vec<KeyRange>,
    /// Longest retry-after time that a refusal named, in microseconds.
    pub retry_after_us: u64,
    /// Rows of the ranges in `read`.
    pub rows: Vec<Row>,
    /// Number of sub-requests sent.
    pub sends: u32,
    /// Service that holds the keys.
    pub service: ServiceKey,
    /// Id of the current timer; timers with another id are obsolete.
    pub timer_id: u64,
    /// Current state.
    pub state: PartState,
    /// Replicas that a sub-request was sent to and that are not eligible for a retry.
    pub tried: Vec<ReplicaKey>,
    /// Number of waits so far.
    pub waits: u32,
}

impl QueryPart {
    /// Creates a part that was not sent yet.
    pub const fn new(service: ServiceKey) -> Self {
        Self {
            open_sequences: Vec::new(),
            busy_refusals: 0,
            last_busy_replica: None,
            free_retries: 0,
            gaps: Vec::new(),
            hedge_charged: false,
            busy_hedges: 0,
            overloaded_refusals: 0,
            next_send_cost: SendCost::First,
            read: Vec::new(),
            retry_after_us: 0,
            rows: Vec::new(),
            sends: 0,
            service,
            timer_id: 0,
            state: PartState::Open,
            tried: Vec::new(),
            waits: 0,
        }
    }

    /// Returns the smallest range that contains every gap.
    pub fn enclosing_range(&self) -> KeyRange {
        KeyRange {
            start: self.gaps.first().map_or(0, |gap| gap.start),
            end: self.gaps.last().map_or(0, |gap| gap.end),
        }
    }

    /// Moves the keys that a reply covers from `gaps` to `read` and stores their rows. Drops
    /// repeated rows and rows of other keys, and returns their number.
    pub fn merge(&mut self, ranges: &[KeyRange], rows: Vec<Row>) -> u64 {
        let mut ranges = ranges.to_vec();
        ranges.sort_unstable();
        let mut taken: Vec<KeyRange> = Vec::new();
        let mut gaps = Vec::new();
        for gap in &self.gaps {
            let mut start = gap.start;
            for both in ranges.iter().filter_map(|range| range.intersection(*gap)) {
                if both.end <= start {
                    continue;
                }
                let new = KeyRange {
                    start: both.start.max(start),
                    end: both.end,
                };
                push_if_not_empty(&mut gaps, start, new.start);
                taken.push(new);
                start = new.end;
            }
            push_if_not_empty(&mut gaps, start, gap.end);
        }
        self.gaps = gaps;
        let received = rows.len();
        let mut rows: Vec<Row> = rows
            .into_iter()
            .filter(|row| holds(&taken, row.key))
            .collect();
        rows.sort_unstable();
        rows.dedup();
        let dropped = received - rows.len();
        self.rows.append(&mut rows);
        self.read.append(&mut taken);
        dropped as u64
    }

    /// Returns whether the part is done or failed.
    pub const fn finished(&self) -> bool {
        matches!(self.state, PartState::Done | PartState::Failed(_))
    }
}

/// Returns whether one of the sorted, disjoint `ranges` contains `key`.
fn holds(ranges: &[KeyRange], key: u64) -> bool {
    let after = ranges.partition_point(|range| range.start <= key);
    after > 0 && ranges[after - 1].contains(key)
}

fn push_if_not_empty(ranges: &mut Vec<KeyRange>, start: u64, end: u64) {
    if start < end {
        ranges.push(KeyRange { start, end });
    }
}
