//! Requests of plain ways at their targets, and faults.

use crate::connections::Taken;
use crate::fake_target::Arrival;
use crate::fake_target::FakeTarget;
use crate::load;
use crate::plain::Event;
use crate::plain::Holding;
use crate::plain::Part;
use crate::plain::Plain;
use crate::scenario::Fault;
use crate::world_loss::BROKEN;
use wigeonhall_types::AttemptId;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::NodeKey;
use wigeonhall_types::ReplicaKey;

/// Time before another replica is asked after a refusal.
pub(crate) const RETRY_US: u64 = 5_000;

/// Time from the end of a target to its restart.
const RESTART_US: u64 = 1_000_000;

impl Plain {
    pub(crate) fn target(&mut self, replica: ReplicaKey) -> &mut FakeTarget {
        self.targets
            .get_mut(&replica)
            .expect("every replica has a target")
    }

    pub(crate) fn send(&mut self, now_us: u64, mut part: Part) {
        if !self.open.contains_key(&part.query) {
            return;
        }
        match self.holding {
            Holding::Nothing => {
                part.replica = self.pick(part.service);
                self.dispatch(now_us, part);
            }
            Holding::Loans(_) => self.ask_token(now_us, part),
            Holding::Shares(_) => self.wait_for_share(now_us, part),
        }
    }

    /// Sends a request on its way over an idle or a new connection.
    pub(crate) fn dispatch(&mut self, now_us: u64, part: Part) {
        let limits = self.deployment.replicas[&part.replica];
        let mut at_us = now_us + self.way_us(part.node, limits.data_centre);
        if let Some(connections) = &mut self.connections {
            match connections.take(part.node, part.replica, limits.connections) {
                Taken::Full => {
                    self.result.over.connections += 1;
                    self.release(now_us, part, true);
                    self.events.push(now_us + RETRY_US, Event::Send(part));
                    return;
                }
                Taken::Idle => {}
                Taken::New(total) => {
                    at_us += limits.connect_us;
                    let traffic = &mut self.result.traffic;
                    traffic.connections_opened += u64::from(now_us >= self.measure_from_us);
                    traffic.most_connections = traffic.most_connections.max(total);
                }
            }
        }
        self.events.push(at_us, Event::Start(part));
    }

    fn way_us(&self, node: NodeKey, data_centre: DataCentreKey) -> u64 {
        let from = self.deployment.vms[&node].data_centre;
        self.network.delay_us(from, data_centre)
    }

    pub(crate) fn start(&mut self, now_us: u64, part: Part) {
        if now_us >= self.measure_from_us
            && let Some(open) = self.open.get(&part.query)
        {
            self.result.classes.entry(open.class).or_default().sent += 1;
        }
        let attempt = AttemptId {
            boot: 1,
            sequence: self.next_attempt,
        };
        self.next_attempt += 1;
        match self.target(part.replica).arrive(now_us, attempt, None) {
            Arrival::Starts => {
                self.held.insert(attempt, part);
                self.plan_done(now_us, part.replica, attempt);
            }
            Arrival::Held => {
                self.held.insert(attempt, part);
            }
            Arrival::Draining | Arrival::Down | Arrival::Shed | Arrival::VersionGone => {
                self.failed(now_us, part);
            }
        }
    }

    fn plan_done(&mut self, now_us: u64, replica: ReplicaKey, attempt: AttemptId) {
        let (factor, instance) = {
            let target = self.target(replica);
            (target.factor(), target.instance)
        };
        let at_us = now_us + load::service_time_us(&mut self.rng, factor);
        self.events
            .push(at_us, Event::Done(replica, attempt, instance));
    }

