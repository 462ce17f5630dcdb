//! Builders shared by the test files.
#![allow(dead_code, reason = "each test file uses some of the builders")]

use std::sync::Arc;
use wigeonhall_gate::Gate;
use wigeonhall_gate::GateAction;
use wigeonhall_gate::GateEvent;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::ClassKind;
use wigeonhall_types::ColdBound;
use wigeonhall_types::DataCentre;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::HandOverState;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::Operation;
use wigeonhall_types::QueryClass;
use wigeonhall_types::RefusalReason;
use wigeonhall_types::Replica;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::ReplicaReport;
use wigeonhall_types::ServedVersion;
use wigeonhall_types::ServiceKey;
use wigeonhall_types::ServiceLevel;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

pub const REPLICA: ReplicaKey = ReplicaKey(0);
pub const VERSION: IndexVersion = IndexVersion(7);
pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;

/// Class 0 has weight 3 and class 1 weight 1; each may take half of the slots
/// while the other waits.
pub fn deployment(slots: u32, cold: ColdBound) -> Deployment {
    let class = |weight| QueryClass {
        deadline_ms: 100,
        depends_on: vec![ServiceKey(0)],
        kind: ClassKind::Read,
        level: ServiceLevel {
            latency_ms: 50,
            objective_ppm: 999_000,
        },
        slot_share_percent: 50,
        weight,
    };
    let data_centre = DataCentre {
        out: false,
        region: "south".into(),
    };
    let replica = Replica {
        address: "127.0.0.1:1".parse().unwrap(),
        cold,
        connect_us: 1_000,
        connections: 50,
        data_centre: DataCentreKey(0),
        out: false,
        service: ServiceKey(0),
        slots,
    };
    Deployment {
        classes: [(ClassKey(0), class(3)), (ClassKey(1), class(1))].into(),
        data_centres: [(DataCentreKey(0), data_centre)].into(),
        generation: 1,
        replicas: [(REPLICA, replica)].into(),
        ..Deployment::default()
    }
}

pub const fn cold(slots: u32, requests_per_s: u32) -> ColdBound {
    ColdBound {
        requests_per_s,
        slots,
    }
}

/// A warm hand-over with nothing running and a typical time of 10 ms.
pub fn warm() -> HandOverState {
    HandOverState {
        allowance: u32::MAX,
        instance: Some(1),
        running: 0,
        running_for_us: 0,
        served: served(),
        service_us: 10 * MS,
    }
}

pub fn served() -> Vec<ServedVersion> {
    vec![ServedVersion {
        ranges: vec![KeyRange::WHOLE],
        version: VERSION,
    }]
}

pub fn attempt(sequence: u64) -> AttemptId {
    AttemptId { boot: 1, sequence }
}

pub fn request(sequence: u64, deadline_us: u64) -> SubRequest {
    SubRequest {
        attempt: attempt(sequence),
        class: ClassKey(0),
        deadline_us,
        epoch: 1,
        operation: Operation::Read {
            range: KeyRange::WHOLE,
        },
        replica: REPLICA,
        version: Some(VERSION),
    }
}

pub fn reply(outcome: TargetOutcome) -> TargetReply {
    TargetReply {
        instance: Some(1),
        outcome,
        served: served(),
    }
}

pub fn answered() -> TargetReply {
    reply(TargetOutcome::Answered {
        ranges: vec![KeyRange::WHOLE],
        rows: Vec::new(),
        version: VERSION,
    })
}

pub fn answered_by(instance: u64) -> TargetReply {
    TargetReply {
        instance: Some(instance),
        ..answered()
    }
}

/// A gate with a log of its actions.
#[derive(Default)]
pub struct Driver {
    pub gate: Gate,
    pub now_us: u64,
}

impl Driver {
    /// An owner of `REPLICA` with a lease of an hour.
    pub fn new(deployment: Deployment, state: Option<HandOverState>) -> Self {
        let mut driver = Self::default();
        driver.handle(GateEvent::Deployment(Arc::new(deployment)));
        driver.handle(GateEvent::LeaseUntil(3_600 * SECOND));
        driver.handle(GateEvent::Grant {
            epoch: 1,
            replica: REPLICA,
            state,
        });
        driver
    }

    pub fn warm(slots: u32) -> Self {
        Self::new(deployment(slots, cold(1, 10)), Some(warm()))
    }

    pub fn handle(&mut self, event: GateEvent) -> Vec<GateAction> {
        let mut actions = Vec::new();
        self.gate.handle(self.now_us, event, &mut actions);
        actions
    }

    /// Ticks at each wake-up until `now_us`.
    pub fn advance(&mut self, now_us: u64) -> Vec<GateAction> {
        let mut actions = Vec::new();
        while let Some(wake_us) = self.gate.next_wake_us().filter(|wake| *wake <= now_us) {
            self.now_us = self.now_us.max(wake_us);
            actions.extend(self.handle(GateEvent::Tick));
        }
        self.now_us = now_us;
        actions
    }

    pub fn submit(&mut self, sequence: u64, deadline_us: u64) -> Vec<GateAction> {
        self.handle(GateEvent::Submit(request(sequence, deadline_us)))
    }

    pub fn submit_class(&mut self, sequence: u64, class: u32) -> Vec<GateAction> {
        self.handle(GateEvent::Submit(SubRequest {
            class: ClassKey(class),
            ..request(sequence, self.now_us + SECOND)
        }))
    }

    pub fn reply(&mut self, sequence: u64, reply: TargetReply) -> Vec<GateAction> {
        self.handle(GateEvent::TargetReply {
            attempt: attempt(sequence),
            reply,
        })
    }

    pub fn probe_reply(&mut self, reply: TargetReply) -> Vec<GateAction> {
        self.handle(GateEvent::ProbeReply {
            replica: REPLICA,
            reply,
        })
    }

    pub fn report(&self) -> ReplicaReport {
        self.gate.reports(self.now_us)[0].1.clone()
    }
}

/// Sequences of the attempts sent.
pub fn sent(actions: &[GateAction]) -> Vec<u64> {
    let sequence = |action: &GateAction| match action {
        GateAction::Send(request) => Some(request.attempt.sequence),
        _ => None,
    };
    actions.iter().filter_map(sequence).collect()
}

/// Sequences of the attempts refused, with the reason.
pub fn refused(actions: &[GateAction]) -> Vec<(u64, RefusalReason)> {
    let refusal = |action: &GateAction| match action {
        GateAction::Respond {
            attempt,
            outcome: SubOutcome::Refused { reason, .. },
            ..
        } => Some((attempt.sequence, *reason)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

pub fn probes(actions: &[GateAction]) -> usize {
    let is_probe = |action: &&GateAction| matches!(action, GateAction::Probe(_));
    actions.iter().filter(is_probe).count()
}
