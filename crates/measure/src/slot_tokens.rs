use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use fastrand::Rng;

use crate::cold_ramp::ColdRamp;
use crate::direct_world::DirectSubRequest;
use crate::token_message::TokenAction;
use crate::token_message::TokenMessage;
use crate::token_message::UNKNOWN_LENGTH;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ServiceKey;

/// Time for which a node keeps an idle token before it returns the token to its home node, to
/// which nodes without a holder hint send their requests.
const IDLE_TIMEOUT_US: u64 = 2_000;

/// Number of times that a request for a token is forwarded before the reply is `Busy`.
const MAX_HOPS: u32 = 4;

/// Number of busy replies after which a sub-request queues for the token with the shortest
/// queue; as many as the refusals after which the query core of the product waits at one owner.
const MAX_BUSY_REPLIES: usize = 2;

/// Number of consecutive uses of a token by its holder while other nodes wait. The slot is idle
/// while its token is in transit, so the token does not move after each use.
const MAX_CONSECUTIVE_USES: u32 = 4;

/// Time for which a node sends nothing to a replica that failed.
const FAILED_REPLICA_PAUSE_US: u64 = 1_000_000;

/// One token for each slot of each replica; nodes pass the tokens to each other, and only the
/// holder of a token may use its slot. This is an alternative to one owner node per replica,
/// simulated for comparison.
#[derive(Debug)]
pub struct SlotTokens {
    /// Tokens that were busy for each waiting sub-request, with the length of their queues.
    busy_tokens: HashMap<u64, Vec<(usize, usize)>>,
    /// Indices of the tokens of each service.
    by_service: HashMap<ServiceKey, Vec<usize>>,
    /// Replicas that failed a request of a node, and the time until which the node avoids them.
    down_until_us: HashMap<(NodeKey, ReplicaKey), u64>,
    /// Last known holder of each token, for each node.
    pub(crate) holder_hints: HashMap<(NodeKey, usize), NodeKey>,
    /// Nodes that crashed and have not been replaced.
    pub(crate) lost: BTreeSet<NodeKey>,
    /// Ramp of each cold replica: the rise of its limits after the start of its process.
    pub(crate) ramps: HashMap<ReplicaKey, ColdRamp>,
    pub(crate) tokens: Vec<Token>,
}

/// The right to use one slot of a replica.
#[derive(Debug)]
pub(crate) struct Token {
    /// Nodes of the replica's data centre; the first one that is not lost is the home node.
    pub(crate) home_nodes: Vec<NodeKey>,
    /// Uses since the token arrived at its holder.
    pub(crate) consecutive_uses: u32,
    pub(crate) location: TokenLocation,
    /// Index of its slot at the replica.
    pub(crate) position: u32,
    pub(crate) replica: ReplicaKey,
    /// Incremented with each use and move, which invalidates older timers.
    pub(crate) timer_version: u64,
    /// Sub-request that runs in the slot.
    pub(crate) used_by: Option<u64>,
    /// Sub-requests that wait for the token; the queue moves between nodes with it.
    pub(crate) waiting: VecDeque<DirectSubRequest>,
}

/// Node that holds a token, or why none does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TokenLocation {
    Held(NodeKey),
    Lost,
    InTransit,
}

impl SlotTokens {
    /// Creates all tokens of a deployment, each held by its home node.
    #[must_use]
    pub fn new(deployment: &Deployment) -> Self {
        let mut by_service: HashMap<ServiceKey, Vec<usize>> = HashMap::new();
        let mut tokens = Vec::new();
        for (index, (&replica, limits)) in deployment.replicas.iter().enumerate() {
            let vms = deployment.vms.iter();
            let local_vms = vms.filter(|(_, vm)| vm.data_centre == limits.data_centre);
            let mut home_nodes: Vec<NodeKey> = local_vms.map(|(&node, _)| node).collect();
            if home_nodes.is_empty() {
                home_nodes = deployment.vms.keys().copied().collect();
            }
            let first = index % home_nodes.len().max(1);
            home_nodes.rotate_left(first);
            for position in 0..limits.slots {
                let service = by_service.entry(limits.service).or_default();
                service.push(tokens.len());
                tokens.push(Token {
                    consecutive_uses: 0,
                    location: home_nodes
                        .first()
                        .map_or(TokenLocation::Lost, |&it| TokenLocation::Held(it)),
                    home_nodes: home_nodes.clone(),
                    position,
                    replica,
                    timer_version: 0,
                    used_by: None,
                    waiting: VecDeque::new(),
                });
            }
        }
        Self {
            busy_tokens: HashMap::new(),
            by_service,
            down_until_us: HashMap::new(),
            holder_hints: HashMap::new(),
            lost: BTreeSet::new(),
            ramps: HashMap::new(),
            tokens,
        }
    }

    pub(crate) fn home_node(&self, token: usize) -> Option<NodeKey> {
        let mut home_nodes = self.tokens[token].home_nodes.iter().copied();
        home_nodes.find(|it| !self.lost.contains(it))
    }

