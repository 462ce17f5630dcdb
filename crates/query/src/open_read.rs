//! State of a read that is not answered yet, and the construction of its answer. A read is split
//! into legs, each the share of it that one shard service answers.

use crate::AbsentRange;
use crate::AbsentReason;
use crate::Answer;
use crate::AnswerStatus;
use crate::Coverage;
use crate::CoverageDemand;
use crate::ReadQuery;
use crate::query_leg::LegState;
use crate::query_leg::QueryLeg;
use crate::version_plan::VersionPlan;
use wigeonhall_types::FailureReason;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::RangeSet;
use wigeonhall_types::Row;
use wigeonhall_types::Verdict;

/// A read that is not answered yet.
#[derive(Clone, Debug)]
pub struct OpenRead {
    /// Number of legs that are neither done nor failed.
    pub unfinished_legs: usize,
    /// Whether a sub-request ran or may run; if so, the verdict must not be "not run".
    pub may_have_run: bool,
    /// Legs at the pinned version, the index version that all legs read at; empty before a version
    /// is pinned.
    pub legs: Vec<QueryLeg>,
    /// Version that every row is read at.
    pub pinned_version: Option<IndexVersion>,
    /// Request of the caller.
    pub query: ReadQuery,
    /// Local time at which the request arrived.
    pub received_us: u64,
    /// Number of restarts so far.
    pub restarts: u32,
    /// Id of the `Wait` timer while no version is pinned; 0 if none was set.
    pub wait_timer_id: u64,
}

impl OpenRead {
    /// Creates a read without a pinned version.
    pub const fn new(now_us: u64, query: ReadQuery) -> Self {
        Self {
            unfinished_legs: 0,
            may_have_run: false,
            legs: Vec::new(),
            pinned_version: None,
            query,
            received_us: now_us,
            restarts: 0,
            wait_timer_id: 0,
        }
    }

    /// Returns whether the caller requires the whole range.
    pub fn requires_full_coverage(&self) -> bool {
        self.query.demand == CoverageDemand::Full
    }

    /// Splits `range` into legs at the version of `plan`, one for each group of replicas.
    pub fn split_into_legs(plan: &VersionPlan, range: KeyRange) -> Vec<QueryLeg> {
        let mut leg_of_group: Vec<Option<usize>> = vec![None; plan.groups.len()];
        let mut legs: Vec<QueryLeg> = Vec::new();
        for segment in plan.within(range) {
            let index = *leg_of_group[segment.group].get_or_insert_with(|| {
                legs.push(QueryLeg::new(plan.groups[segment.group]));
                legs.len() - 1
            });
            match legs[index].unread.last_mut() {
                Some(last) if last.end == segment.range.start => last.end = segment.range.end,
                _ => legs[index].unread.push(segment.range),
            }
        }
        legs
    }

    /// Returns the number of keys that the legs cover, whether they were read or not.
    pub fn planned_width(&self) -> u64 {
        let ranges = self
            .legs
            .iter()
            .flat_map(|leg| leg.unread.iter().chain(&leg.read));
        ranges.map(|range| range.width()).sum()
    }

    /// Marks a leg as done or failed.
    pub fn end_leg(&mut self, index: usize, state: LegState) {
        if !self.legs[index].finished() {
            self.unfinished_legs -= 1;
        }
        self.legs[index].state = state;
    }

    /// Returns the verdict of an answer without any key read.
    pub fn verdict(&self) -> Verdict {
        let open = self.legs.iter().any(|leg| !leg.open_sequences.is_empty());
        if self.may_have_run || open {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }

    /// Returns a refusal or failure for `reason`, without rows.
    pub fn refusal(&self, reason: AbsentReason, retry_after_ms: u64) -> Answer {
        let verdict = self.verdict();
        let status = match reason {
            AbsentReason::Failed(failure) => AnswerStatus::Failed(failure),
            AbsentReason::DeadlinePassed if verdict != Verdict::NotRun => {
                AnswerStatus::Failed(FailureReason::DeadlineExceeded)
            }
            other => AnswerStatus::Refused(other),
        };
        Answer {
            coverage: Coverage::nothing(self.query.range, reason),
            retry_after_ms: Some(retry_after_ms),
            rows: Vec::new(),
            snapshot: None,
            status,
            verdict,
        }
    }

    /// Returns the answer from the keys read so far. `outstanding_reason` is the reason for keys
    /// whose reply is outstanding, `unplanned_reason` the reason for keys that no leg covers.
    pub fn answer(
        &mut self,
        outstanding_reason: AbsentReason,
        unplanned_reason: AbsentReason,
        retry_ms: u64,
    ) -> Answer {
        let requested = self.query.range;
        let read: Vec<KeyRange> = self.legs.iter().flat_map(|it| it.read.clone()).collect();
        let read = union(read);
        if read.width() == 0 && !requested.is_empty() {
            let reason = self
                .first_failure()
                .map_or(outstanding_reason, |(reason, _)| reason);
            return self.refusal(reason, retry_ms);
        }
        let missing = self.missing(outstanding_reason, unplanned_reason);
        let whole = missing.is_empty();
        Answer {
            coverage: Coverage {
                absent: missing,
                read: read.ranges().to_vec(),
                requested,
            },
            retry_after_ms: (!whole).then_some(retry_ms),
            rows: self.take_rows(),
            snapshot: self.pinned_version,
            status: if whole {
                AnswerStatus::Whole
            } else {
                AnswerStatus::Partial
            },
            verdict: Verdict::Ran,
        }
    }

    /// Returns the reason of the first leg that failed, and the longest retry-after time that
    /// owners stated for it, in microseconds.
    pub fn first_failure(&self) -> Option<(AbsentReason, u64)> {
        self.legs.iter().find_map(|leg| match leg.state {
            LegState::Failed(reason) => Some((reason, leg.retry_after_us)),
            _ => None,
        })
    }

    fn missing(
        &self,
        outstanding_reason: AbsentReason,
        unplanned_reason: AbsentReason,
    ) -> Vec<AbsentRange> {
        let mut missing = Vec::new();
        let mut planned = Vec::new();
        for leg in &self.legs {
            let reason = match leg.state {
                LegState::Failed(reason) | LegState::Waiting(reason) => reason,
                LegState::Done | LegState::Open => outstanding_reason,
            };
            missing.extend(leg.unread.iter().map(|range| AbsentRange {
                range: *range,
                reason,
                service: Some(leg.service),
            }));
            planned.extend(leg.unread.iter().chain(&leg.read));
        }
        let unplanned = union(planned).gaps(self.query.range);
        missing.extend(unplanned.into_iter().map(|range| AbsentRange {
            range,
            reason: unplanned_reason,
            service: None,
        }));
        missing.sort_unstable_by_key(|absent| absent.range);
        missing
    }

    fn take_rows(&mut self) -> Vec<Row> {
        let count = self.legs.iter().map(|leg| leg.rows.len()).sum();
        let mut rows = Vec::with_capacity(count);
        for leg in &mut self.legs {
            rows.append(&mut leg.rows);
        }
        // Legs are usually in key order already, which this sort detects in one scan.
        rows.sort();
        rows
    }
}

fn union(mut ranges: Vec<KeyRange>) -> RangeSet {
    ranges.sort_unstable();
    RangeSet::from_ranges(&ranges)
}
