use hyper::body::Bytes;
use tokio::time::Instant;

use wigeonhall_types::AttemptId;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

/// A job ends as unreachable after this many connections broke before they accepted any
/// byte of it.
pub(crate) const MAX_SEND_TRIES: u32 = 3;

/// A request to a target, with the callback for its reply.
pub(crate) struct Job {
    /// Number of connections of the queue that had broken when the job was first queued. A
    /// `Run` job is not sent over a connection that was opened after a later break, which may reach
    /// a restarted target: that bears less load at first, and the job was admitted under the
    /// limits of the earlier process.
    pub(crate) broken_before_push: Option<u64>,
    pub(crate) deadline: Instant,
    pub(crate) kind: JobKind,
    pub(crate) reply: PendingReply,
    /// Identifies the job in its queue and in its timer; assigned at the first push.
    pub(crate) id: Option<u64>,
    pub(crate) send_tries: u32,
}

/// Kind of request.
pub(crate) enum JobKind {
    /// Cancels a request.
    Cancel { attempt: AttemptId },
    /// Asks for the health of the target.
    Probe,
    /// Runs a sub-request.
    Run { attempt: AttemptId, body: Bytes },
}

/// Callback for the reply, which is called exactly once.
///
/// If it is dropped without a reply, for example when the runtime shuts down, it reports
/// the outcome by `sent`: connection lost or unreachable.
pub(crate) struct PendingReply {
    on_reply: Option<Box<dyn FnOnce(TargetReply) + Send>>,
    /// Whether a byte of the request may have reached the target.
    pub(crate) sent: bool,
}

impl Job {
    pub(crate) fn new(
        kind: JobKind,
        deadline: Instant,
        on_reply: impl FnOnce(TargetReply) + Send + 'static,
    ) -> Self {
        Self {
            broken_before_push: None,
            deadline,
            kind,
            reply: PendingReply {
                on_reply: Some(Box::new(on_reply)),
                sent: false,
            },
            id: None,
            send_tries: 0,
        }
    }

    /// Returns whether the job may be sent over a connection whose opening started after
    /// `broken_before_connect` connections of the queue had broken. See `broken_before_push`.
    pub(crate) fn may_use(&self, broken_before_connect: u64) -> bool {
        !matches!(self.kind, JobKind::Run { .. })
            || self
                .broken_before_push
                .is_none_or(|it| it >= broken_before_connect)
    }

    pub(crate) fn is_attempt(&self, wanted: AttemptId) -> bool {
        matches!(self.kind, JobKind::Run { attempt, .. } if attempt == wanted)
    }
}

impl PendingReply {
    pub(crate) fn finish(self, outcome: TargetOutcome) {
        self.finish_with(TargetReply {
            instance: None,
            outcome,
            served: Vec::new(),
        });
    }

    pub(crate) fn finish_with(mut self, reply: TargetReply) {
        if let Some(on_reply) = self.on_reply.take() {
            on_reply(reply);
        }
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        if let Some(on_reply) = self.on_reply.take() {
            on_reply(TargetReply {
                instance: None,
                outcome: if self.sent {
                    TargetOutcome::ConnectionLost
                } else {
                    TargetOutcome::Unreachable
                },
                served: Vec::new(),
            });
        }
    }
}
