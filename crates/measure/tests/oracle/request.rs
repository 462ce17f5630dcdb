//! What a caller asked for, and whether its answer is true.

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

/// What the caller said of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mark {
    /// The first attempt.
    First,
    /// The first attempt, but there is another one with its id, and its node has seen no
    /// claim of that one. What it says before it sends rests on the word of the caller.
    FirstOfSeveral,
    /// Not the first attempt.
    Repeat,
}

/// A request of a caller.
pub struct Request {
    pub answered: bool,
    pub deadline_us: u64,
    /// Ranges that replies brought to the coordinator, with their version, and whether
    /// they came before the deadline.
    pub delivered: Vec<(IndexVersion, KeyRange, bool)>,
    pub demand: CoverageDemand,
    pub mark: Mark,
    pub node: NodeKey,
    pub range: KeyRange,
    /// A target began one of its sub-requests.
    pub ran: bool,
    pub verdict: Option<Verdict>,
    /// Request id, if it is a write.
    pub write: Option<String>,
}

impl Request {
    /// A read that arrived at a node.
    pub fn read(node: NodeKey, read: &ReadQuery) -> Self {
        Self {
            answered: false,
            deadline_us: read.deadline_us,
            delivered: Vec::new(),
            demand: read.demand,
            mark: Mark::Repeat,
            node,
            range: read.range,
            ran: false,
            verdict: None,
            write: None,
        }
    }

    /// A write that arrived at a node.
    pub fn write(node: NodeKey, write: &WriteQuery) -> Self {
        Self {
            answered: false,
            deadline_us: write.deadline_us,
            delivered: Vec::new(),
            demand: CoverageDemand::Full,
            mark: if write.first_attempt {
                Mark::First
            } else {
                Mark::Repeat
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

/// Promise 6: a refusal that says "not run" is true.
pub fn check_verdict(verdict: Verdict, ran: bool, wrong: &mut Vec<String>) {
    match verdict {
        Verdict::NotRun if ran => wrong.push("a false \"not run\"".to_owned()),
        Verdict::Ran if !ran => wrong.push("a false \"ran\"".to_owned()),
        _ => {}
    }
}

/// Promises 1 and 2: one snapshot, and true coverage.
pub fn check_read(request: &Request, answer: &Answer, wrong: &mut Vec<String>) {
    let coverage = &answer.coverage;
    let absent: Vec<KeyRange> = coverage.absent.iter().map(|it| it.range).collect();
    let parts = [coverage.read.as_slice(), &absent].concat();
    let all = RangeSet::from_ranges(&parts);
    let width: u64 = parts.iter().map(|it| it.width()).sum();
    if width != request.range.width() || !all.covers(request.range) {
        wrong.push("read and absent ranges are not the requested range".to_owned());
    }
    let whole = absent.is_empty();
    let labelled = match answer.status {
        AnswerStatus::Whole => whole,
        AnswerStatus::Partial => !whole && request.demand == CoverageDemand::Partial,
        AnswerStatus::Failed(_) | AnswerStatus::Refused(_) => answer.rows.is_empty(),
    };
    if !labelled {
        wrong.push("a wrong status".to_owned());
    }
    let Some(version) = answer.snapshot else {
        if !answer.rows.is_empty() || !coverage.read.is_empty() {
            wrong.push("rows without a snapshot".to_owned());
        }
        return;
    };
    let rows = coverage.read.iter();
    let rows: Vec<_> = rows.flat_map(|it| Session::rows(*it, version)).collect();
    if answer.rows != rows {
        wrong.push("not the rows of the snapshot".to_owned());
    }
    let delivered = |late: bool| {
        let delivered = request.delivered.iter();
        let delivered = delivered.filter(|it| it.0 == version && (late || it.2));
        RangeSet::from_ranges(&delivered.map(|it| it.1).collect::<Vec<_>>())
    };
    let all = delivered(true);
    if !coverage.read.iter().all(|it| all.covers(*it)) {
        wrong.push("a read range that no reply brought".to_owned());
    }
    // A node that was paused finds replies and the end of the deadline together. It
    // answers as of the deadline, so replies after it are not read.
    let in_time = delivered(false);
    let is_absent = |it: &KeyRange| in_time.gaps(*it) == [*it];
    if matches!(answer.status, AnswerStatus::Partial) && !absent.iter().all(is_absent) {
        wrong.push("an absent range that a reply brought".to_owned());
    }
}
