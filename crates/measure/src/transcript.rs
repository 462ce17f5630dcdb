//! The trace of a session as text for readers.
//!
//! Each line is one message: time in milliseconds, sender, receiver and content. Probes
//! that find nothing new, requests for reports and the reports themselves, and leases
//! that follow one another without a gap are left out, and so is what a node says to
//! itself as the owner of a replica.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::Edit;
use crate::Fate;
use crate::Fault;
use crate::Message;
use crate::Step;
use crate::StoreMode;
use crate::TraceEvent;
use wigeonhall_query::AbsentReason;
use wigeonhall_query::Answer;
use wigeonhall_query::AnswerStatus;
use wigeonhall_query::ClaimOutcome;
use wigeonhall_query::ClaimResult;
use wigeonhall_query::CoverageDemand;
use wigeonhall_types::AttemptId;
use wigeonhall_types::Catalog;
use wigeonhall_types::HandOverState;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::Operation;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;
use wigeonhall_types::Verdict;

struct Renderer<'a> {
    catalog: &'a Catalog,
    /// Generation in force at each node.
    generations: BTreeMap<NodeKey, u64>,
    /// What the last probe of each replica found.
    found: BTreeMap<ReplicaKey, String>,
    /// End of the last lease of each node.
    leases: BTreeMap<NodeKey, u64>,
}

