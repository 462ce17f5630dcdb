//! Messages between the nodes of a session, and what becomes of them.

use crate::Fate;
use crate::Message;
use crate::TraceEvent;
use crate::World;
use crate::world::Event;
use wigeonhall_query::QueryEvent;
use wigeonhall_types::NodeKey;

/// Extra delay of a late message at most, in microseconds.
const LATE_US: u64 = 300_000;

impl World {
    /// The message between nodes that an event stands for. A reply names no sender:
    /// the coordinator knows it from the attempt alone.
    pub(crate) fn message(event: &Event) -> Option<(NodeKey, NodeKey, Message)> {
        match event {
            Event::Cancel(to, attempt) => {
                let from = NodeKey((attempt.boot - 1) as u32);
                Some((from, *to, Message::Cancel(*attempt)))
            }
            Event::HandOver {
                epoch,
                from,
                replica,
                state,
                to,
            } => {
                let message = Message::HandOver(*replica, *epoch, state.clone());
                Some((*from, *to, message))
            }
            Event::Query(
                to,
                QueryEvent::SubReply {
                    attempt,
                    outcome,
                    report,
                },
            ) => {
                let message = Message::Reply(*attempt, outcome.clone(), report.clone());
                Some((*to, *to, message))
            }
            Event::Query(to, QueryEvent::Report { replica, report }) => {
                Some((*to, *to, Message::Report(*replica, report.clone())))
            }
            Event::ReportsAsked { from, to } => Some((*from, *to, Message::AskReports)),
            Event::Submit { from, to, sub } => Some((*from, *to, Message::Submit(sub.clone()))),
            _ => None,
        }
    }

    pub(crate) fn send_in_session(
        &mut self,
        now_us: u64,
        at_us: u64,
        from: NodeKey,
        to: NodeKey,
        event: Event,
    ) {
        self.send_with_fate(now_us, at_us, from, to, event, false);
    }

    pub(crate) fn send_with_fate(
        &mut self,
        now_us: u64,
        at_us: u64,
        from: NodeKey,
        to: NodeKey,
        event: Event,
        lost: bool,
    ) {
        let fate = if lost {
            Fate::Lost
        } else {
            self.fate(now_us, from, to)
        };
        if let Some((_, _, message)) = Self::message(&event) {
            self.note(now_us, || TraceEvent::Sent {
                fate,
                from,
                message,
                to,
            });
        }
        let late_us = match &mut self.session {
            Some(session) if matches!(fate, Fate::Doubled | Fate::Late) => {
                session.rng.u64(..LATE_US)
            }
            _ => 0,
        };
        match fate {
            Fate::Arrives => self.events.push(at_us, event),
            Fate::Doubled => {
                self.events.push(at_us, event.clone());
                self.events.push(at_us + late_us, event);
            }
            Fate::Late => self.events.push(at_us + late_us, event),
            Fate::Lost => {}
        }
    }

    pub(crate) fn fate(&mut self, now_us: u64, from: NodeKey, to: NodeKey) -> Fate {
        let Some(session) = &mut self.session else {
            return Fate::Arrives;
        };
        let (links, until_us) = session.links;
        if from == to || now_us >= until_us {
            return Fate::Arrives;
        }
        let drawn = session.rng.u8(..100);
        let late = links.lost.saturating_add(links.late);
        if drawn < links.lost {
            Fate::Lost
        } else if drawn < late {
            Fate::Late
        } else if drawn < late.saturating_add(links.doubled) {
            Fate::Doubled
        } else {
            Fate::Arrives
        }
    }
}