    pub(crate) fn done(
        &mut self,
        now_us: u64,
        replica: ReplicaKey,
        attempt: AttemptId,
        instance: u64,
    ) {
        let target = self.target(replica);
        if target.instance != instance || !target.holds(attempt) {
            return;
        }
        if let Some(next) = target.leave(now_us, attempt, true) {
            self.plan_done(now_us, replica, next);
        }
        if let Some(part) = self.held.remove(&attempt) {
            let at = self.deployment.replicas[&replica].data_centre;
            let at_us = now_us + self.way_us(part.node, at);
            self.events.push(at_us, Event::PartDone(part));
        }
    }

    pub(crate) fn part_done(&mut self, now_us: u64, part: Part) {
        self.release(now_us, part, true);
        self.part_answered(now_us, part.query);
    }

    /// A target did not run a request, or lost it.
    fn failed(&mut self, now_us: u64, part: Part) {
        self.release(now_us, part, false);
        self.events.push(now_us + RETRY_US, Event::Send(part));
    }

    /// Gives back the connection of a request, and its share or token.
    fn release(&mut self, now_us: u64, part: Part, success: bool) {
        if self.lost.contains(&part.node) {
            return;
        }
        if let Some(connections) = &mut self.connections {
            connections.put_back(part.node, part.replica);
        }
        match &mut self.holding {
            Holding::Nothing => {}
            Holding::Loans(_) => self.release_token(now_us, part, success),
            Holding::Shares(shares) => {
                shares.release(now_us, &part, success);
                self.use_shares(now_us, part.node, part.service);
            }
        }
    }

    pub(crate) fn fault(&mut self, now_us: u64, fault: Fault) {
        match fault {
            Fault::DataCentreOut(data_centre) => {
                self.out.insert(data_centre);
                self.deal_shares();
            }
            Fault::DataCentreIn(data_centre) => {
                self.out.remove(&data_centre);
                self.deal_shares();
            }
            Fault::Lost(replica) => self.crash(now_us, replica),
            Fault::NodeLost(node) => self.lose_node(now_us, node),
            Fault::NodeReplaced(node) => {
                self.lost.remove(&node);
                if let Holding::Loans(loans) = &mut self.holding {
                    loans.replace_node(node);
                }
            }
            Fault::Restart(replica) => {
                self.crash(now_us, replica);
                self.events
                    .push(now_us + RESTART_US, Event::Restart(replica));
            }
            Fault::Slow(replica, factor) => self.target(replica).slowness = factor,
            Fault::VersionRoll => {}
        }
    }

    fn deal_shares(&mut self) {
        if let Holding::Shares(shares) = &mut self.holding {
            shares.deal(&self.deployment, &self.out);
        }
    }

    fn crash(&mut self, now_us: u64, replica: ReplicaKey) {
        let lost = self.target(replica).crash();
        if let Some(connections) = &mut self.connections {
            connections.lose_target(replica);
        }
        for attempt in lost {
            if let Some(part) = self.held.remove(&attempt) {
                self.failed(now_us, part);
            }
        }
    }

    pub(crate) fn restart(&mut self, now_us: u64, replica: ReplicaKey) {
        let target = self.target(replica);
        let instance = target.instance + 1;
        target.restart(instance);
        match &mut self.holding {
            Holding::Nothing => {}
            Holding::Loans(loans) => loans.restarted(now_us, replica, &self.deployment),
            Holding::Shares(shares) => shares.restarted(now_us, replica, &self.deployment),
        }
    }

    /// An entry node ends: its queries break; targets run its requests to their end.
    fn lose_node(&mut self, now_us: u64, node: NodeKey) {
        self.lost.insert(node);
        let open = self.open.iter().filter(|(_, it)| it.node == node);
        let broken: Vec<u64> = open.map(|(&query, _)| query).collect();
        for query in broken {
            self.end(query, BROKEN);
        }
        if let Some(connections) = &mut self.connections {
            connections.lose_node(node);
        }
        match &mut self.holding {
            Holding::Nothing => {}
            Holding::Loans(_) => self.lose_tokens(now_us, node),
            Holding::Shares(shares) => shares.lose_node(node),
        }
    }
}
