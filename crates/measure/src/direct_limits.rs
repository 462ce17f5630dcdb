//! Sub-requests that wait for shares or tokens, and the messages that pass tokens.

use crate::direct_targets::RETRY_DELAY_US;
use crate::direct_world::DirectSubRequest;
use crate::direct_world::DirectWorld;
use crate::direct_world::Event;
use crate::direct_world::Limiter;
use crate::session_ownership::TAKE_OVER_DELAY_US;
use crate::session_world::CONNECTION_BREAK_DELAY_US;
use crate::session_world::REASSIGNMENT_DELAY_US;
use crate::slot_tokens::SlotTokens;
use crate::token_message::TokenAction;
use crate::token_message::TokenMessage;
use crate::token_message::UNKNOWN_LENGTH;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ServiceKey;

impl DirectWorld {
    /// Starts the wait of a sub-request, for at most the longest wait that the product allows.
    fn start_wait(&mut self, now_us: u64, sub_request: DirectSubRequest) {
        let Some(open) = self.open_queries.get(&sub_request.query) else {
            return;
        };
        let longest_us = self.deployment.classes[&open.class].longest_wait_us();
        self.queued.insert(sub_request.id, now_us);
        self.events.push(
            now_us + longest_us,
            Event::QueueTimeout(sub_request, now_us),
        );
    }

    pub(crate) fn queue_for_share(&mut self, now_us: u64, sub_request: DirectSubRequest) {
        self.start_wait(now_us, sub_request);
        if let Limiter::SlotShares(shares) = &mut self.limiter {
            shares.push(sub_request);
        }
        self.start_queued(now_us, sub_request.node, sub_request.service);
    }

    /// Starts waiting sub-requests of a node and service until no share is free.
    pub(crate) fn start_queued(&mut self, now_us: u64, node: NodeKey, service: ServiceKey) {
        let usable = self.usable_replicas(service);
        loop {
            let Limiter::SlotShares(shares) = &mut self.limiter else {
                return;
            };
            let (open, queued) = (&self.open_queries, &self.queued);
            let is_waiting =
                |it: &DirectSubRequest| open.contains_key(&it.query) && queued.contains_key(&it.id);
            match shares.next_startable(now_us, (node, service), &usable, &mut self.rng, is_waiting)
            {
                Ok(sub_request) => {
                    self.queued.remove(&sub_request.id);
                    self.dispatch(now_us, sub_request);
                }
                Err(check_us) => {
                    if let Some(at_us) = check_us {
                        self.events.push(at_us, Event::CheckShares(node, service));
                    }
                    return;
                }
            }
        }
    }

    pub(crate) fn request_token(&mut self, now_us: u64, sub_request: DirectSubRequest) {
        if !self.queued.contains_key(&sub_request.id) {
            self.start_wait(now_us, sub_request);
        }
        let usable = self.usable_replicas(sub_request.service);
        let Limiter::SlotTokens(tokens) = &mut self.limiter else {
            return;
        };
        let vms = &self.deployment.vms;
        let is_same_data_centre =
            |one: NodeKey, other: NodeKey| vms[&one].data_centre == vms[&other].data_centre;
        let mut actions = Vec::new();
        tokens.request(
            now_us,
            sub_request,
            &usable,
            &mut self.rng,
            is_same_data_centre,
            &mut actions,
        );
        self.apply_token_actions(now_us, actions);
    }

    /// Calls `update` with the tokens and a predicate for sub-requests that still wait, and
    /// applies the resulting actions.
    fn update_tokens(
        &mut self,
        now_us: u64,
        update: impl FnOnce(&mut SlotTokens, &dyn Fn(&DirectSubRequest) -> bool, &mut Vec<TokenAction>),
    ) {
        let Limiter::SlotTokens(tokens) = &mut self.limiter else {
            return;
        };
        let (open, queued) = (&self.open_queries, &self.queued);
        let is_waiting =
            |it: &DirectSubRequest| open.contains_key(&it.query) && queued.contains_key(&it.id);
        let mut actions = Vec::new();
        update(tokens, &is_waiting, &mut actions);
        self.apply_token_actions(now_us, actions);
    }