    fn last_known_holder(&self, node: NodeKey, token: usize) -> Option<NodeKey> {
        let hint = self.holder_hints.get(&(node, token)).copied();
        hint.or_else(|| self.home_node(token))
    }

    /// Returns the time from which the cold bound allows a start in the slot of a token.
    fn earliest_start_us(&mut self, now_us: u64, token: usize) -> u64 {
        let token = &self.tokens[token];
        let Some(ramp) = self.ramps.get_mut(&token.replica) else {
            return now_us;
        };
        if token.position >= ramp.slots() {
            // The ramp does not allow this slot yet; checks again after a short time.
            return now_us + IDLE_TIMEOUT_US;
        }
        ramp.next_start_us(now_us)
    }

    fn is_free(&mut self, now_us: u64, token: usize, node: NodeKey) -> bool {
        let it = &self.tokens[token];
        let idle = it.location == TokenLocation::Held(node)
            && it.used_by.is_none()
            && it.waiting.is_empty();
        idle && self.earliest_start_us(now_us, token) <= now_us
    }

    /// Requests a token of one of the usable replicas for a sub-request. Prefers free tokens
    /// that the node holds, then tokens whose last known holder is in its data centre.
    pub fn request(
        &mut self,
        now_us: u64,
        sub_request: DirectSubRequest,
        usable: &[ReplicaKey],
        rng: &mut Rng,
        is_same_data_centre: impl Fn(NodeKey, NodeKey) -> bool,
        actions: &mut Vec<TokenAction>,
    ) {
        let node = sub_request.node;
        let all = self.by_service.get(&sub_request.service);
        let mut tokens = all.cloned().unwrap_or_default();
        tokens.retain(|&it| {
            let replica = self.tokens[it].replica;
            let down = self.down_until_us.get(&(node, replica));
            usable.contains(&replica) && down.is_none_or(|&until| until <= now_us)
        });
        rng.shuffle(&mut tokens);
        if let Some(&own) = tokens.iter().find(|&&it| self.is_free(now_us, it, node)) {
            self.tokens[own].waiting.push_back(sub_request);
            self.advance(now_us, own, |_| true, actions);
            return;
        }
        let busy_tokens = self.busy_tokens.entry(sub_request.id).or_default().clone();
        let untried = tokens
            .iter()
            .copied()
            .filter(|token| !busy_tokens.iter().any(|(it, _)| it == token));
        let is_remote = |&token: &usize| {
            self.last_known_holder(node, token)
                .is_none_or(|it| !is_same_data_centre(it, node))
        };
        let next = untried.min_by_key(is_remote);
        let shortest = busy_tokens
            .iter()
            .filter(|(it, queue_length)| tokens.contains(it) && *queue_length != UNKNOWN_LENGTH);
        let shortest = shortest
            .min_by_key(|(_, queue_length)| *queue_length)
            .map(|(it, _)| *it);
        let busy_replies = busy_tokens
            .iter()
            .filter(|(_, queue_length)| *queue_length != UNKNOWN_LENGTH)
            .count();
        let (token, queue_if_busy) = match (next, shortest) {
            (Some(next), _) if busy_replies < MAX_BUSY_REPLIES => (next, false),
            (_, Some(shortest)) => (shortest, true),
            (Some(next), None) => (next, true),
            (None, None) => {
                self.busy_tokens.remove(&sub_request.id);
                actions.push(TokenAction::RetryLater(sub_request));
                return;
            }
        };
        let request = TokenMessage::Request {
            hops: 0,
            sub_request,
            token,
            queue_if_busy,
        };
        match self.last_known_holder(node, token) {
            Some(to) => actions.push(TokenAction::Send(node, to, request)),
            None => actions.push(TokenAction::RetryLater(sub_request)),
        }
    }

    /// Handles a message, except `Busy`, after which the simulation calls
    /// [`SlotTokens::request`] again.
    pub fn deliver(
        &mut self,
        now_us: u64,
        to: NodeKey,
        message: TokenMessage,
        is_waiting: impl Fn(&DirectSubRequest) -> bool,
        actions: &mut Vec<TokenAction>,
    ) {
        match message {
            TokenMessage::Request {
                hops,
                sub_request,
                token,
                queue_if_busy,
            } => {
                let held = self.tokens[token].location == TokenLocation::Held(to);
                let waiting = self.tokens[token].waiting.len();
                let queue_length = if held { waiting } else { UNKNOWN_LENGTH };
                if held && (queue_if_busy || self.is_free(now_us, token, to)) {
                    self.tokens[token].waiting.push_back(sub_request);
                    self.advance(now_us, token, is_waiting, actions);
                    return;
                }
                let next = self.last_known_holder(to, token);
                if let Some(next) = next.filter(|&it| !held && it != to && hops < MAX_HOPS) {
                    let hops = hops + 1;
                    let request = TokenMessage::Request {
                        hops,
                        sub_request,
                        token,
                        queue_if_busy,
                    };
                    actions.push(TokenAction::Send(to, next, request));
                } else {
                    let busy = TokenMessage::Busy {
                        queue_length,
                        sub_request,
                        token,
                        queue_if_busy,
                    };
                    actions.push(TokenAction::Send(to, sub_request.node, busy));
                }
            }
            TokenMessage::Busy { .. } => {}
            TokenMessage::Token(token) => {
                self.tokens[token].location = TokenLocation::Held(to);
                self.tokens[token].consecutive_uses = 0;
                self.holder_hints.remove(&(to, token));
                self.advance(now_us, token, is_waiting, actions);
            }
        }
    }

