//! Renders the trace of a session as text.
//!
//! Each line shows one message: time in milliseconds, sender, receiver and content. Probes
//! whose result has not changed, reports and requests for them, lease renewals without a gap,
//! and messages of a node to itself as the owner of a replica are left out.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::Delivery;
use crate::Message;
use crate::TraceEvent;
use crate::transcript_text::answer_text;
use crate::transcript_text::claim_result_text;
use crate::transcript_text::duration_text;
use crate::transcript_text::hand_over_text;
use crate::transcript_text::outcome_text;
use crate::transcript_text::range_text;
use crate::transcript_text::reply_text;
use crate::transcript_text::to_words;
use wigeonhall_query::ClaimOutcome;
use wigeonhall_query::CoverageDemand;
use wigeonhall_types::AttemptId;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::NodeKey;
use wigeonhall_types::Operation;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubRequest;

/// Renders the events of a trace, in order.
pub struct Renderer<'a> {
    pub catalog: &'a NameCatalog,
    /// Generation (version number) of the deployment in force at each node.
    generations: BTreeMap<NodeKey, u64>,
    /// Result of the last probe of each replica, as text.
    last_probes: BTreeMap<ReplicaKey, String>,
    /// End of the last lease of each node.
    leases: BTreeMap<NodeKey, u64>,
}

/// Returns the events from `from_us` on as text, with times relative to `from_us`.
pub fn render(catalog: &NameCatalog, trace: &[(u64, TraceEvent)], from_us: u64) -> String {
    let mut renderer = Renderer {
        catalog,
        generations: BTreeMap::new(),
        last_probes: BTreeMap::new(),
        leases: BTreeMap::new(),
    };
    let mut text = String::new();
    for (at_us, event) in trace {
        let line = renderer.line(*at_us, event);
        if let (Some(line), true) = (line, *at_us >= from_us) {
            let at_ms = (at_us - from_us) as f64 / 1e3;
            writeln!(text, "{at_ms:>9.3} ms  {line}").expect("writing to a string does not fail");
        }
    }
    text
}

