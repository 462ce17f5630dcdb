//! Checks of the actions of the coordinator.

use super::*;
use crate::prelude::*;

impl Oracle {
    pub(super) fn check(&mut self, action: QueryAction) {
        match action {
            QueryAction::Answer { id, answer } => self.check_answer(id, &answer),
            QueryAction::AskReports(_) | QueryAction::Cancel { .. } => {}
            QueryAction::CreateClaim { .. } | QueryAction::UpdateClaim { .. } => {
                self.store_calls.push(action);
            }
            QueryAction::Send { node, sub } => self.check_send(node, sub),
        }
    }

    pub(super) fn check_send(&mut self, node: NodeKey, sub: SubRequest) {
        assert!(
            !self.deployment.is_replica_out(sub.replica),
            "sent to a replica that is out"
        );
        assert_eq!(
            self.owners.get(&sub.replica),
            Some(&node),
            "sent to a stranger"
        );
        assert!(sub.version.is_some(), "not pinned");
        assert!(sub.deadline_us > self.now_us, "sent after the deadline");
        let sequence = sub.attempt.sequence;
        if let Operation::Write { request_id, .. } = &sub.operation {
            let before = self.writes.entry(Arc::clone(request_id)).or_default();
            assert!(
                before.values().all(|not_run| *not_run),
                "write sent again without proof"
            );
            before.insert(sequence, false);
        } else {
            let is_open = self
                .open
                .values()
                .any(|it| it.deadline_us == sub.deadline_us);
            assert!(is_open, "sent for a query that is not open");
            let sends = self.reads.entry(sub.deadline_us).or_default();
            sends.insert(sequence, false);
        }
        self.pending.push(sub);
    }

    pub(super) fn check_answer(&mut self, id: QueryId, answer: &Answer) {
        let query = self
            .open
            .remove(&id)
            .expect("answered twice, or caller gone");
        assert!(
            self.now_us <= query.deadline_us,
            "answered after the deadline"
        );
        let whole = answer.status == AnswerStatus::Whole;
        assert_eq!(answer.retry_after_ms.is_none(), whole);
        if let Some((range, demand)) = query.read {
            return self.check_read(query.deadline_us, range, demand, answer);
        }
        let request_id = query.request_id.expect("a write has a request id");
        let sends = self.writes.get(&request_id);
        let mut sends = sends.into_iter().flat_map(BTreeMap::values);
        let executed = self.executed.get(&request_id).copied().unwrap_or(0);
        match answer.verdict {
            Verdict::NotRun => assert!(sends.all(|not_run| *not_run), "false not run"),
            Verdict::MayHaveRun => {}
            Verdict::Ran => assert_eq!(executed, 1, "false ran"),
        }
    }

    pub(super) fn check_read(
        &self,
        deadline_us: u64,
        asked: KeyRange,
        demand: CoverageDemand,
        answer: &Answer,
    ) {
        let coverage = &answer.coverage;
        assert_eq!(coverage.requested, asked);
        let absent = coverage.absent.iter().map(|it| it.range);
        let mut tiles: Vec<KeyRange> = coverage.read.iter().copied().chain(absent).collect();
        tiles.sort_unstable();
        let mut end = asked.start;
        for tile in tiles {
            assert_eq!(tile.start, end, "hole or overlap in {coverage:?}");
            assert!(!tile.is_empty());
            end = tile.end;
        }
        assert_eq!(end, asked.end);
        let some_read = !coverage.read.is_empty();
        let status = match answer.status {
            AnswerStatus::Whole => coverage.absent.is_empty(),
            AnswerStatus::Partial => demand == CoverageDemand::Partial && some_read,
            AnswerStatus::Failed(_) | AnswerStatus::Refused(_) => !some_read,
        };
        assert!(status, "status {:?} with {coverage:?}", answer.status);
        let Some(version) = answer.snapshot else {
            assert!(!some_read && answer.rows.is_empty());
            let sends = self.reads.get(&deadline_us);
            let mut sends = sends.into_iter().flat_map(BTreeMap::values);
            if answer.verdict == Verdict::NotRun {
                assert!(sends.all(|not_run| *not_run), "false not run");
            }
            return;
        };
        assert_eq!(answer.verdict, Verdict::Ran);
        let spoken = self.spoken.get(&(deadline_us, version.0));
        let spoken = RangeSet::from_ranges(spoken.map_or(&[][..], |it| it));
        for read in &coverage.read {
            assert!(spoken.covers(*read), "no reply spoke for {read:?}");
        }
        let truth: Vec<Row> = coverage
            .read
            .iter()
            .flat_map(|it| rows(*it, version.0))
            .collect();
        assert_eq!(
            answer.rows, truth,
            "rows differ from the shards at {version:?}"
        );
    }
}
