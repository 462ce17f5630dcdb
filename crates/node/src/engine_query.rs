//! Requests of callers: checks them, passes them to the query core, which decides on their
//! sub-requests, and carries out its actions. A claim is an object in the store that reserves the
//! request id of a write, so that the write runs at most once.

use std::sync::Arc;

use flume::Sender;

use crate::CallerAnswer;
use crate::ReadRequest;
use crate::RequiredCoverage;
use crate::StatusName;
use crate::WriteRequest;
use crate::clock::unix_ms;
use crate::engine::Engine;
use crate::engine::EngineInput;
use crate::engine::OpenRequest;
use crate::engine::ResultReceiver;
use crate::engine::StopStage;
use crate::request_trace::SubRequestClassifier;
use wigeonhall_burn::Outcome;
use wigeonhall_gate::GateEvent;
use wigeonhall_protocol::NamedReport;
use wigeonhall_protocol::ProtocolError;
use wigeonhall_protocol::SubmitMessage;
use wigeonhall_protocol::SubmitReply;
use wigeonhall_query::CoverageDemand;
use wigeonhall_query::QueryAction;
use wigeonhall_query::QueryEvent;
use wigeonhall_query::QueryId;
use wigeonhall_query::ReadQuery;
use wigeonhall_query::WriteQuery;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::ClassKind;
use wigeonhall_types::FailureReason;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;
use wigeonhall_types::Verdict;

/// Retry delay that a refusal gives while the node is not ready.
const NOT_READY_RETRY_DELAY_MS: u64 = 500;

/// Longest deadline that a caller may set.
const MAX_DEADLINE_MS: u64 = 60_000;

/// Caller that an answer goes to.
struct Caller {
    answer_sender: Sender<CallerAnswer>,
    request_id: Arc<str>,
}

impl Engine {
    pub(crate) fn run_query(&mut self, now_us: u64, event: QueryEvent) {
        if let QueryEvent::SubReply {
            attempt, outcome, ..
        } = &event
        {
            self.trace_sub_reply(now_us, *attempt, outcome);
        }
        let mut actions = Vec::new();
        self.coordinator.handle(now_us, event, &mut actions);
        for action in actions {
            self.perform_query_action(now_us, action);
        }
    }

    fn perform_query_action(&mut self, now_us: u64, action: QueryAction) {
        match action {
            QueryAction::Answer { id, answer } => {
                let answer = CallerAnswer::from_answer(answer, &self.catalog);
                self.answer_caller(now_us, id, answer);
            }
            QueryAction::AskReports(node) if node == self.node => self.queue_own_reports(now_us),
            QueryAction::AskReports(node) => self.peers.request_load_reports(node),
            QueryAction::Cancel { attempt, node } if node == self.node => {
                self.pending_inputs
                    .push_back(EngineInput::Gate(GateEvent::Cancel(attempt)));
            }
            QueryAction::Cancel { attempt, node } => self.peers.cancel(node, attempt),
            QueryAction::CreateClaim { claim, id } => self.store.put_claim(id, claim, 0),
            QueryAction::Send { node, sub } => self.send_sub_request(now_us, node, sub),
            QueryAction::UpdateClaim { claim, id, version } => {
                self.store.put_claim(id, claim, version);
            }
        }
    }

    /// Sends a sub-request to the owner of its replica.
    fn send_sub_request(&mut self, now_us: u64, node: NodeKey, sub: SubRequest) {
        self.trace_sub_request(now_us, &sub);
        if node == self.node {
            self.result_receivers
                .insert(sub.attempt, ResultReceiver::Local);
            self.pending_inputs
                .push_back(EngineInput::Gate(GateEvent::Submit(sub)));
        } else {
            let message = SubmitMessage::from_sub_request(&sub, now_us, &self.catalog);
            self.peers.submit(node, message);
        }
    }

    /// Passes the load reports of the replicas that this node owns to its own query core.
    fn queue_own_reports(&mut self, now_us: u64) {
        for (replica, report) in self.gate.reports(now_us) {
            let event = QueryEvent::Report { replica, report };
            self.pending_inputs.push_back(EngineInput::Query(event));
        }
    }

    pub(crate) fn handle_reports(&mut self, reports: Vec<NamedReport>) {
        for NamedReport { replica, report } in reports {
            let replica = self.catalog.replica(&replica);
            let event = QueryEvent::Report { replica, report };
            self.pending_inputs.push_back(EngineInput::Query(event));
        }
    }