    /// Records that a token was busy for a sub-request.
    pub fn record_busy(&mut self, sub_request: u64, token: usize, queue_length: usize) {
        let busy_tokens = self.busy_tokens.entry(sub_request).or_default();
        busy_tokens.retain(|(it, _)| *it != token);
        busy_tokens.push((token, queue_length));
    }

    /// Gives a token that is not in use to the next waiting sub-request: starts the sub-request
    /// if it is one of the holder, or passes the token to its node.
    fn advance(
        &mut self,
        now_us: u64,
        token: usize,
        is_waiting: impl Fn(&DirectSubRequest) -> bool,
        actions: &mut Vec<TokenAction>,
    ) {
        let it = &mut self.tokens[token];
        let TokenLocation::Held(holder) = it.location else {
            return;
        };
        if it.used_by.is_some() {
            return;
        }
        it.timer_version += 1;
        let timer_version = it.timer_version;
        it.waiting.retain(&is_waiting);
        let own = it
            .waiting
            .iter()
            .position(|sub_request| sub_request.node == holder);
        if let Some(sub_request) = own
            .filter(|_| it.consecutive_uses < MAX_CONSECUTIVE_USES)
            .and_then(|index| it.waiting.remove(index))
        {
            it.waiting.push_front(sub_request);
        }
        let Some(&sub_request) = it.waiting.front() else {
            let at_us = now_us + IDLE_TIMEOUT_US;
            actions.push(TokenAction::CheckLater {
                at_us,
                timer_version,
                token,
            });
            return;
        };
        if sub_request.node != holder {
            self.send_token(token, holder, sub_request.node, actions);
            return;
        }
        let at_us = self.earliest_start_us(now_us, token);
        if at_us > now_us {
            actions.push(TokenAction::CheckLater {
                at_us,
                timer_version,
                token,
            });
            return;
        }
        let it = &mut self.tokens[token];
        it.waiting.pop_front();
        it.used_by = Some(sub_request.id);
        it.consecutive_uses += 1;
        let replica = it.replica;
        self.busy_tokens.remove(&sub_request.id);
        if let Some(ramp) = self.ramps.get_mut(&replica) {
            ramp.record_start(now_us);
        }
        actions.push(TokenAction::Dispatch(DirectSubRequest {
            replica,
            token: Some(token),
            ..sub_request
        }));
    }

    fn send_token(
        &mut self,
        token: usize,
        from: NodeKey,
        to: NodeKey,
        actions: &mut Vec<TokenAction>,
    ) {
        self.tokens[token].location = TokenLocation::InTransit;
        self.holder_hints.insert((from, token), to);
        actions.push(TokenAction::Send(from, to, TokenMessage::Token(token)));
    }

    /// Handles the timer of a [`TokenAction::CheckLater`]: starts a waiting sub-request, or
    /// returns an idle token to its home node.
    pub fn check(
        &mut self,
        now_us: u64,
        token: usize,
        timer_version: u64,
        is_waiting: impl Fn(&DirectSubRequest) -> bool,
        actions: &mut Vec<TokenAction>,
    ) {
        let it = &self.tokens[token];
        let TokenLocation::Held(holder) = it.location else {
            return;
        };
        if it.timer_version != timer_version {
            return;
        }
        if !it.waiting.is_empty() {
            self.advance(now_us, token, is_waiting, actions);
        } else if let Some(home_node) = self.home_node(token).filter(|it| *it != holder) {
            self.tokens[token].timer_version += 1;
            self.send_token(token, holder, home_node, actions);
        }
    }

    /// Releases the token of a request that ended.
    pub fn release(
        &mut self,
        now_us: u64,
        sub_request: &DirectSubRequest,
        success: bool,
        is_waiting: impl Fn(&DirectSubRequest) -> bool,
        actions: &mut Vec<TokenAction>,
    ) {
        let replica = sub_request.replica;
        if !success {
            let pair = (sub_request.node, replica);
            self.down_until_us
                .insert(pair, now_us + FAILED_REPLICA_PAUSE_US);
        } else if self
            .ramps
            .get_mut(&replica)
            .is_some_and(|it| it.record_success(now_us))
        {
            self.ramps.remove(&replica);
        }
        let Some(token) = sub_request.token else {
            return;
        };
        if self.tokens[token].used_by != Some(sub_request.id) {
            return;
        }
        self.tokens[token].used_by = None;
        if !success {
            self.reject_waiting(token, actions);
        }
        self.advance(now_us, token, is_waiting, actions);
    }
}