impl Renderer<'_> {
    fn line(&mut self, at_us: u64, event: &TraceEvent) -> Option<String> {
        self.request_line(at_us, event)
            .or_else(|| self.store_line(event))
            .or_else(|| self.target_line(event))
            .or_else(|| self.node_line(at_us, event))
    }

    /// Renders a request of a caller, an answer to it, or a message between nodes.
    fn request_line(&self, at_us: u64, event: &TraceEvent) -> Option<String> {
        let line = match event {
            TraceEvent::Answered(node, id, answer) => {
                let text = answer_text(answer);
                format!("{} -> caller {}: {text}", self.node(*node), id.0)
            }
            TraceEvent::Read(node, read) => {
                let demand = match read.demand {
                    CoverageDemand::Full => "all or nothing",
                    CoverageDemand::Partial => "partial accepted",
                };
                format!(
                    "caller {} -> {}: read {} within {}, {demand}",
                    read.id.0,
                    self.node(*node),
                    range_text(read.range),
                    duration_text(read.deadline_us.saturating_sub(at_us))
                )
            }
            TraceEvent::Sent {
                delivery,
                from,
                message,
                to,
            } => {
                let text = self.message(message)?;
                if from == to {
                    return None;
                }
                let delivery = match delivery {
                    Delivery::OnTime => "",
                    Delivery::Duplicated => " (arrives twice)",
                    Delivery::Late => " (late)",
                    Delivery::Lost => " (lost)",
                };
                format!(
                    "{} -> {}: {text}{delivery}",
                    self.node(*from),
                    self.node(*to)
                )
            }
            TraceEvent::Write(node, write) => {
                let first = if write.first_attempt {
                    "first attempt"
                } else {
                    "repeat"
                };
                format!(
                    "caller {} -> {}: write {} within {}, {first}",
                    write.id.0,
                    self.node(*node),
                    write.request_id,
                    duration_text(write.deadline_us.saturating_sub(at_us))
                )
            }
            _ => return None,
        };
        Some(line)
    }

    /// Renders a call of the store, or a reply of it.
    fn store_line(&self, event: &TraceEvent) -> Option<String> {
        let line = match event {
            TraceEvent::ChangeRefused(reason) => format!("store -> operator: refused, {reason}"),
            TraceEvent::StoreCalled(node, _, claim, expected) => {
                let what = match (expected, claim.outcome) {
                    (None, _) => "create the claim of",
                    (Some(_), ClaimOutcome::Open) => "take over the claim of",
                    (Some(_), ClaimOutcome::Released) => "release the claim of",
                    (Some(_), ClaimOutcome::Ran(_)) => "record as run",
                };
                let node = self.node(*node);
                format!("{node} -> store: {what} {}", claim.request_id)
            }
            TraceEvent::StoreReplied(node, _, result) => {
                format!(
                    "store -> {}: {}",
                    self.node(*node),
                    claim_result_text(result)
                )
            }
            TraceEvent::StoreApplied(node, result, true) => format!(
                "store -> {}: {} (reply lost)",
                self.node(*node),
                claim_result_text(result)
            ),
            _ => return None,
        };
        Some(line)
    }

    /// Renders a message to or from a target, or a change of a target.
    fn target_line(&mut self, event: &TraceEvent) -> Option<String> {
        let line = match event {
            TraceEvent::EndPolled(node, replica, attempt) => format!(
                "{} -> target {}: does {} still run?",
                self.node(*node),
                self.replica(*replica),
                self.attempt(*attempt)
            ),
            TraceEvent::EndPollReplied(node, replica, attempt, outcome) => format!(
                "target {} -> {}: on {}: {}",
                self.replica(*replica),
                self.node(*node),
                self.attempt(*attempt),
                to_words(outcome)
            ),
            TraceEvent::CancelledAtTarget(node, replica, attempt) => format!(
                "{} -> target {}: cancel {}",
                self.node(*node),
                self.replica(*replica),
                self.attempt(*attempt)
            ),
            TraceEvent::Probed(node, replica, reply) => {
                let text = reply_text(reply);
                let previous = self.last_probes.insert(*replica, text.clone());
                if previous.is_some_and(|it| it == text) {
                    return None;
                }
                format!(
                    "target {} -> {}: probe finds {text}",
                    self.replica(*replica),
                    self.node(*node)
                )
            }
            TraceEvent::Rolled(replica, version) => {
                let target = self.replica(*replica);
                format!(
                    "target {target}: takes index version {}, drops version {}",
                    version.0,
                    version.0 - 2
                )
            }
            TraceEvent::SentToTarget(node, sub) => format!(
                "{} -> target {}: run {}",
                self.node(*node),
                self.replica(sub.replica),
                self.sub(sub)
            ),
            TraceEvent::TargetReplied(node, replica, attempt, reply) => format!(
                "target {} -> {}: {} {}",
                self.replica(*replica),
                self.node(*node),
                self.attempt(*attempt),
                reply_text(reply)
            ),
            TraceEvent::TargetStarted(replica, instance) => format!(
                "target {}: starts as process {instance}, cold",
                self.replica(*replica)
            ),
            _ => return None,
        };
        Some(line)
    }

    /// Renders a change of the state of a node, or a step of the script.
    fn node_line(&mut self, at_us: u64, event: &TraceEvent) -> Option<String> {
        let line = match event {
            TraceEvent::Deployed(node, generation) => {
                if self.generations.insert(*node, *generation) == Some(*generation) {
                    return None;
                }
                format!("{}: deployment {generation} is in force", self.node(*node))
            }
            TraceEvent::Granted {
                epoch,
                node,
                replica,
                state,
            } => format!(
                "{}: owns {} by table {epoch}, {}",
                self.node(*node),
                self.replica(*replica),
                if state.is_some() {
                    "with the state handed over"
                } else {
                    "without a hand-over, so cold"
                }
            ),
            TraceEvent::Leased(node, until_us) => {
                let last_us = self.leases.insert(*node, *until_us);
                if last_us.is_some_and(|it| it >= at_us) {
                    return None;
                }
                format!("{}: has a lease again", self.node(*node))
            }
            TraceEvent::NodeLost(node, lost) => {
                format!("{}: finds {} lost", self.node(*node), self.node(*lost))
            }
            TraceEvent::Revoked(node, replica, epoch) => format!(
                "{}: no longer owns {} by table {epoch}",
                self.node(*node),
                self.replica(*replica)
            ),
            TraceEvent::Step(step) => return self.step_text(*step),
            _ => return None,
        };
        Some(line)
    }

    pub fn node(&self, key: NodeKey) -> String {
        self.catalog.node_name(key).to_string()
    }

    pub fn replica(&self, key: ReplicaKey) -> String {
        self.catalog.replica_name(key).to_string()
    }

    /// Returns the entry node and sequence number of an attempt. In a session, the boot id of a
    /// node is its key plus one.
    fn attempt(&self, attempt: AttemptId) -> String {
        let node = self.node(NodeKey((attempt.boot - 1) as u32));
        format!("{node}#{}", attempt.sequence)
    }

    fn sub(&self, sub: &SubRequest) -> String {
        let id = self.attempt(sub.attempt);
        let version = sub.version.map_or_else(
            || "any version".to_owned(),
            |it| format!("version {}", it.0),
        );
        match &sub.operation {
            Operation::Read { range } => {
                format!("{id}, read {} at {version}", range_text(*range))
            }
            Operation::Write { request_id, .. } => format!("{id}, write {request_id}"),
        }
    }

    fn message(&self, message: &Message) -> Option<String> {
        Some(match message {
            Message::AskReports | Message::Report(..) => return None,
            Message::Cancel(attempt) => format!("cancel {}", self.attempt(*attempt)),
            Message::HandOver(replica, epoch, state) => format!(
                "hand over {} for table {epoch}, {}",
                self.replica(*replica),
                hand_over_text(state)
            ),
            Message::Reply(attempt, outcome, _) => {
                format!("{} {}", self.attempt(*attempt), outcome_text(outcome))
            }
            Message::Submit(sub) => {
                let replica = self.replica(sub.replica);
                format!("submit {} for {replica}", self.sub(sub))
            }
        })
    }
}
