//! Checks the trace of a session against the guarantees of the tier: one answer to each request,
//! given by its deadline, with a true verdict and coverage; at most one execution of each write;
//! and the limits of the targets.

mod limits;
mod request;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use limits::LimitChecker;
use request::AttemptOrder;
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

/// Sub-request that an entry node sent.
struct Attempt {
    /// Whether the entry node has received the reply, cancelled the attempt or detected
    /// the loss of the owner.
    closed: bool,
    id: QueryId,
    owner: NodeKey,
}

/// Replays a trace and collects violations of the guarantees.
pub struct Oracle {
    attempts: BTreeMap<AttemptId, Attempt>,
    queries_by_deadline: BTreeMap<u64, QueryId>,
    /// Number of executions of each write over all targets, by request id.
    execution_counts: BTreeMap<String, u32>,
    limits: LimitChecker,
    stopped_nodes: BTreeSet<NodeKey>,
    /// End of the last pause of each node.
    pause_ends_us: BTreeMap<NodeKey, u64>,
    requests: BTreeMap<QueryId, Request>,
    /// Token that each write has put into its claim, the stored record that lets one attempt run.
    claim_tokens: BTreeMap<QueryId, u64>,
    violations: Vec<String>,
}

impl Oracle {
    /// Returns the violations in a session, each with its time in microseconds.
    pub fn check(deployment: &Deployment, session: &Session) -> Vec<String> {
        let mut oracle = Self {
            attempts: BTreeMap::new(),
            queries_by_deadline: BTreeMap::new(),
            execution_counts: BTreeMap::new(),
            limits: LimitChecker::new(deployment),
            stopped_nodes: BTreeSet::new(),
            pause_ends_us: BTreeMap::new(),
            requests: BTreeMap::new(),
            claim_tokens: BTreeMap::new(),
            violations: Vec::new(),
        };
        for (at_us, event) in session.trace() {
            oracle.apply(*at_us, event);
        }
        oracle.check_end(session);
        oracle.violations
    }

    fn apply(&mut self, at_us: u64, event: &TraceEvent) {
        let violations = self.limits.apply(at_us, event);
        self.violations
            .extend(violations.into_iter().map(|it| format!("{at_us}: {it}")));
        match event {
            TraceEvent::Answered(node, id, answer) => self.check_answer(at_us, *node, *id, answer),
            TraceEvent::NodeLost(node, lost) => {
                for (attempt, it) in &mut self.attempts {
                    // In a session, the boot id of a node is its key plus one.
                    let from = NodeKey((attempt.boot - 1) as u32);
                    it.closed |= from == *node && it.owner == *lost;
                }
            }
            TraceEvent::Read(node, read) => self.insert(read.id, Request::read(*node, read)),
            TraceEvent::Received {
                message: Message::Reply(attempt, outcome, _),
                ..
            } => self.record_reply(at_us, *attempt, outcome),
            TraceEvent::Sent {
                delivery: _,
                from: _,
                message,
                to,
            } => self.record_send(at_us, *to, message),
            TraceEvent::StoreCalled(_, id, claim, _) => {
                self.claim_tokens.insert(*id, claim.token);
            }
            TraceEvent::StoreReplied(_, id, ClaimResult::Conflict { held, .. }) => {
                // Another attempt holds the claim.
                if self.claim_tokens.get(id) != Some(&held.token)
                    && let Some(request) = self.requests.get_mut(id)
                {
                    request.attempt_order = AttemptOrder::Repeat;
                }
            }
            TraceEvent::Step(Step::PauseNode(node, us)) => {
                let until_us = self.pause_ends_us.entry(*node).or_default();
                *until_us = (*until_us).max(at_us + us);
            }
            TraceEvent::Step(Step::StopNode(node)) => {
                self.stopped_nodes.insert(*node);
            }
            TraceEvent::RequestBegan(_, sub, _) => self.check_execution(at_us, sub),
            TraceEvent::Write(node, write) => {
                let mut request = Request::write(*node, write);
                if self.is_resent_first(write) {
                    request.attempt_order = AttemptOrder::FirstOfSeveral;
                }
                self.insert(write.id, request);
            }
            _ => {}
        }
    }

    /// Returns whether a write is sent as a first attempt although another attempt of it
    /// has arrived. Any unanswered attempt may then be the first, so those marked `First`
    /// become `FirstOfSeveral`.
    fn is_resent_first(&mut self, write: &WriteQuery) -> bool {
        let request_id = &*write.request_id;
        let attempts = self.requests.values_mut();
        let mut attempts = attempts
            .filter(|it| it.write.as_deref() == Some(request_id))
            .peekable();
        let is_resent = write.first_attempt && attempts.peek().is_some();
        for it in attempts {
            if is_resent && it.attempt_order == AttemptOrder::First && !it.answered {
                it.attempt_order = AttemptOrder::FirstOfSeveral;
            }
        }
        is_resent
    }

    fn insert(&mut self, id: QueryId, request: Request) {
        self.queries_by_deadline.insert(request.deadline_us, id);
        self.requests.insert(id, request);
    }

