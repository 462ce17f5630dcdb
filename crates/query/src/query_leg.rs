//! State of a leg of a read, and the merge of the replies to its sub-requests.

use crate::AbsentReason;
use crate::sub_request_cost::SubRequestCost;
use wigeonhall_types::KeyRange;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::Row;
use wigeonhall_types::ServiceKey;

/// State of a leg of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LegState {
    /// Every key was read.
    Done,
    /// The unread keys cannot be read, for this reason.
    Failed(AbsentReason),
    /// A sub-request is in flight.
    Open,
    /// Waits for a backoff to end or for a newer version after a failure for this reason; no
    /// sub-request is in flight.
    Waiting(AbsentReason),
}

/// Leg of a read: the share of a read that one shard service answers. A service whose replicas
/// hold different keys has one leg for each group of replicas that hold the same keys.
#[derive(Clone, Debug)]
pub struct QueryLeg {
    /// Sequence numbers of the sub-requests in flight. A sub-request is one request sent to one
    /// replica: the first one of the leg, a hedge or a retry.
    pub open_sequences: Vec<u64>,
    /// Number of `Busy` refusals.
    pub busy_refusals: u32,
    /// Replica that last refused with `Busy`.
    pub last_busy_replica: Option<ReplicaKey>,
    /// Retries and hedges that were not charged to the budget of the service, which bounds them.
    pub free_retries: u32,
    /// Hedges that were refused with `Busy`.
    pub busy_hedges: u32,
    /// Whether the last hedge was charged to the budget.
    pub hedge_charged: bool,
    /// Ranges not read yet; sorted and disjoint.
    pub unread: Vec<KeyRange>,
    /// Number of `Overloaded` refusals.
    pub overloaded_refusals: u32,
    /// How the next sub-request is charged to the budget of the service.
    pub next_sub_request_cost: SubRequestCost,
    /// Ranges that were read; disjoint from `unread`.
    pub read: Vec<KeyRange>,
    /// Longest retry-after time that a refusal stated, in microseconds.
    pub retry_after_us: u64,
    /// Rows of the ranges in `read`.
    pub rows: Vec<Row>,
    /// Number of sub-requests sent.
    pub sub_requests_sent: u32,
    /// Service that holds the keys.
    pub service: ServiceKey,
    /// Id of the current timer; timers with another id are obsolete.
    pub timer_id: u64,
    /// Current state.
    pub state: LegState,
    /// Replicas that a sub-request was sent to and that are not eligible for a retry.
    pub tried: Vec<ReplicaKey>,
    /// Number of times that the leg waited for a replica or for reports; set to the maximum
    /// when it waits for reports.
    pub waits: u32,
}

impl QueryLeg {
    /// Creates a leg without sub-requests.
    pub const fn new(service: ServiceKey) -> Self {
        Self {
            open_sequences: Vec::new(),
            busy_refusals: 0,
            last_busy_replica: None,
            free_retries: 0,
            unread: Vec::new(),
            hedge_charged: false,
            busy_hedges: 0,
            overloaded_refusals: 0,
            next_sub_request_cost: SubRequestCost::First,
            read: Vec::new(),
            retry_after_us: 0,
            rows: Vec::new(),
            sub_requests_sent: 0,
            service,
            timer_id: 0,
            state: LegState::Open,
            tried: Vec::new(),
            waits: 0,
        }
    }

    /// Returns the smallest range that contains every unread key.
    pub fn enclosing_range(&self) -> KeyRange {
        KeyRange {
            start: self.unread.first().map_or(0, |range| range.start),
            end: self.unread.last().map_or(0, |range| range.end),
        }
    }

    /// Moves the keys that a reply covers from `unread` to `read` and stores their rows. Drops
    /// repeated rows and rows of other keys, and returns their number.
    pub fn merge(&mut self, ranges: &[KeyRange], rows: Vec<Row>) -> u64 {
        let mut ranges = ranges.to_vec();
        ranges.sort_unstable();
        let mut newly_read: Vec<KeyRange> = Vec::new();
        let mut unread = Vec::new();
        for missing in &self.unread {
            let mut start = missing.start;
            for both in ranges
                .iter()
                .filter_map(|range| range.intersection(*missing))
            {
                if both.end <= start {
                    continue;
                }
                let new = KeyRange {
                    start: both.start.max(start),
                    end: both.end,
                };
                push_if_not_empty(&mut unread, start, new.start);
                newly_read.push(new);
                start = new.end;
            }
            push_if_not_empty(&mut unread, start, missing.end);
        }
        self.unread = unread;
        let received = rows.len();
        let mut rows: Vec<Row> = rows
            .into_iter()
            .filter(|row| holds(&newly_read, row.key))
            .collect();
        rows.sort_unstable();
        rows.dedup();
        let dropped = received - rows.len();
        self.rows.append(&mut rows);
        self.read.append(&mut newly_read);
        dropped as u64
    }

    /// Returns whether the leg is done or failed.
    pub const fn finished(&self) -> bool {
        matches!(self.state, LegState::Done | LegState::Failed(_))
    }
}

/// Returns whether one of the sorted, disjoint `ranges` contains `key`.
fn holds(ranges: &[KeyRange], key: u64) -> bool {
    let next_index = ranges.partition_point(|range| range.start <= key);
    next_index > 0 && ranges[next_index - 1].contains(key)
}

fn push_if_not_empty(ranges: &mut Vec<KeyRange>, start: u64, end: u64) {
    if start < end {
        ranges.push(KeyRange { start, end });
    }
}
