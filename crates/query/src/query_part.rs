use crate::AbsentReason;
use crate::send_cost::SendCost;
use wigeonhall_types::KeyRange;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::Row;
use wigeonhall_types::ServiceKey;

/// Where a part of a read stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartState {
    /// Every key was read.
    Done,
    /// No replica is left to ask for the gaps.
    Failed(AbsentReason),
    /// A sub-request is open.
    Open,
    /// Waits for a time or for a newer version; no sub-request is open.
    Waiting(AbsentReason),
}

/// The part of a read that one service answers.
#[derive(Clone, Debug)]
pub struct QueryPart {
    /// Sequence numbers of the open sub-requests.
    pub open_sequences: Vec<u64>,
    /// Refusals as busy.
    pub busy_refusals: u32,
    /// Replica of the last refusal as busy.
    pub last_busy_replica: Option<ReplicaKey>,
    /// Tries that drew on no budget.
    pub free_retries: u32,
    /// Hedges that found no free slot.
    pub busy_hedges: u32,
    /// The last hedge drew on the budget.
    pub hedge_charged: bool,
    /// Keys not read yet; sorted, not overlapping.
    pub gaps: Vec<KeyRange>,
    /// Refusals as overloaded.
    pub overloaded_refusals: u32,
    /// What the next send draws on.
    pub next_send_cost: SendCost,
    /// Keys that were read; disjoint from `gaps`.
    pub read: Vec<KeyRange>,
    /// Longest time that a refusal named for another try.
    pub retry_after_us: u64,
    /// Rows of `read`.
    pub rows: Vec<Row>,
    /// Sub-requests sent.
    pub sends: u32,
    /// Service that holds the keys.
    pub service: ServiceKey,
    /// Tells the current timer from those set before.
    pub timer_id: u64,
    /// Where the part stands.
    pub state: PartState,
    /// Replicas that were sent to.
    pub tried: Vec<ReplicaKey>,
    /// Waits so far.
    pub waits: u32,
}

impl QueryPart {
    /// A part that was not sent yet.
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

    /// Smallest range that holds every gap.
    pub fn enclosing_range(&self) -> KeyRange {
        KeyRange {
            start: self.gaps.first().map_or(0, |gap| gap.start),
            end: self.gaps.last().map_or(0, |gap| gap.end),
        }
    }

    /// Takes from a reply the keys that are still missing and their rows; returns the
    /// number of rows that were dropped.
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

    /// Whether nothing more can arrive for the part.
    pub const fn finished(&self) -> bool {
        matches!(self.state, PartState::Done | PartState::Failed(_))
    }
}

/// Whether a range of the sorted, disjoint `ranges` holds `key`.
fn holds(ranges: &[KeyRange], key: u64) -> bool {
    let after = ranges.partition_point(|range| range.start <= key);
    after > 0 && ranges[after - 1].contains(key)
}

fn push_if_not_empty(ranges: &mut Vec<KeyRange>, start: u64, end: u64) {
    if start < end {
        ranges.push(KeyRange { start, end });
    }
}
