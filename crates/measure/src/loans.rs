use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use fastrand::Rng;

use crate::cold_ramp::ColdRamp;
use crate::loan_message::LoanAction;
use crate::loan_message::LoanMessage;
use crate::loan_message::UNKNOWN;
use crate::plain::Part;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

/// Time for which a node keeps a token that it does not use; then it returns to its home node, where
/// every node that knows no other holder asks.
const IDLE_US: u64 = 2_000;

/// Nodes that pass a question on before the asker is told to try elsewhere.
const HOPS: u32 = 4;

/// Tokens that are asked for without waiting; then the sub-request waits for the token
/// with the fewest before it. As many as the product asks owners.
const BUSY_TRIES: usize = 2;

/// Sub-requests of one node that a token serves in a row while others wait: on its way
/// between nodes it serves none.
const IN_A_ROW: u32 = 4;

/// Time for which a node leaves a replica alone that failed.
const DOWN_US: u64 = 1_000_000;

/// The slots of replicas as tokens, each with one holder at a time, lent between nodes.
#[derive(Debug)]
pub struct Loans {
    /// Tokens that refused a sub-request, with what waited there.
    asked: HashMap<u64, Vec<(usize, usize)>>,
    by_service: HashMap<ServiceKey, Vec<usize>>,
    down_until_us: HashMap<(NodeKey, ReplicaKey), u64>,
    /// Last holder that a node knows.
    pub(crate) hints: HashMap<(NodeKey, usize), NodeKey>,
    pub(crate) lost: BTreeSet<NodeKey>,
    pub(crate) ramps: HashMap<ReplicaKey, ColdRamp>,
    pub(crate) tokens: Vec<Token>,
}

#[derive(Debug)]
pub(crate) struct Token {
    /// Nodes of the replica's data centre; the first live one is its home.
    pub(crate) homes: Vec<NodeKey>,
    /// Uses since it came to its holder.
    pub(crate) in_a_row: u32,
    pub(crate) place: Place,
    /// Position among the tokens of the replica.
    pub(crate) position: u32,
    pub(crate) replica: ReplicaKey,
    /// Changes with each use and move, so that older timers are void.
    pub(crate) stamp: u64,
    /// Sub-request that runs under it.
    pub(crate) used_by: Option<u64>,
    /// Travels with the token.
    pub(crate) waiting: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Place {
    Held(NodeKey),
    Lost,
    Sent,
}

impl Loans {
    /// Tokens at their homes.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Self {
        let mut by_service: HashMap<ServiceKey, Vec<usize>> = HashMap::new();
        let mut tokens = Vec::new();
        for (index, (&replica, limits)) in deployment.replicas.iter().enumerate() {
            let vms = deployment.vms.iter();
            let near = vms.filter(|(_, vm)| vm.data_centre == limits.data_centre);
            let mut homes: Vec<NodeKey> = near.map(|(&node, _)| node).collect();
            if homes.is_empty() {
                homes = deployment.vms.keys().copied().collect();
            }
            let first = index % homes.len().max(1);
            homes.rotate_left(first);
            for position in 0..limits.slots {
                let service = by_service.entry(limits.service).or_default();
                service.push(tokens.len());
                tokens.push(Token {
                    in_a_row: 0,
                    place: homes.first().map_or(Place::Lost, |&it| Place::Held(it)),
                    homes: homes.clone(),
                    position,
                    replica,
                    stamp: 0,
                    used_by: None,
                    waiting: VecDeque::new(),
                });
            }
        }
        Self {
            asked: HashMap::new(),
            by_service,
            down_until_us: HashMap::new(),
            hints: HashMap::new(),
            lost: BTreeSet::new(),
            ramps: HashMap::new(),
            tokens,
        }
    }

    pub(crate) fn home(&self, token: usize) -> Option<NodeKey> {
        let mut homes = self.tokens[token].homes.iter().copied();
        homes.find(|it| !self.lost.contains(it))
    }

    fn last_known(&self, node: NodeKey, token: usize) -> Option<NodeKey> {
        let hint = self.hints.get(&(node, token)).copied();
        hint.or_else(|| self.home(token))
    }

