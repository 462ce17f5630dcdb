//! Runs requests at the fake targets of a world and returns their replies to the gates, the
//! decision logic of owner nodes.

use crate::TraceEvent;
use crate::World;
use crate::fake_target::ArrivalOutcome;
use crate::fake_target::FakeTarget;
use crate::load;
use crate::shards;
use crate::world::Event;
use crate::world_setup::shard_position;
use wigeonhall_gate::GateEvent;
use wigeonhall_types::AttemptId;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::Operation;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

/// Time after which a data centre that was taken out of service must get no new requests.
const OUT_GRACE_US: u64 = 3_000_000;

impl World {
    pub(crate) fn target(&mut self, replica: ReplicaKey) -> &mut FakeTarget {
        self.targets
            .get_mut(&replica)
            .expect("every replica has a target")
    }

    pub(crate) fn target_start(&mut self, now_us: u64, node: NodeKey, sub: SubRequest) {
        let replica = sub.replica;
        let data_centre = self.deployment.replicas[&replica].data_centre;
        let out = self.out_since_us.get(&data_centre);
        if out.is_some_and(|&since_us| now_us > since_us + OUT_GRACE_US) {
            self.result.late_starts += 1;
        }
        if now_us >= self.measure_from_us {
            self.result.classes.entry(sub.class).or_default().sent += 1;
        }
        let (attempt, version) = (sub.attempt, sub.version);
        let outcome = match self.target(replica).receive(now_us, attempt, version) {
            ArrivalOutcome::Started => {
                self.at_targets.insert(attempt, (node, sub));
                self.schedule_done(now_us, replica, attempt);
                return;
            }
            ArrivalOutcome::Queued => {
                self.at_targets.insert(attempt, (node, sub));
                return;
            }
            ArrivalOutcome::Draining => TargetOutcome::Draining,
            ArrivalOutcome::Down => TargetOutcome::Unreachable,
            ArrivalOutcome::Shed => TargetOutcome::Shed {
                retry_after_us: crate::fake_target::MEDIAN_SERVICE_US,
            },
            ArrivalOutcome::VersionGone => TargetOutcome::VersionGone,
        };
        self.record(now_us, || TraceEvent::TargetEnded(replica, attempt));
        self.target_reply(now_us, node, replica, attempt, outcome);
    }

    pub(crate) fn schedule_done(&mut self, now_us: u64, replica: ReplicaKey, attempt: AttemptId) {
        let (factor, instance) = {
            let target = self.target(replica);
            (target.service_time_factor(), target.instance)
        };
        if let Some(trace) = &mut self.trace {
            trace.runs(now_us, attempt);
        }
        let mut at_us = now_us + load::service_time_us(&mut self.rng, factor);
        if self.session.is_some() {
            at_us = self.record_begin(now_us, replica, attempt, instance, at_us);
        }
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
        self.record(now_us, || TraceEvent::TargetEnded(replica, attempt));
        let Some((node, sub)) = self.at_targets.remove(&attempt) else {
            return;
        };
        if let Some(trace) = &mut self.trace {
            trace.done(now_us, attempt);
        }
        let outcome = if self.session.is_some() {
            self.session_outcome(now_us, replica, &sub)
        } else {
            self.run_sub_request(replica, &sub)
        };
        self.target_reply(now_us, node, replica, attempt, outcome);
    }

    pub(crate) fn run_sub_request(
        &mut self,
        replica: ReplicaKey,
        sub: &SubRequest,
    ) -> TargetOutcome {
        let target = self.target(replica);
        let newest = target.served.last().map(|it| it.version);
        let Some(version) = sub.version.or(newest) else {
            return TargetOutcome::VersionGone;
        };
        let range = match sub.operation {
            Operation::Read { range } => range,
            Operation::Write { key, .. } => KeyRange {
                start: key,
                end: key + 1,
            },
        };
        let ranges = target.ranges(version, range);
        let is_read = sub.operation.is_idempotent();
        let rows = ranges
            .iter()
            .filter(|_| is_read)
            .flat_map(|&it| shards::rows(it, version))
            .collect();
        TargetOutcome::Answered {
            ranges,
            rows,
            version,
        }
    }

    pub(crate) fn target_reply(
        &mut self,
        now_us: u64,
        node: NodeKey,
        replica: ReplicaKey,
        attempt: AttemptId,
        outcome: TargetOutcome,
    ) {
        let reply = self.reply(replica, outcome);
        let event = GateEvent::TargetReply { attempt, reply };
        let at_us = now_us + self.network.within_us;
        self.events.push(at_us, Event::Gate(node, event));
    }

    pub(crate) fn reply(&mut self, replica: ReplicaKey, outcome: TargetOutcome) -> TargetReply {
        let target = self.target(replica);
        let has_reply = !matches!(
            outcome,
            TargetOutcome::Unreachable | TargetOutcome::ConnectionLost
        );
        TargetReply {
            instance: has_reply.then_some(target.instance),
            outcome,
            served: if has_reply {
                target.served.clone()
            } else {
                Vec::new()
            },
        }
    }

    pub(crate) fn probe(&mut self, now_us: u64, node: NodeKey, replica: ReplicaKey) {
        let target = self.target(replica);
        let outcome = if !target.up {
            TargetOutcome::Unreachable
        } else if target.draining {
            TargetOutcome::Draining
        } else {
            TargetOutcome::Answered {
                ranges: Vec::new(),
                rows: Vec::new(),
                version: target
                    .served
                    .last()
                    .map_or(IndexVersion(0), |it| it.version),
            }
        };
        let reply = self.reply(replica, outcome);
        let event = GateEvent::ProbeReply { replica, reply };
        let at_us = now_us + self.network.within_us;
        self.events.push(at_us, Event::Gate(node, event));
    }

    pub(crate) fn cancel_at_target(
        &mut self,
        now_us: u64,
        replica: ReplicaKey,
        attempt: AttemptId,
    ) {
        let target = self.target(replica);
        if !target.contains(attempt) || target.overrun_us > 0 {
            return;
        }
        if let Some(next) = target.remove(now_us, attempt, false) {
            self.schedule_done(now_us, replica, next);
        }
        self.record(now_us, || TraceEvent::TargetEnded(replica, attempt));
        if let Some((node, _)) = self.at_targets.remove(&attempt) {
            self.target_reply(now_us, node, replica, attempt, TargetOutcome::Cancelled);
        }
    }

    pub(crate) fn crash(&mut self, now_us: u64, replica: ReplicaKey) {
        for attempt in self.target(replica).crash() {
            self.record(now_us, || TraceEvent::TargetEnded(replica, attempt));
            if let Some((node, _)) = self.at_targets.remove(&attempt) {
                let outcome = TargetOutcome::ConnectionLost;
                self.target_reply(now_us, node, replica, attempt, outcome);
            }
        }
    }

    pub(crate) fn roll_target(&mut self, replica: ReplicaKey, version: IndexVersion) {
        let service = self.deployment.replicas[&replica].service;
        let (index, count) = shard_position(&self.deployment, service);
        let newest = self.target(replica).served.last().map(|it| it.version);
        if newest.is_some_and(|it| it >= version) {
            return;
        }
        self.target(replica).served = shards::served(index, count, version);
    }
}
