//! Tokens whose holder or replica failed.

use crate::cold_ramp::ColdRamp;
use crate::direct_world::DirectSubRequest;
use crate::slot_tokens::SlotTokens;
use crate::slot_tokens::TokenLocation;
use crate::token_message::TokenAction;
use crate::token_message::TokenMessage;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

impl SlotTokens {
    /// Rejects all sub-requests that wait for a token with `Busy`, so that each retries after a
    /// delay.
    pub(crate) fn reject_waiting(&mut self, token: usize, actions: &mut Vec<TokenAction>) {
        let waiting: Vec<DirectSubRequest> = self.tokens[token].waiting.drain(..).collect();
        let queue_length = waiting.len();
        for sub_request in waiting {
            let busy = TokenMessage::Busy {
                queue_length,
                sub_request,
                token,
                queue_if_busy: true,
            };
            let from = match self.tokens[token].location {
                TokenLocation::Held(holder) => holder,
                TokenLocation::Lost | TokenLocation::InTransit => sub_request.node,
            };
            actions.push(TokenAction::Send(from, sub_request.node, busy));
        }
    }

    /// Starts the cold-start ramp of a target that restarted.
    pub fn start_ramp(&mut self, now_us: u64, replica: ReplicaKey, deployment: &Deployment) {
        let ramp = ColdRamp::new(now_us, deployment.replicas[&replica], 1);
        self.ramps.insert(replica, ramp);
    }

    /// Marks a node as lost and returns the tokens that are lost with it.
    pub fn lose_node(&mut self, node: NodeKey, actions: &mut Vec<TokenAction>) -> Vec<usize> {
        self.lost.insert(node);
        self.holder_hints
            .retain(|(hinted, _), holder| *hinted != node && *holder != node);
        let held = |it: &usize| self.tokens[*it].location == TokenLocation::Held(node);
        let lost: Vec<usize> = (0..self.tokens.len()).filter(held).collect();
        for &token in &lost {
            self.lose_token(token, actions);
        }
        lost
    }

    /// Marks a token as lost with its holder, and rejects the sub-requests that wait for it.
    pub fn lose_token(&mut self, token: usize, actions: &mut Vec<TokenAction>) {
        let it = &mut self.tokens[token];
        it.location = TokenLocation::Lost;
        it.used_by = None;
        it.timer_version += 1;
        self.reject_waiting(token, actions);
    }

    /// Marks a node as live again once its replacement has started.
    pub fn replace_node(&mut self, node: NodeKey) {
        self.lost.remove(&node);
    }

    /// Reissues a lost token at its home node, the first live node of the replica's data centre,
    /// once the lease of the lost holder has expired.
    pub fn reissue_token(&mut self, token: usize) {
        if let Some(home_node) = self.home_node(token)
            && self.tokens[token].location == TokenLocation::Lost
        {
            self.tokens[token].location = TokenLocation::Held(home_node);
        }
    }
}