    /// Time from which the cold bound allows a start under a token.
    fn start_us(&mut self, now_us: u64, token: usize) -> u64 {
        let token = &self.tokens[token];
        let Some(ramp) = self.ramps.get_mut(&token.replica) else {
            return now_us;
        };
        if token.position >= ramp.slots() {
            return now_us + IDLE_US;
        }
        ramp.next_start_us(now_us)
    }

    fn is_free(&mut self, now_us: u64, token: usize, node: NodeKey) -> bool {
        let it = &self.tokens[token];
        let idle = it.place == Place::Held(node) && it.used_by.is_none() && it.waiting.is_empty();
        idle && self.start_us(now_us, token) <= now_us
    }

    /// A sub-request needs a token of one of the usable replicas.
    pub fn want(
        &mut self,
        now_us: u64,
        part: Part,
        usable: &[ReplicaKey],
        rng: &mut Rng,
        near: impl Fn(NodeKey, NodeKey) -> bool,
        actions: &mut Vec<LoanAction>,
    ) {
        let node = part.node;
        let all = self.by_service.get(&part.service);
        let mut tokens = all.cloned().unwrap_or_default();
        tokens.retain(|&it| {
            let replica = self.tokens[it].replica;
            let down = self.down_until_us.get(&(node, replica));
            usable.contains(&replica) && down.is_none_or(|&until| until <= now_us)
        });
        rng.shuffle(&mut tokens);
        if let Some(&own) = tokens.iter().find(|&&it| self.is_free(now_us, it, node)) {
            self.tokens[own].waiting.push_back(part);
            self.advance(now_us, own, |_| true, actions);
            return;
        }
        let asked = self.asked.entry(part.id).or_default().clone();
        let fresh = tokens
            .iter()
            .copied()
            .filter(|token| !asked.iter().any(|(it, _)| it == token));
        let place = |&token: &usize| {
            self.last_known(node, token)
                .is_none_or(|it| !near(it, node))
        };
        let next = fresh.min_by_key(place);
        let shortest = asked
            .iter()
            .filter(|(it, ahead)| tokens.contains(it) && *ahead != UNKNOWN);
        let shortest = shortest.min_by_key(|(_, ahead)| *ahead).map(|(it, _)| *it);
        let known = asked.iter().filter(|(_, ahead)| *ahead != UNKNOWN).count();
        let (token, waits) = match (next, shortest) {
            (Some(next), _) if known < BUSY_TRIES => (next, false),
            (_, Some(shortest)) => (shortest, true),
            (Some(next), None) => (next, true),
            (None, None) => {
                self.asked.remove(&part.id);
                actions.push(LoanAction::TryLater(part));
                return;
            }
        };
        let ask = LoanMessage::Ask {
            hops: 0,
            part,
            token,
            waits,
        };
        match self.last_known(node, token) {
            Some(to) => actions.push(LoanAction::Send(node, to, ask)),
            None => actions.push(LoanAction::TryLater(part)),
        }
    }

    /// A message other than `Busy`, which leads to [`Loans::want`], arrives.
    pub fn deliver(
        &mut self,
        now_us: u64,
        to: NodeKey,
        message: LoanMessage,
        valid: impl Fn(&Part) -> bool,
        actions: &mut Vec<LoanAction>,
    ) {
        match message {
            LoanMessage::Ask {
                hops,
                part,
                token,
                waits,
            } => {
                let held = self.tokens[token].place == Place::Held(to);
                let waiting = self.tokens[token].waiting.len();
                let ahead = if held { waiting } else { UNKNOWN };
                if held && (waits || self.is_free(now_us, token, to)) {
                    self.tokens[token].waiting.push_back(part);
                    self.advance(now_us, token, valid, actions);
                    return;
                }
                let next = self.last_known(to, token);
                if let Some(next) = next.filter(|&it| !held && it != to && hops < HOPS) {
                    let hops = hops + 1;
                    let ask = LoanMessage::Ask {
                        hops,
                        part,
                        token,
                        waits,
                    };
                    actions.push(LoanAction::Send(to, next, ask));
                } else {
                    let busy = LoanMessage::Busy {
                        ahead,
                        part,
                        token,
                        waits,
                    };
                    actions.push(LoanAction::Send(to, part.node, busy));
                }
            }
            LoanMessage::Busy { .. } => {}
            LoanMessage::Token(token) => {
                self.tokens[token].place = Place::Held(to);
                self.tokens[token].in_a_row = 0;
                self.hints.remove(&(to, token));
                self.advance(now_us, token, valid, actions);
            }
        }
    }