    fn apply_token_actions(&mut self, now_us: u64, actions: Vec<TokenAction>) {
        for action in actions {
            match action {
                TokenAction::CheckLater {
                    at_us,
                    timer_version,
                    token,
                } => self
                    .events
                    .push(at_us, Event::CheckToken(token, timer_version)),
                TokenAction::Send(from, to, message) => {
                    let mut at_us = now_us;
                    if from != to {
                        let data_centre = |it: &NodeKey| self.deployment.vms[it].data_centre;
                        at_us += self.network.delay_us(data_centre(&from), data_centre(&to));
                        let counted = now_us >= self.measure_from_us;
                        self.result.traffic.messages += u64::from(counted);
                    }
                    self.events.push(at_us, Event::TokenMessage(to, message));
                }
                TokenAction::RetryLater(sub_request) => {
                    self.events
                        .push(now_us + RETRY_DELAY_US, Event::Send(sub_request));
                }
                TokenAction::Dispatch(sub_request) => {
                    self.queued.remove(&sub_request.id);
                    self.dispatch(now_us, sub_request);
                }
            }
        }
    }

    pub(crate) fn handle_token_message(&mut self, now_us: u64, to: NodeKey, message: TokenMessage) {
        if self.lost.contains(&to) {
            self.drop_token_message(now_us, message);
            return;
        }
        if let TokenMessage::Busy {
            queue_length,
            sub_request,
            token,
            queue_if_busy,
        } = message
        {
            if let Limiter::SlotTokens(tokens) = &mut self.limiter {
                tokens.record_busy(sub_request.id, token, queue_length);
            }
            if queue_if_busy {
                self.events
                    .push(now_us + RETRY_DELAY_US, Event::Send(sub_request));
            } else if self.queued.contains_key(&sub_request.id) {
                self.send(now_us, sub_request);
            }
            return;
        }
        self.update_tokens(now_us, |tokens, is_waiting, actions| {
            tokens.deliver(now_us, to, message, is_waiting, actions);
        });
    }

    /// Handles a message to a lost node: a request for a token fails once the connection
    /// breaks, and a token is lost.
    fn drop_token_message(&mut self, now_us: u64, message: TokenMessage) {
        match message {
            TokenMessage::Request {
                sub_request, token, ..
            } => {
                let busy = TokenMessage::Busy {
                    queue_length: UNKNOWN_LENGTH,
                    sub_request,
                    token,
                    queue_if_busy: false,
                };
                let at_us = now_us + CONNECTION_BREAK_DELAY_US;
                self.events
                    .push(at_us, Event::TokenMessage(sub_request.node, busy));
            }
            TokenMessage::Busy { .. } => {}
            TokenMessage::Token(token) => {
                self.update_tokens(now_us, |tokens, _, actions| {
                    tokens.lose_token(token, actions);
                });
                self.schedule_reissue(now_us, token);
            }
        }
    }

    pub(crate) fn check_token(&mut self, now_us: u64, token: usize, timer_version: u64) {
        self.update_tokens(now_us, |tokens, is_waiting, actions| {
            tokens.check(now_us, token, timer_version, is_waiting, actions);
        });
    }

    pub(crate) fn release_token(
        &mut self,
        now_us: u64,
        sub_request: DirectSubRequest,
        success: bool,
    ) {
        self.update_tokens(now_us, |tokens, is_waiting, actions| {
            tokens.release(now_us, &sub_request, success, is_waiting, actions);
        });
    }

    /// Loses the tokens of a lost node. They are reissued after the time in which another node
    /// would take over as owner.
    pub(crate) fn lose_tokens(&mut self, now_us: u64, node: NodeKey) {
        let mut lost = Vec::new();
        self.update_tokens(now_us, |tokens, _, actions| {
            lost = tokens.lose_node(node, actions);
        });
        for token in lost {
            self.schedule_reissue(now_us, token);
        }
    }

    fn schedule_reissue(&mut self, now_us: u64, token: usize) {
        let at_us = now_us + REASSIGNMENT_DELAY_US + TAKE_OVER_DELAY_US;
        self.events.push(at_us, Event::ReissueToken(token));
    }

    pub(crate) fn reissue_token(&mut self, token: usize) {
        if let Limiter::SlotTokens(tokens) = &mut self.limiter {
            tokens.reissue_token(token);
        }
    }
}
