//! Requests at targets, and the faults of a scenario, in a [`DirectWorld`] simulation, where
//! entry nodes call targets directly instead of through an owner node.

use crate::connections::Checkout;
use crate::direct_world::DirectSubRequest;
use crate::direct_world::DirectWorld;
use crate::direct_world::Event;
use crate::direct_world::Limiter;
use crate::fake_target::ArrivalOutcome;
use crate::fake_target::FakeTarget;
use crate::load;
use crate::scenario::Fault;
use crate::world_loss::CONNECTION_BROKEN;
use wigeonhall_types::AttemptId;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// Delay of a retry, on any usable replica, after a refusal or failure.
pub(crate) const RETRY_DELAY_US: u64 = 5_000;

/// Time from the crash of a target to its restart.
const RESTART_DELAY_US: u64 = 1_000_000;

impl DirectWorld {
    pub(crate) fn target(&mut self, replica: ReplicaKey) -> &mut FakeTarget {
        self.targets
            .get_mut(&replica)
            .expect("every replica has a target")
    }

    /// Sends a sub-request as soon as the limiter allows it: at once, once the entry node
    /// holds the token of a slot, or once a slot of the node's fixed share is free.
    pub(crate) fn send(&mut self, now_us: u64, mut sub_request: DirectSubRequest) {
        if !self.open_queries.contains_key(&sub_request.query) {
            return;
        }
        match self.limiter {
            Limiter::Unlimited => {
                sub_request.replica = self.pick_replica(sub_request.service);
                self.dispatch(now_us, sub_request);
            }
            Limiter::SlotTokens(_) => self.request_token(now_us, sub_request),
            Limiter::SlotShares(_) => self.queue_for_share(now_us, sub_request),
        }
    }

    /// Sends a request to its target over an idle or a new connection, or retries later if the
    /// target has no connection left.
    pub(crate) fn dispatch(&mut self, now_us: u64, sub_request: DirectSubRequest) {
        let limits = self.deployment.replicas[&sub_request.replica];
        let mut at_us = now_us + self.target_delay_us(sub_request.node, limits.data_centre);
        if let Some(connections) = &mut self.connections {
            match connections.check_out(sub_request.node, sub_request.replica, limits.connections) {
                Checkout::Full => {
                    self.result.limit_violations.connections += 1;
                    self.release(now_us, sub_request, true);
                    self.events
                        .push(now_us + RETRY_DELAY_US, Event::Send(sub_request));
                    return;
                }
                Checkout::Idle => {}
                Checkout::New(total) => {
                    at_us += limits.connect_us;
                    let traffic = &mut self.result.traffic;
                    traffic.connections_opened += u64::from(now_us >= self.measure_from_us);
                    traffic.max_target_connections = traffic.max_target_connections.max(total);
                }
            }
        }
        self.events.push(at_us, Event::ArriveAtTarget(sub_request));
    }

    fn target_delay_us(&self, node: NodeKey, data_centre: DataCentreKey) -> u64 {
        let from = self.deployment.vms[&node].data_centre;
        self.network.delay_us(from, data_centre)
    }

    /// Delivers a request to its target, and retries it later if the target refuses it.
    pub(crate) fn arrive_at_target(&mut self, now_us: u64, sub_request: DirectSubRequest) {
        if now_us >= self.measure_from_us
            && let Some(open) = self.open_queries.get(&sub_request.query)
        {
            self.result.classes.entry(open.class).or_default().sent += 1;
        }
        let attempt = AttemptId {
            boot: 1,
            sequence: self.next_attempt,
        };
        self.next_attempt += 1;
        match self
            .target(sub_request.replica)
            .receive(now_us, attempt, None)
        {
            ArrivalOutcome::Started => {
                self.at_targets.insert(attempt, sub_request);
                self.schedule_done(now_us, sub_request.replica, attempt);
            }
            ArrivalOutcome::Queued => {
                self.at_targets.insert(attempt, sub_request);
            }
            ArrivalOutcome::Draining
            | ArrivalOutcome::Down
            | ArrivalOutcome::Shed
            | ArrivalOutcome::VersionGone => {
                self.retry_later(now_us, sub_request);
            }
        }
    }

    fn schedule_done(&mut self, now_us: u64, replica: ReplicaKey, attempt: AttemptId) {
        let (factor, instance) = {
            let target = self.target(replica);
            (target.service_time_factor(), target.instance)
        };
        let at_us = now_us + load::service_time_us(&mut self.rng, factor);
        self.events
            .push(at_us, Event::TargetDone(replica, attempt, instance));
    }

