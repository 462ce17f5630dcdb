//! Tokens whose replica or holder is lost.

use crate::cold_ramp::ColdRamp;
use crate::loan_message::LoanAction;
use crate::loan_message::LoanMessage;
use crate::loans::Loans;
use crate::loans::Place;
use crate::plain::Part;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

impl Loans {
    /// Sends what waits for a token elsewhere.
    pub(crate) fn turn_away(&mut self, token: usize, actions: &mut Vec<LoanAction>) {
        let waiting: Vec<Part> = self.tokens[token].waiting.drain(..).collect();
        let ahead = waiting.len();
        for part in waiting {
            let busy = LoanMessage::Busy {
                ahead,
                part,
                token,
                waits: true,
            };
            let from = match self.tokens[token].place {
                Place::Held(holder) => holder,
                Place::Lost | Place::Sent => part.node,
            };
            actions.push(LoanAction::Send(from, part.node, busy));
        }
    }

    /// A target came back; its tokens carry the ramp of its cold start.
    pub fn restarted(&mut self, now_us: u64, replica: ReplicaKey, deployment: &Deployment) {
        let ramp = ColdRamp::new(now_us, deployment.replicas[&replica], 1);
        self.ramps.insert(replica, ramp);
    }

    /// A node ended; returns the tokens that it held.
    pub fn lose_node(&mut self, node: NodeKey, actions: &mut Vec<LoanAction>) -> Vec<usize> {
        self.lost.insert(node);
        self.hints
            .retain(|(knows, _), at| *knows != node && *at != node);
        let held = |it: &usize| self.tokens[*it].place == Place::Held(node);
        let lost: Vec<usize> = (0..self.tokens.len()).filter(held).collect();
        for &token in &lost {
            self.lose_token(token, actions);
        }
        lost
    }

    /// A token is lost with its holder.
    pub fn lose_token(&mut self, token: usize, actions: &mut Vec<LoanAction>) {
        let it = &mut self.tokens[token];
        it.place = Place::Lost;
        it.used_by = None;
        it.stamp += 1;
        self.turn_away(token, actions);
    }

    /// A replacement of the node started.
    pub fn replace_node(&mut self, node: NodeKey) {
        self.lost.remove(&node);
    }

    /// The lease of a lost holder is over: the home of the token issues it again.
    pub fn issue_again(&mut self, token: usize) {
        if let Some(home) = self.home(token)
            && self.tokens[token].place == Place::Lost
        {
            self.tokens[token].place = Place::Held(home);
        }
    }
}