    pub(crate) fn handle_sub_reply(
        &mut self,
        attempt: AttemptId,
        node: NodeKey,
        reply: Result<SubmitReply, ProtocolError>,
    ) {
        let event = match reply {
            Ok(reply) => QueryEvent::SubReply {
                attempt,
                outcome: reply.outcome,
                report: reply.report,
            },
            Err(error) => {
                self.metrics.count("node_call_failed");
                log::debug!(
                    "call to node {} failed: {error}",
                    self.catalog.node_name(node)
                );
                QueryEvent::SubReply {
                    attempt,
                    outcome: outcome_without_reply(error),
                    report: None,
                }
            }
        };
        self.pending_inputs.push_back(EngineInput::Query(event));
    }

    pub(crate) fn start_read(
        &mut self,
        request: &ReadRequest,
        answer_sender: Sender<CallerAnswer>,
    ) {
        let now_us = self.clock.now_us();
        let id = QueryId(self.next_query_id);
        self.next_query_id += 1;
        let request_id = self.generate_request_id(id);
        let caller = Caller {
            answer_sender,
            request_id,
        };
        let service = &request.service;
        let (class, deadline_ms) = match self.admit(
            service,
            ClassKind::Read,
            request.deadline_ms,
            Verdict::NotRun,
        ) {
            Ok(admitted) => admitted,
            Err(answer) => return self.refuse(now_us, &caller, *answer),
        };
        let range = request.range.unwrap_or(KeyRange::WHOLE);
        let whole = KeyRange::WHOLE;
        if range.is_empty() || range.start < whole.start || range.end > whole.end {
            let answer = CallerAnswer::invalid("range is empty or outside the key space");
            return self.refuse(now_us, &caller, answer);
        }
        self.insert_open_request(now_us, id, class, caller);
        let demand = match request.coverage {
            RequiredCoverage::Full => CoverageDemand::Full,
            RequiredCoverage::Partial => CoverageDemand::Partial,
        };
        self.pending_inputs
            .push_back(EngineInput::Query(QueryEvent::Read(ReadQuery {
                class,
                deadline_us: now_us + deadline_ms * 1_000,
                demand,
                id,
                range,
            })));
    }

    pub(crate) fn start_write(
        &mut self,
        request: WriteRequest,
        answer_sender: Sender<CallerAnswer>,
    ) {
        let now_us = self.clock.now_us();
        let id = QueryId(self.next_query_id);
        self.next_query_id += 1;
        // An invalid id must not be copied into a response header.
        let request_id = if request.has_valid_id() {
            Arc::clone(&request.request_id)
        } else {
            self.generate_request_id(id)
        };
        let caller = Caller {
            answer_sender,
            request_id,
        };
        let service = &request.service;
        let (class, deadline_ms) = match self.admit(
            service,
            ClassKind::Write,
            request.deadline_ms,
            request.verdict_before_claim(),
        ) {
            Ok(admitted) => admitted,
            Err(answer) => return self.refuse(now_us, &caller, *answer),
        };
        if !request.has_valid_id() {
            let reason = "request_id must be 1 to 128 of A-Z a-z 0-9 . _ - and not only dots";
            return self.refuse(now_us, &caller, CallerAnswer::invalid(reason));
        }
        if !KeyRange::WHOLE.contains(request.key) {
            let answer = CallerAnswer::invalid("key is outside the key space");
            return self.refuse(now_us, &caller, answer);
        }
        self.insert_open_request(now_us, id, class, caller);
        self.pending_inputs
            .push_back(EngineInput::Query(QueryEvent::Write(WriteQuery {
                body: request.body,
                class,
                deadline_us: now_us + deadline_ms * 1_000,
                first_attempt: request.first_attempt,
                id,
                issued_unix_ms: request.issued_unix_ms,
                key: request.key,
                received_unix_ms: unix_ms(),
                request_id: request.request_id,
            })));
    }

