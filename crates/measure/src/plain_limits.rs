//! Waiting for shares and tokens.

use crate::loan_message::LoanAction;
use crate::loan_message::LoanMessage;
use crate::loan_message::UNKNOWN;
use crate::loans::Loans;
use crate::plain::Event;
use crate::plain::Holding;
use crate::plain::Part;
use crate::plain::Plain;
use crate::plain_targets::RETRY_US;
use crate::session_ownership::TAKE_OVER_US;
use crate::session_world::LOST_FOUND_US;
use crate::session_world::LOST_SEEN_US;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ServiceKey;

impl Plain {
    /// A sub-request starts to wait, no longer than the product lets it.
    fn queue(&mut self, now_us: u64, part: Part) {
        let Some(open) = self.open.get(&part.query) else {
            return;
        };
        let longest_us = self.deployment.classes[&open.class].longest_wait_us();
        self.queued.insert(part.id, now_us);
        self.events
            .push(now_us + longest_us, Event::WaitOver(part, now_us));
    }

    pub(crate) fn wait_for_share(&mut self, now_us: u64, part: Part) {
        self.queue(now_us, part);
        if let Holding::Shares(shares) = &mut self.holding {
            shares.push(part);
        }
        self.use_shares(now_us, part.node, part.service);
    }

    /// Starts what waits for shares of a node.
    pub(crate) fn use_shares(&mut self, now_us: u64, node: NodeKey, service: ServiceKey) {
        let usable = self.usable(service);
        loop {
            let Holding::Shares(shares) = &mut self.holding else {
                return;
            };
            let (open, queued) = (&self.open, &self.queued);
            let valid = |it: &Part| open.contains_key(&it.query) && queued.contains_key(&it.id);
            match shares.next(now_us, (node, service), &usable, &mut self.rng, valid) {
                Ok(part) => {
                    self.queued.remove(&part.id);
                    self.dispatch(now_us, part);
                }
                Err(look_us) => {
                    if let Some(at_us) = look_us {
                        self.events.push(at_us, Event::LookAtShares(node, service));
                    }
                    return;
                }
            }
        }
    }

    pub(crate) fn ask_token(&mut self, now_us: u64, part: Part) {
        if !self.queued.contains_key(&part.id) {
            self.queue(now_us, part);
        }
        let usable = self.usable(part.service);
        let Holding::Loans(loans) = &mut self.holding else {
            return;
        };
        let vms = &self.deployment.vms;
        let near = |one: NodeKey, other: NodeKey| vms[&one].data_centre == vms[&other].data_centre;
        let mut actions = Vec::new();
        loans.want(now_us, part, &usable, &mut self.rng, near, &mut actions);
        self.do_loan_actions(now_us, actions);
    }

    /// Calls `what` with the tokens and the test whether a sub-request still waits.
    fn with_tokens(
        &mut self,
        now_us: u64,
        what: impl FnOnce(&mut Loans, &dyn Fn(&Part) -> bool, &mut Vec<LoanAction>),
    ) {
        let Holding::Loans(loans) = &mut self.holding else {
            return;
        };
        let (open, queued) = (&self.open, &self.queued);
        let valid = |it: &Part| open.contains_key(&it.query) && queued.contains_key(&it.id);
        let mut actions = Vec::new();
        what(loans, &valid, &mut actions);
        self.do_loan_actions(now_us, actions);
    }

    fn do_loan_actions(&mut self, now_us: u64, actions: Vec<LoanAction>) {
        for action in actions {
            match action {
                LoanAction::Look {
                    at_us,
                    stamp,
                    token,
                } => self.events.push(at_us, Event::LookAtToken(token, stamp)),
                LoanAction::Send(from, to, message) => {
                    let mut at_us = now_us;
                    if from != to {
                        let place = |it: &NodeKey| self.deployment.vms[it].data_centre;
                        at_us += self.network.delay_us(place(&from), place(&to));
                        let counted = now_us >= self.measure_from_us;
                        self.result.traffic.messages += u64::from(counted);
                    }
                    self.events.push(at_us, Event::Loan(to, message));
                }
                LoanAction::TryLater(part) => {
                    self.events.push(now_us + RETRY_US, Event::Send(part));
                }
                LoanAction::Use(part) => {
                    self.queued.remove(&part.id);
                    self.dispatch(now_us, part);
                }
            }
        }
    }

    pub(crate) fn loan_message(&mut self, now_us: u64, to: NodeKey, message: LoanMessage) {
        if self.lost.contains(&to) {
            self.loan_message_lost(now_us, message);
            return;
        }
        if let LoanMessage::Busy {
            ahead,
            part,
            token,
            waits,
        } = message
        {
            if let Holding::Loans(loans) = &mut self.holding {
                loans.note_busy(part.id, token, ahead);
            }
            if waits {
                self.events.push(now_us + RETRY_US, Event::Send(part));
            } else if self.queued.contains_key(&part.id) {
                self.send(now_us, part);
            }
            return;
        }
        self.with_tokens(now_us, |loans, valid, actions| {
            loans.deliver(now_us, to, message, valid, actions);
        });
    }

    /// A message to a lost node: a question gets no answer in time, a token is lost.
    fn loan_message_lost(&mut self, now_us: u64, message: LoanMessage) {
        match message {
            LoanMessage::Ask { part, token, .. } => {
                let busy = LoanMessage::Busy {
                    ahead: UNKNOWN,
                    part,
                    token,
                    waits: false,
                };
                let at_us = now_us + LOST_SEEN_US;
                self.events.push(at_us, Event::Loan(part.node, busy));
            }
            LoanMessage::Busy { .. } => {}
            LoanMessage::Token(token) => {
                self.with_tokens(now_us, |loans, _, actions| {
                    loans.lose_token(token, actions);
                });
                self.plan_issue(now_us, token);
            }
        }
    }

    pub(crate) fn look_at_token(&mut self, now_us: u64, token: usize, stamp: u64) {
        self.with_tokens(now_us, |loans, valid, actions| {
            loans.look(now_us, token, stamp, valid, actions);
        });
    }

    pub(crate) fn release_token(&mut self, now_us: u64, part: Part, success: bool) {
        self.with_tokens(now_us, |loans, valid, actions| {
            loans.release(now_us, &part, success, valid, actions);
        });
    }

    /// Tokens of a lost node are issued again when an owner would take over.
    pub(crate) fn lose_tokens(&mut self, now_us: u64, node: NodeKey) {
        let mut lost = Vec::new();
        self.with_tokens(now_us, |loans, _, actions| {
            lost = loans.lose_node(node, actions);
        });
        for token in lost {
            self.plan_issue(now_us, token);
        }
    }

    fn plan_issue(&mut self, now_us: u64, token: usize) {
        let at_us = now_us + LOST_FOUND_US + TAKE_OVER_US;
        self.events.push(at_us, Event::IssueAgain(token));
    }

    pub(crate) fn issue_again(&mut self, token: usize) {
        if let Holding::Loans(loans) = &mut self.holding {
            loans.issue_again(token);
        }
    }
}
