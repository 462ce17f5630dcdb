use hyper::body::Bytes;
use tokio::time::Instant;

use wigeonhall_types::AttemptId;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;

/// A job that found this many connections closed before they accepted any byte
/// ends as not sent.
pub(crate) const MAX_TRIES: u32 = 3;

/// One exchange with a target that has not ended yet.
pub(crate) struct Job {
    /// Breaks of the lane at the first push. A connection that was opened after a later
    /// break may lead to another process of the target, for which the sender has not
    /// admitted the job.
    pub(crate) breaks: Option<u64>,
    pub(crate) deadline: Instant,
    pub(crate) kind: JobKind,
    pub(crate) reply: PendingReply,
    /// Given by the lane at the first push; the timer of the job refers to it.
    pub(crate) ticket: Option<u64>,
    pub(crate) tries: u32,
}

/// What to send.
pub(crate) enum JobKind {
    Cancel { attempt: AttemptId },
    Probe,
    Run { attempt: AttemptId, body: Bytes },
}

/// Calls its closure exactly once. If it is dropped, for example with the
/// runtime, the closure gets the outcome that is true at that moment.
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
            breaks: None,
            deadline,
            kind,
            reply: PendingReply {
                on_reply: Some(Box::new(on_reply)),
                sent: false,
            },
            ticket: None,
            tries: 0,
        }
    }

    /// Whether a connection opened after `breaks` breaks may carry the job.
    pub(crate) fn may_use(&self, breaks: u64) -> bool {
        !matches!(self.kind, JobKind::Run { .. }) || self.breaks.is_none_or(|it| it >= breaks)
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