    pub(crate) fn target_done(
        &mut self,
        now_us: u64,
        replica: ReplicaKey,
        attempt: AttemptId,
        instance: u64,
    ) {
        let target = self.target(replica);
        if target.instance != instance || !target.contains(attempt) {
            return;
        }
        if let Some(next) = target.remove(now_us, attempt, true) {
            self.schedule_done(now_us, replica, next);
        }
        if let Some(sub_request) = self.at_targets.remove(&attempt) {
            let data_centre = self.deployment.replicas[&replica].data_centre;
            let at_us = now_us + self.target_delay_us(sub_request.node, data_centre);
            self.events.push(at_us, Event::ReplyArrived(sub_request));
        }
    }

    pub(crate) fn handle_reply(&mut self, now_us: u64, sub_request: DirectSubRequest) {
        self.release(now_us, sub_request, true);
        self.count_reply(now_us, sub_request.query);
    }

    /// Retries a request that its target refused or that ended in the crash of its target.
    fn retry_later(&mut self, now_us: u64, sub_request: DirectSubRequest) {
        self.release(now_us, sub_request, false);
        self.events
            .push(now_us + RETRY_DELAY_US, Event::Send(sub_request));
    }

    /// Releases the connection of a request, and its share or token.
    fn release(&mut self, now_us: u64, sub_request: DirectSubRequest, success: bool) {
        if self.lost.contains(&sub_request.node) {
            return;
        }
        if let Some(connections) = &mut self.connections {
            connections.check_in(sub_request.node, sub_request.replica);
        }
        match &mut self.limiter {
            Limiter::Unlimited => {}
            Limiter::SlotTokens(_) => self.release_token(now_us, sub_request, success),
            Limiter::SlotShares(shares) => {
                shares.release(now_us, &sub_request, success);
                self.start_queued(now_us, sub_request.node, sub_request.service);
            }
        }
    }

    pub(crate) fn apply_fault(&mut self, now_us: u64, fault: Fault) {
        match fault {
            Fault::DataCentreOut(data_centre) => {
                self.out.insert(data_centre);
                self.reassign_shares();
            }
            Fault::DataCentreIn(data_centre) => {
                self.out.remove(&data_centre);
                self.reassign_shares();
            }
            Fault::TargetLost(replica) => self.crash(now_us, replica),
            Fault::NodeLost(node) => self.lose_node(now_us, node),
            Fault::NodeReplaced(node) => {
                self.lost.remove(&node);
                if let Limiter::SlotTokens(tokens) = &mut self.limiter {
                    tokens.replace_node(node);
                }
            }
            Fault::TargetRestart(replica) => {
                self.crash(now_us, replica);
                self.events
                    .push(now_us + RESTART_DELAY_US, Event::Restart(replica));
            }
            Fault::TargetSlow(replica, factor) => self.target(replica).slowness = factor,
            // Index versions are not modelled.
            Fault::VersionRoll => {}
        }
    }

    fn reassign_shares(&mut self) {
        if let Limiter::SlotShares(shares) = &mut self.limiter {
            shares.assign(&self.deployment, &self.out);
        }
    }

    fn crash(&mut self, now_us: u64, replica: ReplicaKey) {
        let lost = self.target(replica).crash();
        if let Some(connections) = &mut self.connections {
            connections.lose_target(replica);
        }
        for attempt in lost {
            if let Some(sub_request) = self.at_targets.remove(&attempt) {
                self.retry_later(now_us, sub_request);
            }
        }
    }

    pub(crate) fn restart(&mut self, now_us: u64, replica: ReplicaKey) {
        let target = self.target(replica);
        let instance = target.instance + 1;
        target.restart(instance);
        match &mut self.limiter {
            Limiter::Unlimited => {}
            Limiter::SlotTokens(tokens) => tokens.start_ramp(now_us, replica, &self.deployment),
            Limiter::SlotShares(shares) => shares.start_ramp(now_us, replica, &self.deployment),
        }
    }

    /// Crashes an entry node. Its open queries fail, but targets complete its requests.
    fn lose_node(&mut self, now_us: u64, node: NodeKey) {
        self.lost.insert(node);
        let open = self.open_queries.iter().filter(|(_, it)| it.node == node);
        let broken: Vec<u64> = open.map(|(&query, _)| query).collect();
        for query in broken {
            self.fail_query(query, CONNECTION_BROKEN);
        }
        if let Some(connections) = &mut self.connections {
            connections.lose_node(node);
        }
        match &mut self.limiter {
            Limiter::Unlimited => {}
            Limiter::SlotTokens(_) => self.lose_tokens(now_us, node),
            Limiter::SlotShares(shares) => shares.lose_node(node),
        }
    }
}
