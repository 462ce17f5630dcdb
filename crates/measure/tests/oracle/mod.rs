//! Checks the trace of a session against the promises of the design page.

mod limits;
mod request;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use limits::Limits;
use request::Mark;
use request::Request;
use request::check_read;
use request::check_verdict;
use wigeonhall_measure::Message;
use wigeonhall_measure::Session;
use wigeonhall_measure::Step;
use wigeonhall_measure::TraceEvent;
use wigeonhall_query::Answer;
use wigeonhall_query::AnswerStatus;
use wigeonhall_query::ClaimResult;
use wigeonhall_query::QueryId;
use wigeonhall_query::WriteQuery;
use wigeonhall_types::AttemptId;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::Operation;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;
use wigeonhall_types::Verdict;

/// A sub-request that an entry node sent.
struct Attempt {
    /// The entry node has its reply, gave it up or found its owner lost.
    closed: bool,
    id: QueryId,
    owner: NodeKey,
}

/// What the trace has shown so far.
pub struct Oracle {
    attempts: BTreeMap<AttemptId, Attempt>,
    by_deadline: BTreeMap<u64, QueryId>,
    /// Executions of each write over all targets.
    executed: BTreeMap<String, u32>,
    limits: Limits,
    lost: BTreeSet<NodeKey>,
    /// End of the last pause of each node.
    pauses: BTreeMap<NodeKey, u64>,
    requests: BTreeMap<QueryId, Request>,
    /// Token of the claim of each write.
    tokens: BTreeMap<QueryId, u64>,
    /// Broken promises.
    wrong: Vec<String>,
}

impl Oracle {
    /// Returns what a session broke, with times in microseconds.
    pub fn check(deployment: &Deployment, session: &Session) -> Vec<String> {
        let mut oracle = Self {
            attempts: BTreeMap::new(),
            by_deadline: BTreeMap::new(),
            executed: BTreeMap::new(),
            limits: Limits::new(deployment),
            lost: BTreeSet::new(),
            pauses: BTreeMap::new(),
            requests: BTreeMap::new(),
            tokens: BTreeMap::new(),
            wrong: Vec::new(),
        };
        for (at_us, event) in session.trace() {
            oracle.see(*at_us, event);
        }
        oracle.end(session);
        oracle.wrong
    }

    fn see(&mut self, at_us: u64, event: &TraceEvent) {
        let broken = self.limits.see(at_us, event);
        self.wrong
            .extend(broken.into_iter().map(|it| format!("{at_us}: {it}")));
        match event {
            TraceEvent::Answered(node, id, answer) => self.answered(at_us, *node, *id, answer),
            TraceEvent::NodeLost(node, lost) => {
                for (attempt, it) in &mut self.attempts {
                    let from = NodeKey((attempt.boot - 1) as u32);
                    it.closed |= from == *node && it.owner == *lost;
                }
            }
            TraceEvent::Read(node, read) => self.open(read.id, Request::read(*node, read)),
            TraceEvent::Received {
                message: Message::Reply(attempt, outcome, _),
                ..
            } => self.reply(at_us, *attempt, outcome),
            TraceEvent::Sent {
                fate: _,
                from: _,
                message,
                to,
            } => self.sent(at_us, *to, message),
            TraceEvent::StoreCalled(_, id, claim, _) => {
                self.tokens.insert(*id, claim.token);
            }
            TraceEvent::StoreReplied(_, id, ClaimResult::Conflict { held, .. }) => {
                if self.tokens.get(id) != Some(&held.token)
                    && let Some(request) = self.requests.get_mut(id)
                {
                    request.mark = Mark::Repeat;
                }
            }
            TraceEvent::Step(Step::Pause(node, us)) => {
                let until_us = self.pauses.entry(*node).or_default();
                *until_us = (*until_us).max(at_us + us);
            }
            TraceEvent::Step(Step::Stop(node)) => {
                self.lost.insert(*node);
            }
            TraceEvent::RequestBegan(_, sub, _) => self.began(at_us, sub),
            TraceEvent::Write(node, write) => {
                let mut request = Request::write(*node, write);
                if self.is_copy(write) {
                    request.mark = Mark::FirstOfSeveral;
                }
                self.open(write.id, request);
            }
            _ => {}
        }
    }

    /// Whether a write is marked as a first attempt but is not the only one. Then no
    /// attempt so marked that is open is the first for certain.
    fn is_copy(&mut self, write: &WriteQuery) -> bool {
        let name = &*write.request_id;
        let same = self.requests.values_mut();
        let mut same = same
            .filter(|it| it.write.as_deref() == Some(name))
            .peekable();
        let copy = write.first_attempt && same.peek().is_some();
        for it in same {
            if copy && it.mark == Mark::First && !it.answered {
                it.mark = Mark::FirstOfSeveral;
            }
        }
        copy
    }

    fn open(&mut self, id: QueryId, request: Request) {
        self.by_deadline.insert(request.deadline_us, id);
        self.requests.insert(id, request);
    }

