use wigeonhall_dispatch::QuotaDecision;
use wigeonhall_dispatch::QuotaMessage;
use wigeonhall_dispatch::QuotaNode;
use wigeonhall_dispatch::QuotaOwner;
use wigeonhall_dispatch::QuotaReply;

use crate::quota_fleet::ASK_TIMEOUT_US;
use crate::quota_fleet::Event;
use crate::quota_fleet::Fleet;
use crate::quota_fleet::MESSAGE_TIMEOUT_US;
use crate::quota_fleet::Message;
use crate::quota_fleet::Purpose;
use crate::quota_fleet::number_of;
use crate::quota_fleet::peer;
use crate::quota_fleet::quota_node;

/// Delivers messages and replies, or lets them time out.
impl Fleet {
    pub(super) fn send(
        &mut self,
        from: usize,
        to: &QuotaNode,
        message: QuotaMessage,
        purpose: Purpose,
    ) {
        let to = number_of(&to.name);
        let (now_us, id) = (self.now_us, self.next);
        let timeout_us = match purpose {
            Purpose::Ask(..) => ASK_TIMEOUT_US,
            Purpose::Announce => {
                MESSAGE_TIMEOUT_US + QuotaOwner::announcement_us(&self.nodes[from].peers)
            }
            Purpose::Report | Purpose::Sync => MESSAGE_TIMEOUT_US,
        };
        let message = Message {
            body: message,
            from,
            purpose,
            to,
        };
        self.in_flight.insert(id, message);
        if from == to {
            return self.deliver(id);
        }
        self.messages += 1;
        self.schedule(now_us + timeout_us, Event::Timeout(id));
        if self.nodes[from].island == self.nodes[to].island {
            let latency_us = self.latency_us();
            self.schedule(now_us + latency_us, Event::Deliver(id));
        }
    }

    fn latency_us(&mut self) -> u64 {
        self.rng.u64(100..4_000)
    }

    pub(super) fn deliver(&mut self, id: u64) {
        let now_us = self.now_us;
        let Some(sent) = self.in_flight.get(&id).cloned() else {
            return;
        };
        let receiver = &mut self.nodes[sent.to];
        if !receiver.alive {
            // The connection is refused.
            return self.schedule(now_us, Event::Timeout(id));
        }
        if receiver.frozen_until_us > now_us {
            let thaw_us = receiver.frozen_until_us;
            return self.schedule(thaw_us, Event::Deliver(id));
        }
        let message = &sent.body;
        receiver.view.apply_announcement(now_us, &message.limited);
        if message.suspicious {
            receiver.view.apply_suspicion(now_us);
        }
        let specs = &self.specs;
        let find = |name: &str| specs.iter().find(|it| *it.name == *name);
        let reply = receiver
            .owner
            .receive(now_us, message, &receiver.peers, find);
        self.notify(sent.to);
        if sent.from == sent.to {
            self.reply(id, &reply);
        } else {
            let latency_us = self.latency_us();
            self.schedule(now_us + latency_us, Event::Reply(id, reply));
        }
    }

    pub(super) fn reply(&mut self, id: u64, reply: &QuotaReply) {
        let Some(sent) = self.in_flight.remove(&id) else {
            return;
        };
        let now_us = self.now_us;
        let to = peer(sent.to).name;
        let node = &mut self.nodes[sent.from];
        match sent.purpose {
            Purpose::Announce => node.owner.acknowledge(now_us, &to, &sent.body.limited),
            Purpose::Report => drop(node.view.apply_reply(now_us, &to, reply)),
            Purpose::Sync => node.owner.sync(now_us, reply),
            Purpose::Ask(tenant, sent_us, owners) => {
                node.view.apply_reply(now_us, &to, reply);
                let answer = reply.answer.expect("an answer");
                let spec = &self.specs[tenant];
                match node.view.apply_answer(now_us, spec, &to, answer) {
                    Some(decision) => self.follow(sent.from, tenant, sent_us, decision),
                    None => self.ask_next(sent.from, tenant, sent_us, owners),
                }
            }
        }
        self.notify(sent.from);
    }

    pub(super) fn fail(&mut self, sent: Message) {
        let node = &mut self.nodes[sent.from];
        let owner = quota_node(sent.to);
        if let Purpose::Announce = sent.purpose {
            return node
                .owner
                .remove_acknowledgement(&owner.name, &sent.body.limited);
        }
        if let Purpose::Sync = sent.purpose {
            return;
        }
        node.view.record_failure(self.now_us, &owner, &sent.body);
        self.notify(sent.from);
        if let Purpose::Ask(tenant, sent_us, owners) = sent.purpose {
            self.ask_next(sent.from, tenant, sent_us, owners);
        }
    }

    fn ask_next(&mut self, node: usize, tenant: usize, sent_us: u64, owners: Vec<QuotaNode>) {
        if !owners.is_empty() {
            return self.follow(node, tenant, sent_us, QuotaDecision::Ask(owners));
        }
        let (spec, random) = (self.specs[tenant].clone(), self.rng.f64());
        let it = &mut self.nodes[node];
        let decision = it
            .view
            .admit_by_share(self.now_us, &spec, &it.peers, random);
        self.follow(node, tenant, sent_us, decision);
    }
}
