//! Requests of callers, and checks of their answers.

use wigeonhall_measure::Session;
use wigeonhall_query::Answer;
use wigeonhall_query::AnswerStatus;
use wigeonhall_query::CoverageDemand;
use wigeonhall_query::ReadQuery;
use wigeonhall_query::WriteQuery;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::RangeSet;
use wigeonhall_types::Verdict;

/// Position of a write among the attempts with its request id, as its node sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOrder {
    /// First attempt.
    First,
    /// Sent as the first attempt, but another attempt has the same id and the node has not found
    /// its claim (the stored record that lets one attempt run). Until the node sends the write,
    /// its verdict relies on the mark of the first attempt that the caller has set.
    FirstOfSeveral,
    /// Repeated attempt.
    Repeat,
}

/// Request of a caller, with what the trace shows of it.
pub struct Request {
    pub answered: bool,
    pub deadline_us: u64,
    /// Version and range of each reply that the coordinating node received, and whether it
    /// arrived before the deadline.
    pub delivered: Vec<(IndexVersion, KeyRange, bool)>,
    pub demand: CoverageDemand,
    pub attempt_order: AttemptOrder,
    pub node: NodeKey,
    pub range: KeyRange,
    /// Whether a target began to run one of its sub-requests.
    pub ran: bool,
    pub verdict: Option<Verdict>,
    /// Request id, if it is a write.
    pub write: Option<String>,
}

impl Request {
    /// Creates the record of a read that arrived at a node.
    pub fn read(node: NodeKey, read: &ReadQuery) -> Self {
        Self {
            answered: false,
            deadline_us: read.deadline_us,
            delivered: Vec::new(),
            demand: read.demand,
            // Not used for reads.
            attempt_order: AttemptOrder::Repeat,
            node,
            range: read.range,
            ran: false,
            verdict: None,
            write: None,
        }
    }

    /// Creates the record of a write that arrived at a node.
    pub fn write(node: NodeKey, write: &WriteQuery) -> Self {
        Self {
            answered: false,
            deadline_us: write.deadline_us,
            delivered: Vec::new(),
            demand: CoverageDemand::Full,
            attempt_order: if write.first_attempt {
                AttemptOrder::First
            } else {
                AttemptOrder::Repeat
            },
            node,
            range: KeyRange {
                start: write.key,
                end: write.key + 1,
            },
            ran: false,
            verdict: None,
            write: Some(write.request_id.to_string()),
        }
    }
}

/// Checks that the verdicts "not run" and "ran" are true.
pub fn check_verdict(verdict: Verdict, ran: bool, violations: &mut Vec<String>) {
    match verdict {
        Verdict::NotRun if ran => violations.push("false verdict \"not run\"".to_owned()),
        Verdict::Ran if !ran => violations.push("false verdict \"ran\"".to_owned()),
        _ => {}
    }
}

/// Checks that a read returns rows of one snapshot (index version) and its true coverage.
pub fn check_read(request: &Request, answer: &Answer, violations: &mut Vec<String>) {
    let coverage = &answer.coverage;
    let absent: Vec<KeyRange> = coverage.absent.iter().map(|it| it.range).collect();
    let ranges = [coverage.read.as_slice(), &absent].concat();
    let all = RangeSet::from_ranges(&ranges);
    let width: u64 = ranges.iter().map(|it| it.width()).sum();
    if width != request.range.width() || !all.covers(request.range) {
        violations.push("read and absent ranges do not add up to the requested range".to_owned());
    }
    let whole = absent.is_empty();
    let status_matches = match answer.status {
        AnswerStatus::Whole => whole,
        AnswerStatus::Partial => !whole && request.demand == CoverageDemand::Partial,
        AnswerStatus::Failed(_) | AnswerStatus::Refused(_) => answer.rows.is_empty(),
    };
    if !status_matches {
        violations.push("status does not match the coverage".to_owned());
    }
    let Some(snapshot) = answer.snapshot else {
        if !answer.rows.is_empty() || !coverage.read.is_empty() {
            violations.push("rows without a snapshot".to_owned());
        }
        return;
    };
    let rows = coverage.read.iter();
    let rows: Vec<_> = rows.flat_map(|it| Session::rows(*it, snapshot)).collect();
    if answer.rows != rows {
        violations.push("rows differ from those of the snapshot".to_owned());
    }
    let delivered = |include_late: bool| {
        let delivered = request.delivered.iter();
        let delivered = delivered.filter(|it| it.0 == snapshot && (include_late || it.2));
        RangeSet::from_ranges(&delivered.map(|it| it.1).collect::<Vec<_>>())
    };
    let all = delivered(true);
    if !coverage.read.iter().all(|it| all.covers(*it)) {
        violations.push("read range that no reply delivered".to_owned());
    }
    // On resuming, a paused node processes late replies and the passed deadline together.
    // It answers as of the deadline and ignores replies that arrived after it.
    let in_time = delivered(false);
    let is_absent = |it: &KeyRange| in_time.gaps(*it) == [*it];
    if matches!(answer.status, AnswerStatus::Partial) && !absent.iter().all(is_absent) {
        violations.push("absent range that a reply delivered".to_owned());
    }
}
