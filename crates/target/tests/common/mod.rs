//! Fixture: a connection pool with one stand-in target.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use wigeonhall_standins::Target;
use wigeonhall_standins::TargetSettings;
use wigeonhall_target::TargetPool;
use wigeonhall_types::AttemptId;
use wigeonhall_types::ClassKey;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::Operation;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::SubRequest;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

pub const REPLICA: ReplicaKey = ReplicaKey(0);
/// Timeout that no test reaches.
pub const LONG_TIMEOUT_US: u64 = 60_000_000;

pub struct Fixture {
    pub pool: TargetPool,
    pub runtime: Runtime,
    pub target: Target,
}

impl Fixture {
    /// Starts a target, opens as many connections as it allows and waits for them.
    pub fn start(settings: TargetSettings) -> Self {
        let connections = settings.connections;
        let target = Target::start(settings).unwrap();
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let pool = TargetPool::new(runtime.handle().clone());
        pool.open(REPLICA, target.address(), connections);
        wait_until(|| pool.counters().open == u64::from(connections));
        // The pool counts a connection as open before the target accepts it.
        wait_until(|| target.counts().connections_opened >= u64::from(connections));
        Self {
            pool,
            runtime,
            target,
        }
    }

    pub fn send_and_wait(&self, sub: &SubRequest, timeout_us: u64) -> TargetReply {
        self.send(sub, timeout_us).recv().unwrap()
    }

    /// Sends a request and returns a channel for its reply. The channel takes only one reply, so a
    /// second one panics.
    pub fn send(&self, sub: &SubRequest, timeout_us: u64) -> Receiver<TargetReply> {
        let (sender, receiver) = mpsc::sync_channel(1);
        self.pool.send(sub, "class", timeout_us, move |reply| {
            sender.try_send(reply).unwrap();
        });
        receiver
    }

    pub fn probe(&self) -> TargetReply {
        let (sender, receiver) = mpsc::channel();
        self.pool.probe(REPLICA, move |reply| {
            sender.send(reply).unwrap();
        });
        receiver.recv().unwrap()
    }
}

pub fn read(sequence: u64, start: u64, end: u64) -> SubRequest {
    sub(
        sequence,
        Operation::Read {
            range: KeyRange { start, end },
        },
    )
}

pub fn write(sequence: u64) -> SubRequest {
    sub(
        sequence,
        Operation::Write {
            body: format!("body {sequence}").into(),
            key: sequence,
            request_id: request_id(sequence).into(),
        },
    )
}

pub fn request_id(sequence: u64) -> String {
    format!("request-{sequence}")
}

fn sub(sequence: u64, operation: Operation) -> SubRequest {
    SubRequest {
        attempt: AttemptId { boot: 7, sequence },
        class: ClassKey(0),
        deadline_us: 0,
        epoch: 1,
        operation,
        replica: REPLICA,
        start_within_us: None,
        version: Some(IndexVersion(1)),
    }
}

pub fn answered_range(reply: &TargetReply) -> Option<KeyRange> {
    match &reply.outcome {
        TargetOutcome::Answered { ranges, .. } => ranges.first().copied(),
        _ => None,
    }
}

/// Polls until `condition` is true.
pub fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        thread::sleep(Duration::from_millis(1));
    }
}