    /// Checks a request before it goes to the query core. Returns its class and deadline.
    ///
    /// # Errors
    ///
    /// Returns the answer to the caller if the request is refused or invalid; a refusal carries
    /// `verdict`.
    fn admit(
        &self,
        service: &str,
        kind: ClassKind,
        deadline_ms: Option<u64>,
        verdict: Verdict,
    ) -> Result<(ClassKey, u64), Box<CallerAnswer>> {
        if let Some(reason) = self.refusal_reason() {
            let answer = CallerAnswer::refused(reason, NOT_READY_RETRY_DELAY_MS, verdict);
            return Err(Box::new(answer));
        }
        let class = self.catalog.find_class(service);
        let known = class.and_then(|key| Some((key, self.deployment.classes.get(&key)?)));
        let Some((key, class)) = known else {
            let reason = "no such service; see `wigeonhall status`";
            return Err(Box::new(CallerAnswer::invalid(reason)));
        };
        if class.kind != kind {
            let reason = match class.kind {
                ClassKind::Read => "the service takes reads: use POST /query",
                ClassKind::Write => "the service takes writes: use POST /write",
            };
            return Err(Box::new(CallerAnswer::invalid(reason)));
        }
        let deadline_ms = deadline_ms.unwrap_or(class.deadline_ms);
        if !(1..=MAX_DEADLINE_MS).contains(&deadline_ms) {
            let reason = "deadline_ms must be from 1 to 60000";
            return Err(Box::new(CallerAnswer::invalid(reason)));
        }
        Ok((key, deadline_ms))
    }

    /// Returns why callers are refused now; `None` if they are served. While the balancer has not
    /// detected the failing health check yet, callers are served although the node is not ready.
    fn refusal_reason(&self) -> Option<&'static str> {
        if !self.is_serving() {
            return Some("leaving");
        }
        if self.stage != StopStage::Serving {
            return None;
        }
        let now_us = self.clock.now_us();
        if self.refusal_start_us.is_some_and(|it| now_us < it) {
            return None;
        }
        self.readiness.reason()
    }

    /// Returns a request id for a request without a valid one.
    fn generate_request_id(&self, id: QueryId) -> Arc<str> {
        Arc::from(format!("{:016x}-{}", self.boot, id.0))
    }

    fn insert_open_request(
        &mut self,
        started_us: u64,
        id: QueryId,
        class: ClassKey,
        caller: Caller,
    ) {
        let request = OpenRequest {
            class,
            answer_sender: caller.answer_sender,
            started_us,
            classifier: SubRequestClassifier::new(caller.request_id),
        };
        self.open_requests.insert(id, request);
    }

    fn refuse(&mut self, now_us: u64, caller: &Caller, mut answer: CallerAnswer) {
        answer.request_id = Some(Arc::clone(&caller.request_id));
        self.trace_answer(now_us, &caller.request_id, &answer);
        // Sending fails if the caller closed its connection.
        let _ = caller.answer_sender.send(answer);
    }

    fn answer_caller(&mut self, now_us: u64, id: QueryId, mut answer: CallerAnswer) {
        let Some(request) = self.open_requests.remove(&id) else {
            return;
        };
        let latency_us = now_us.saturating_sub(request.started_us);
        let class = self.catalog.class_name(request.class);
        self.metrics.record_answer(&class, &answer, latency_us);
        self.record_burn(now_us, request.class, &answer, latency_us);
        let request_id = Arc::clone(request.classifier.request_id());
        self.trace_answer(now_us, &request_id, &answer);
        answer.request_id = Some(request_id);
        // Sending fails if the caller closed its connection.
        let _ = request.answer_sender.send(answer);
    }

    /// Records an answer for the error-budget burn report.
    fn record_burn(&mut self, now_us: u64, key: ClassKey, answer: &CallerAnswer, latency_us: u64) {
        let Some(class) = self.deployment.classes.get(&key) else {
            return;
        };
        let outcome = match answer.status {
            StatusName::Whole if latency_us <= class.level.latency_ms * 1_000 => Outcome::Good,
            StatusName::Whole => Outcome::Slow,
            StatusName::Partial => Outcome::Partial,
            StatusName::Failed => Outcome::Failed,
            StatusName::Refused | StatusName::Invalid => Outcome::Refused,
        };
        let cause = answer.reason.as_deref().unwrap_or("latency");
        self.burn.record(now_us, key, outcome, cause);
    }
}

/// Returns the outcome of a sub-request if the call to the owner of its replica failed.
fn outcome_without_reply(error: ProtocolError) -> SubOutcome {
    match error.verdict() {
        Verdict::NotRun => SubOutcome::Refused {
            reason: RefusalReason::NotOwner,
            retry_after_us: 0,
        },
        Verdict::MayHaveRun | Verdict::Ran => SubOutcome::Failed {
            reason: FailureReason::OwnerLost,
        },
    }
}