    /// Notes that a token was busy.
    pub fn note_busy(&mut self, part: u64, token: usize, ahead: usize) {
        let asked = self.asked.entry(part).or_default();
        asked.retain(|(it, _)| *it != token);
        asked.push((token, ahead));
    }

    /// Uses or passes on a token that its holder does not use.
    fn advance(
        &mut self,
        now_us: u64,
        token: usize,
        valid: impl Fn(&Part) -> bool,
        actions: &mut Vec<LoanAction>,
    ) {
        let it = &mut self.tokens[token];
        let Place::Held(holder) = it.place else {
            return;
        };
        if it.used_by.is_some() {
            return;
        }
        it.stamp += 1;
        let stamp = it.stamp;
        it.waiting.retain(&valid);
        let own = it.waiting.iter().position(|part| part.node == holder);
        if let Some(part) = own
            .filter(|_| it.in_a_row < IN_A_ROW)
            .and_then(|index| it.waiting.remove(index))
        {
            it.waiting.push_front(part);
        }
        let Some(&part) = it.waiting.front() else {
            let at_us = now_us + IDLE_US;
            actions.push(LoanAction::Look {
                at_us,
                stamp,
                token,
            });
            return;
        };
        if part.node != holder {
            self.pass(token, holder, part.node, actions);
            return;
        }
        let at_us = self.start_us(now_us, token);
        if at_us > now_us {
            actions.push(LoanAction::Look {
                at_us,
                stamp,
                token,
            });
            return;
        }
        let it = &mut self.tokens[token];
        it.waiting.pop_front();
        it.used_by = Some(part.id);
        it.in_a_row += 1;
        let replica = it.replica;
        self.asked.remove(&part.id);
        if let Some(ramp) = self.ramps.get_mut(&replica) {
            ramp.started(now_us);
        }
        actions.push(LoanAction::Use(Part {
            replica,
            token: Some(token),
            ..part
        }));
    }

    fn pass(&mut self, token: usize, from: NodeKey, to: NodeKey, actions: &mut Vec<LoanAction>) {
        self.tokens[token].place = Place::Sent;
        self.hints.insert((from, token), to);
        actions.push(LoanAction::Send(from, to, LoanMessage::Token(token)));
    }

    /// The time of a [`LoanAction::Look`] came.
    pub fn look(
        &mut self,
        now_us: u64,
        token: usize,
        stamp: u64,
        valid: impl Fn(&Part) -> bool,
        actions: &mut Vec<LoanAction>,
    ) {
        let it = &self.tokens[token];
        let Place::Held(holder) = it.place else {
            return;
        };
        if it.stamp != stamp {
            return;
        }
        if !it.waiting.is_empty() {
            self.advance(now_us, token, valid, actions);
        } else if let Some(home) = self.home(token).filter(|it| *it != holder) {
            self.tokens[token].stamp += 1;
            self.pass(token, holder, home, actions);
        }
    }

    /// The request that ran under a token ended.
    pub fn release(
        &mut self,
        now_us: u64,
        part: &Part,
        success: bool,
        valid: impl Fn(&Part) -> bool,
        actions: &mut Vec<LoanAction>,
    ) {
        let replica = part.replica;
        if !success {
            let pair = (part.node, replica);
            self.down_until_us.insert(pair, now_us + DOWN_US);
        } else if self
            .ramps
            .get_mut(&replica)
            .is_some_and(|it| it.succeeded(now_us))
        {
            self.ramps.remove(&replica);
        }
        let Some(token) = part.token else {
            return;
        };
        if self.tokens[token].used_by != Some(part.id) {
            return;
        }
        self.tokens[token].used_by = None;
        if !success {
            self.turn_away(token, actions);
        }
        self.advance(now_us, token, valid, actions);
    }
}