    fn record_send(&mut self, at_us: u64, to: NodeKey, message: &Message) {
        match message {
            Message::Cancel(attempt) => {
                if let Some(it) = self.attempts.get_mut(attempt) {
                    it.closed = true;
                }
            }
            Message::Submit(sub) => {
                let id = self.queries_by_deadline[&sub.deadline_us];
                let attempt = Attempt {
                    closed: false,
                    id,
                    owner: to,
                };
                if self.attempts.insert(sub.attempt, attempt).is_some() {
                    self.violations.push(format!(
                        "{at_us}: attempt id {:?} was used twice",
                        sub.attempt
                    ));
                }
            }
            _ => {}
        }
    }

    /// Records the ranges that a reply delivers. The reply to a closed attempt is skipped,
    /// since the entry node drops it.
    fn record_reply(&mut self, at_us: u64, attempt: AttemptId, outcome: &SubOutcome) {
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
            let request = self
                .requests
                .get_mut(&it.id)
                .expect("the request has arrived");
            let in_time = at_us < request.deadline_us;
            let ranges = ranges.iter().map(|it| (*version, *it, in_time));
            request.delivered.extend(ranges);
        }
    }

    /// Checks that a request that is not idempotent runs at most once over all targets.
    fn check_execution(&mut self, at_us: u64, sub: &SubRequest) {
        let id = self.queries_by_deadline[&sub.deadline_us];
        let request = self.requests.get_mut(&id).expect("the request has arrived");
        request.ran = true;
        if let Operation::Write { request_id, .. } = &sub.operation {
            let count = self
                .execution_counts
                .entry(request_id.to_string())
                .or_default();
            *count += 1;
            if *count > 1 {
                self.violations
                    .push(format!("{at_us}: {request_id} ran {count} times"));
            }
        }
    }

    fn check_answer(&mut self, at_us: u64, node: NodeKey, id: QueryId, answer: &Answer) {
        let request = self.requests.get_mut(&id).expect("the request has arrived");
        let mut violations = Vec::new();
        // A caller gets one answer, from the node that it sent the request to, for the requested
        // range.
        if std::mem::replace(&mut request.answered, true) {
            violations.push("second answer to one request".to_owned());
        }
        if request.node != node || answer.coverage.requested != request.range {
            violations.push("answer to another request".to_owned());
        }
        // A paused node cannot answer before the end of its pause.
        let paused_us = self.pause_ends_us.get(&node).copied().unwrap_or(0);
        if at_us > request.deadline_us.max(paused_us) {
            violations.push("answer after the deadline".to_owned());
        }
        let refused = matches!(
            answer.status,
            AnswerStatus::Failed(_) | AnswerStatus::Refused(_)
        );
        if refused && answer.retry_after_ms.is_none() {
            violations.push("refusal without a retry-after time".to_owned());
        }
        request.verdict = Some(answer.verdict);
        if let Some(write) = &request.write {
            let ran = self.execution_counts.contains_key(write);
            // Another attempt may have run a write that this one has not.
            if request.attempt_order != AttemptOrder::FirstOfSeveral
                || answer.verdict != Verdict::NotRun
            {
                check_verdict(answer.verdict, ran, &mut violations);
            }
        } else {
            check_verdict(answer.verdict, request.ran, &mut violations);
            check_read(request, answer, &mut violations);
        }
        let violations = violations.into_iter();
        self.violations
            .extend(violations.map(|it| format!("{at_us}: caller {}: {it}", id.0)));
    }

    fn check_end(&mut self, session: &Session) {
        for (id, request) in &self.requests {
            // The callers of a stopped node lose their connection and get no answer.
            if !request.answered && !self.stopped_nodes.contains(&request.node) {
                self.violations
                    .push(format!("caller {} has no answer", id.0));
            }
            // The verdict "not run" also covers executions after the answer.
            if request.verdict == Some(Verdict::NotRun) && request.ran {
                self.violations
                    .push(format!("caller {}: ran after the answer \"not run\"", id.0));
            }
        }
        let exceeded = session.limit_violations();
        if exceeded != (0, 0) {
            self.violations.push(format!(
                "exceeded limits (slots, connections): {exceeded:?}"
            ));
        }
    }
}

/// Returns whether every attempt of a write was answered or its node has stopped.
pub fn write_is_settled(session: &Session, request: u32) -> bool {
    let request_id = format!("request-{request}");
    let mut unanswered: BTreeMap<NodeKey, u32> = BTreeMap::new();
    let mut open = BTreeMap::new();
    for (_, event) in session.trace() {
        match event {
            TraceEvent::Answered(_, id, _) => {
                if let Some(node) = open.remove(id) {
                    *unanswered.entry(node).or_default() -= 1;
                }
            }
            TraceEvent::Step(Step::StopNode(node)) => {
                unanswered.remove(node);
            }
            // A write to a stopped node never arrives: its caller gets no connection.
            TraceEvent::Step(Step::Write {
                node, request: it, ..
            }) if *it == request => *unanswered.entry(*node).or_default() += 1,
            TraceEvent::Write(node, write) if *write.request_id == *request_id => {
                open.insert(write.id, *node);
            }
            _ => {}
        }
    }
    unanswered.values().all(|count| *count == 0)
}
