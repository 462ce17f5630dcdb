//! Messages between the nodes of a session, and faults of their delivery.

use crate::Delivery;
use crate::Message;
use crate::TraceEvent;
use crate::World;
use crate::world::Event;
use wigeonhall_query::QueryEvent;
use wigeonhall_types::NodeKey;

/// Longest extra delay of a late message.
const MAX_EXTRA_DELAY_US: u64 = 300_000;

impl World {
    /// Returns sender, receiver and message of an event that is a message between nodes.
    /// Replies and reports do not name their sender, so the receiver is given as the sender;
    /// the coordinator matches a reply by its attempt alone.
    pub(crate) fn message(event: &Event) -> Option<(NodeKey, NodeKey, Message)> {
        match event {
            Event::Cancel(to, attempt) => {
                // In a session, the boot id of a node is its key plus one.
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
            Event::ReportRequest { from, to } => Some((*from, *to, Message::AskReports)),
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
        self.send_or_lose(now_us, at_us, from, to, event, false);
    }

    pub(crate) fn send_or_lose(
        &mut self,
        now_us: u64,
        at_us: u64,
        from: NodeKey,
        to: NodeKey,
        event: Event,
        lost: bool,
    ) {
        let delivery = if lost {
            Delivery::Lost
        } else {
            self.draw_delivery(now_us, from, to)
        };
        if let Some((_, _, message)) = Self::message(&event) {
            self.record(now_us, || TraceEvent::Sent {
                delivery,
                from,
                message,
                to,
            });
        }
        let extra_delay_us = match &mut self.session {
            Some(session) if matches!(delivery, Delivery::Duplicated | Delivery::Late) => {
                session.rng.u64(..MAX_EXTRA_DELAY_US)
            }
            _ => 0,
        };
        match delivery {
            Delivery::OnTime => self.events.push(at_us, event),
            Delivery::Duplicated => {
                self.events.push(at_us, event.clone());
                self.events.push(at_us + extra_delay_us, event);
            }
            Delivery::Late => self.events.push(at_us + extra_delay_us, event),
            Delivery::Lost => {}
        }
    }

    pub(crate) fn draw_delivery(&mut self, now_us: u64, from: NodeKey, to: NodeKey) -> Delivery {
        let Some(session) = &mut self.session else {
            return Delivery::OnTime;
        };
        let (faults, until_us) = session.message_faults;
        if from == to || now_us >= until_us {
            return Delivery::OnTime;
        }
        let drawn = session.rng.u8(..100);
        let lost_or_late = faults.lost.saturating_add(faults.late);
        if drawn < faults.lost {
            Delivery::Lost
        } else if drawn < lost_or_late {
            Delivery::Late
        } else if drawn < lost_or_late.saturating_add(faults.duplicated) {
            Delivery::Duplicated
        } else {
            Delivery::OnTime
        }
    }
}