    fn sent(&mut self, at_us: u64, to: NodeKey, message: &Message) {
        match message {
            Message::Cancel(attempt) => {
                if let Some(it) = self.attempts.get_mut(attempt) {
                    it.closed = true;
                }
            }
            Message::Submit(sub) => {
                let id = self.by_deadline[&sub.deadline_us];
                let attempt = Attempt {
                    closed: false,
                    id,
                    owner: to,
                };
                if self.attempts.insert(sub.attempt, attempt).is_some() {
                    self.wrong
                        .push(format!("{at_us}: {:?} was used twice", sub.attempt));
                }
            }
            _ => {}
        }
    }

    /// A reply that arrives after its attempt was closed is dropped, as the design page
    /// says, so what it carries is not read.
    fn reply(&mut self, at_us: u64, attempt: AttemptId, outcome: &SubOutcome) {
        let Some(it) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if std::mem::replace(&mut it.closed, true) {
            return;
        }
        if let SubOutcome::Answered {
            ranges, version, ..
        } = outcome
        {
            let request = self.requests.get_mut(&it.id).expect("it was opened");
            let in_time = at_us < request.deadline_us;
            let ranges = ranges.iter().map(|it| (*version, *it, in_time));
            request.delivered.extend(ranges);
        }
    }

    /// Promise 7: a request that is not idempotent runs at most once, over all targets.
    fn began(&mut self, at_us: u64, sub: &SubRequest) {
        let id = self.by_deadline[&sub.deadline_us];
        let request = self.requests.get_mut(&id).expect("it was opened");
        request.ran = true;
        if let Operation::Write { request_id, .. } = &sub.operation {
            let count = self.executed.entry(request_id.to_string()).or_default();
            *count += 1;
            if *count > 1 {
                self.wrong
                    .push(format!("{at_us}: {request_id} ran {count} times"));
            }
        }
    }

    fn answered(&mut self, at_us: u64, node: NodeKey, id: QueryId, answer: &Answer) {
        let request = self.requests.get_mut(&id).expect("it was opened");
        let mut wrong = Vec::new();
        // Promise 5: one answer, from the node that was asked, on what was asked.
        if std::mem::replace(&mut request.answered, true) {
            wrong.push("a second answer".to_owned());
        }
        if request.node != node || answer.coverage.requested != request.range {
            wrong.push("the answer of another request".to_owned());
        }
        // A paused node answers late; nothing it could do would change that.
        let paused_us = self.pauses.get(&node).copied().unwrap_or(0);
        if at_us > request.deadline_us.max(paused_us) {
            wrong.push("an answer after the deadline".to_owned());
        }
        let refused = matches!(
            answer.status,
            AnswerStatus::Failed(_) | AnswerStatus::Refused(_)
        );
        if refused && answer.retry_after_ms.is_none() {
            wrong.push("a refusal without a retry-after time".to_owned());
        }
        request.verdict = Some(answer.verdict);
        if let Some(write) = &request.write {
            let ran = self.executed.contains_key(write);
            if request.mark != Mark::FirstOfSeveral || answer.verdict != Verdict::NotRun {
                check_verdict(answer.verdict, ran, &mut wrong);
            }
        } else {
            check_verdict(answer.verdict, request.ran, &mut wrong);
            check_read(request, answer, &mut wrong);
        }
        let wrong = wrong.into_iter();
        self.wrong
            .extend(wrong.map(|it| format!("{at_us}: caller {}: {it}", id.0)));
    }

    fn end(&mut self, session: &Session) {
        for (id, request) in &self.requests {
            // A caller of a lost node sees a broken connection instead of an answer.
            if !request.answered && !self.lost.contains(&request.node) {
                self.wrong.push(format!("caller {} has no answer", id.0));
            }
            // Promise 6 holds for what happens after the answer, too.
            if request.verdict == Some(Verdict::NotRun) && request.ran {
                self.wrong
                    .push(format!("caller {}: ran after a \"not run\"", id.0));
            }
        }
        let over = session.limit_violations();
        if over != (0, 0) {
            self.wrong
                .push(format!("over the slots and connections: {over:?}"));
        }
    }
}

/// Whether the trace shows an answer to every attempt of a write, or the end of its node.
pub fn write_is_settled(session: &Session, request: u32) -> bool {
    let name = format!("request-{request}");
    let mut issued: BTreeMap<NodeKey, u32> = BTreeMap::new();
    let mut open = BTreeMap::new();
    for (_, event) in session.trace() {
        match event {
            TraceEvent::Answered(_, id, _) => {
                if let Some(node) = open.remove(id) {
                    *issued.entry(node).or_default() -= 1;
                }
            }
            TraceEvent::Step(Step::Stop(node)) => {
                issued.remove(node);
            }
            // A caller finds no connection to a node that ended before.
            TraceEvent::Step(Step::Write {
                node, request: it, ..
            }) if *it == request => *issued.entry(*node).or_default() += 1,
            TraceEvent::Write(node, write) if *write.request_id == *name => {
                open.insert(write.id, *node);
            }
            _ => {}
        }
    }
    issued.values().all(|count| *count == 0)
}
