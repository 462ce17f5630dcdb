//! Checks the actions of the coordinator against a model of the shards, the owners and the store.

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
            "sent to a replica that is out of service"
        );
        assert_eq!(
            self.owners.get(&sub.replica),
            Some(&node),
            "sent to a node that does not own the replica"
        );
        assert!(sub.version.is_some(), "sent without a pinned version");
        assert!(sub.deadline_us > self.now_us, "sent after the deadline");
        let sequence = sub.attempt.sequence;
        if let Operation::Write { request_id, .. } = &sub.operation {
            let before = self.writes.entry(Arc::clone(request_id)).or_default();
            assert!(
                before.values().all(|not_run| *not_run),
                "write sent again without proof that it did not run"
            );
            before.insert(sequence, false);
        } else {
            // Each read has its own deadline, which identifies it.
            let is_open = self
                .open
                .values()
                .any(|it| it.deadline_us == sub.deadline_us);
            assert!(is_open, "sent for a query that is not open");
            let sub_requests = self.reads_by_deadline.entry(sub.deadline_us).or_default();
            sub_requests.insert(sequence, false);
        }
        self.pending.push(sub);
    }

    pub(super) fn check_answer(&mut self, id: QueryId, answer: &Answer) {
        let query = self
            .open
            .remove(&id)
            .expect("answered twice, or after the caller disconnected");
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
        let sub_requests = self.writes.get(&request_id);
        let mut sub_requests = sub_requests.into_iter().flat_map(BTreeMap::values);
        let executed = self.executed.get(&request_id).copied().unwrap_or(0);
        match answer.verdict {
            Verdict::NotRun => assert!(
                sub_requests.all(|not_run| *not_run),
                "verdict is not run, but a sub-request may have run"
            ),
            Verdict::MayHaveRun => {}
            Verdict::Ran => assert_eq!(
                executed, 1,
                "verdict is ran, but the write was not executed once"
            ),
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
        let mut ranges: Vec<KeyRange> = coverage.read.iter().copied().chain(absent).collect();
        ranges.sort_unstable();
        let mut end = asked.start;
        for range in ranges {
            assert_eq!(range.start, end, "gap or overlap in {coverage:?}");
            assert!(!range.is_empty());
            end = range.end;
        }
        assert_eq!(end, asked.end);
        let some_read = !coverage.read.is_empty();
        let status = match answer.status {
            AnswerStatus::Whole => coverage.absent.is_empty(),
            AnswerStatus::Partial => demand == CoverageDemand::Partial && some_read,
            AnswerStatus::Failed(_) | AnswerStatus::Refused(_) => !some_read,
        };
        assert!(
            status,
            "status {:?} does not match {coverage:?}",
            answer.status
        );
        let Some(version) = answer.snapshot else {
            assert!(!some_read && answer.rows.is_empty());
            let sub_requests = self.reads_by_deadline.get(&deadline_us);
            let mut sub_requests = sub_requests.into_iter().flat_map(BTreeMap::values);
            if answer.verdict == Verdict::NotRun {
                assert!(
                    sub_requests.all(|not_run| *not_run),
                    "verdict is not run, but a sub-request may have run"
                );
            }
            return;
        };
        assert_eq!(answer.verdict, Verdict::Ran);
        let read_in_replies = self.read_in_replies.get(&(deadline_us, version.0));
        let read_in_replies = RangeSet::from_ranges(read_in_replies.map_or(&[][..], |it| it));
        for read in &coverage.read {
            assert!(read_in_replies.covers(*read), "no reply covers {read:?}");
        }
        let expected: Vec<Row> = coverage
            .read
            .iter()
            .flat_map(|it| rows(*it, version.0))
            .collect();
        assert_eq!(
            answer.rows, expected,
            "rows differ from the shards at {version:?}"
        );
    }
}