/// The events from `from_us` on as text.
pub fn render(catalog: &Catalog, trace: &[(u64, TraceEvent)], from_us: u64) -> String {
    let mut renderer = Renderer {
        catalog,
        generations: BTreeMap::new(),
        found: BTreeMap::new(),
        leases: BTreeMap::new(),
    };
    let mut text = String::new();
    for (at_us, event) in trace {
        let line = renderer.line(*at_us, event);
        if let (Some(line), true) = (line, *at_us >= from_us) {
            let at_ms = (at_us - from_us) as f64 / 1e3;
            writeln!(text, "{at_ms:>9.3} ms  {line}").expect("a string takes every line");
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

    /// A line on a request of a caller, or on a message between nodes.
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
                    ms(read.deadline_us.saturating_sub(at_us))
                )
            }
            TraceEvent::Sent {
                fate,
                from,
                message,
                to,
            } => {
                let text = self.message(message)?;
                if from == to {
                    return None;
                }
                let fate = match fate {
                    Fate::Arrives => "",
                    Fate::Doubled => " (arrives twice)",
                    Fate::Late => " (late)",
                    Fate::Lost => " (lost)",
                };
                format!("{} -> {}: {text}{fate}", self.node(*from), self.node(*to))
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
                    ms(write.deadline_us.saturating_sub(at_us))
                )
            }
            _ => return None,
        };
        Some(line)
    }

    /// A line on the store.
    fn store_line(&self, event: &TraceEvent) -> Option<String> {
        let line = match event {
            TraceEvent::ChangeRefused(why) => format!("store -> operator: refused, {why}"),
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
                format!("store -> {}: {}", self.node(*node), result_text(result))
            }
            TraceEvent::StoreTook(node, result, true) => format!(
                "store -> {}: {} (reply lost)",
                self.node(*node),
                result_text(result)
            ),
            _ => return None,
        };
        Some(line)
    }

    /// A line on a target.
    fn target_line(&mut self, event: &TraceEvent) -> Option<String> {
        let line = match event {
            TraceEvent::CancelledAtTarget(node, replica, attempt) => format!(
                "{} -> target {}: cancel {}",
                self.node(*node),
                self.replica(*replica),
                self.attempt(*attempt)
            ),
            TraceEvent::Probed(node, replica, reply) => {
                let text = reply_text(reply);
                let found = self.found.insert(*replica, text.clone());
                if found.is_some_and(|it| it == text) {
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
            TraceEvent::Started(node, sub) => format!(
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

    /// A line on what a node learns, or on a step.
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
            TraceEvent::Step(step) => return self.step(*step),
            _ => return None,
        };
        Some(line)
    }

    fn node(&self, key: NodeKey) -> String {
        self.catalog.node_name(key).to_string()
    }

    fn replica(&self, key: ReplicaKey) -> String {
        self.catalog.replica_name(key).to_string()
    }

    /// Boot ids of a session are the node's key plus one.
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
                state_text(state)
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

    fn step(&self, step: Step) -> Option<String> {
        Some(match step {
            Step::Conflict(first, second) => format!(
                "operators -> store: {} and {}, both read the same generation",
                self.edit(first),
                self.edit(second)
            ),
            Step::Deploy(edit) => format!("operator -> store: {}", self.edit(edit)),
            Step::Drain(replica) => format!("target {}: drains", self.replica(replica)),
            Step::Fault(fault) => self.fault(fault),
            Step::Lapse(node, us) => {
                format!("fault: {} gets no lease for {}", self.node(node), ms(us))
            }
            Step::Links(links, us) => format!(
                "fault: {}% of messages between nodes lost, {}% late, {}% doubled for {}",
                links.lost,
                links.late,
                links.doubled,
                ms(us)
            ),
            Step::LoseStoreReply => "fault: the next reply of the store is lost".to_owned(),
            Step::LoseTargetReply(replica) => format!(
                "fault: the next reply of target {} is lost",
                self.replica(replica)
            ),
            Step::Move { replica, to, .. } => format!(
                "table in the store: {} belongs to {}",
                self.replica(replica),
                self.node(to)
            ),
            Step::Pause(node, us) => {
                format!("fault: {} is paused for {}", self.node(node), ms(us))
            }
            Step::Read { .. } | Step::Write { .. } => return None,
            Step::Reset(replica) => {
                format!("fault: target {} ends", self.replica(replica))
            }
            Step::Stop(node) => format!("fault: {} ends", self.node(node)),
            Step::Store(StoreMode::Down) => "fault: the store is down".to_owned(),
            Step::Store(StoreMode::Slow(us)) => {
                format!("fault: the store takes {} more", ms(us))
            }
            Step::Store(StoreMode::Up) => "the store answers again".to_owned(),
        })
    }

    fn edit(&self, edit: Edit) -> String {
        let (out, name) = match edit {
            Edit::DataCentre(key, out) => (out, self.catalog.data_centre_name(key)),
            Edit::Replica(key, out) => (out, self.catalog.replica_name(key)),
        };
        if out {
            format!("take {name} out")
        } else {
            format!("bring {name} back")
        }
    }

    fn fault(&self, fault: Fault) -> String {
        match fault {
            Fault::DataCentreOut(key) => {
                let edit = self.edit(Edit::DataCentre(key, true));
                format!("operator -> store: {edit}")
            }
            Fault::DataCentreIn(key) => {
                let edit = self.edit(Edit::DataCentre(key, false));
                format!("operator -> store: {edit}")
            }
            Fault::Lost(replica) => format!("fault: target {} ends", self.replica(replica)),
            Fault::NodeLost(node) => format!("fault: node {} ends", self.node(node)),
            Fault::NodeReplaced(node) => format!("fault: node {} is replaced", self.node(node)),
            Fault::Restart(replica) => {
                let replica = self.replica(replica);
                format!("fault: target {replica} ends and restarts within a second")
            }
            Fault::Slow(replica, factor) => {
                format!(
                    "fault: target {} takes {factor} times as long",
                    self.replica(replica)
                )
            }
            Fault::VersionRoll => "index: a new version reaches the targets".to_owned(),
        }
    }
}

fn ms(us: u64) -> String {
    format!("{} ms", us / 1_000)
}

/// A range as percentages of the key space.
fn range_text(range: KeyRange) -> String {
    if range == KeyRange::WHOLE {
        return "all keys".to_owned();
    }
    let percent = |key: u64| (key as f64 / KeyRange::WHOLE.end as f64 * 1e3).round() / 1e1;
    if range.width() == 1 {
        return format!("the key at {}%", percent(range.start));
    }
    format!("keys {}-{}%", percent(range.start), percent(range.end))
}

fn ranges_text(ranges: &[KeyRange]) -> String {
    let texts: Vec<String> = ranges.iter().map(|it| range_text(*it)).collect();
    texts.join(" and ")
}

fn rows_text(ranges: &[KeyRange], rows: usize, version: IndexVersion) -> String {
    let ranges = ranges_text(ranges);
    format!("{rows} rows of {ranges} at version {}", version.0)
}

fn outcome_text(outcome: &SubOutcome) -> String {
    match outcome {
        SubOutcome::Answered {
            ranges,
            rows,
            version,
        } => format!("ran: {}", rows_text(ranges, rows.len(), *version)),
        SubOutcome::Failed { reason } => format!("may have run: {}", words(reason)),
        SubOutcome::Refused {
            reason,
            retry_after_us,
        } => {
            let reason = words(reason);
            let retry_ms = *retry_after_us as f64 / 1e3;
            format!("not run: {reason}, retry after {retry_ms:.1} ms")
        }
        SubOutcome::VersionGone => "not run: version gone".to_owned(),
    }
}

fn reply_text(reply: &TargetReply) -> String {
    let outcome = match &reply.outcome {
        TargetOutcome::Answered { ranges, .. } if ranges.is_empty() => "it takes work".to_owned(),
        TargetOutcome::Answered {
            ranges,
            rows,
            version,
        } => format!("ran: {}", rows_text(ranges, rows.len(), *version)),
        TargetOutcome::Shed { .. } => "shed".to_owned(),
        other => words(other),
    };
    let served: Vec<String> = reply
        .served
        .iter()
        .map(|it| it.version.0.to_string())
        .collect();
    match reply.instance {
        Some(instance) => {
            let served = served.join(" and ");
            format!("{outcome} (process {instance}, serves versions {served})")
        }
        None => outcome,
    }
}

fn state_text(state: &HandOverState) -> String {
    format!(
        "{} at once allowed, {} still running",
        state.allowance, state.running
    )
}

fn result_text(result: &ClaimResult) -> String {
    match result {
        ClaimResult::Conflict { held, .. } => {
            let outcome = match held.outcome {
                ClaimOutcome::Open => "open".to_owned(),
                ClaimOutcome::Released => "released".to_owned(),
                ClaimOutcome::Ran(version) => format!("run at version {}", version.0),
            };
            format!("holds a claim of {}, {outcome}", held.request_id)
        }
        ClaimResult::Stored { version } => format!("stored as version {version}"),
        ClaimResult::Unknown => "no reply".to_owned(),
    }
}

fn answer_text(answer: &Answer) -> String {
    let verdict = match answer.verdict {
        Verdict::NotRun => "not run",
        Verdict::MayHaveRun => "may have run",
        Verdict::Ran => "ran",
    };
    let mut text = match answer.status {
        AnswerStatus::Whole => format!("whole, {verdict}"),
        AnswerStatus::Partial => format!("partial, {verdict}"),
        AnswerStatus::Failed(reason) => format!("failed ({}), {verdict}", words(&reason)),
        AnswerStatus::Refused(reason) => format!("refused ({}), {verdict}", absent(reason)),
    };
    if let Some(snapshot) = answer.snapshot {
        let rows = rows_text(&answer.coverage.read, answer.rows.len(), snapshot);
        let _ = write!(text, ", {rows}");
        for it in &answer.coverage.absent {
            let range = range_text(it.range);
            let _ = write!(text, "; {range} absent ({})", absent(it.reason));
        }
    }
    if let Some(retry_ms) = answer.retry_after_ms {
        let _ = write!(text, ", retry after {retry_ms} ms");
    }
    text
}

fn absent(reason: AbsentReason) -> String {
    match reason {
        AbsentReason::Failed(reason) => words(&reason),
        AbsentReason::Refused(reason) => words(&reason),
        other => words(&other),
    }
}

/// The name of a plain variant in words.
fn words(value: &impl std::fmt::Debug) -> String {
    let mut text = String::new();
    for letter in format!("{value:?}").chars() {
        if letter.is_uppercase() && !text.is_empty() {
            text.push(' ');
        }
        text.extend(letter.to_lowercase());
    }
    text
}
