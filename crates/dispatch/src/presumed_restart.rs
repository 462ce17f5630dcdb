use crate::NotRunCause;
use crate::Reply;
use crate::UnknownCause;

/// Longest time after a refused connection for which the next process that responds counts as new. The
/// registration of a new process has arrived by then; without one, the old process is still there.
const ENDED_MAX_US: u64 = 30_000_000;

/// Whether the process of a replica has ended, and another one may have started under its id.
///
/// A new process is cold (slow, and limits its request rate). Its registration says so, but reaches
/// this node later than the process takes requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PresumedRestart {
    /// Time until which the replica counts as cold.
    cold_until_us: u64,
    /// Whether the process has ended and the replica has not responded since then.
    ended: bool,
}

impl PresumedRestart {
    /// Returns whether the replica counts as cold because its process has ended.
    pub(crate) const fn is_cold(self, now_us: u64) -> bool {
        now_us < self.cold_until_us
    }

    /// Records the result of a request to a replica whose cold start takes `cold_start_us`.
    pub(crate) const fn observe(&mut self, now_us: u64, reply: Reply, cold_start_us: u64) {
        if shows_end(reply) && cold_start_us > 0 {
            self.cold_until_us = now_us + ENDED_MAX_US;
            self.ended = true;
        } else if shows_process(reply) && self.ended && self.is_cold(now_us) {
            self.cold_until_us = now_us.saturating_add(cold_start_us);
            self.ended = false;
        }
    }
}

/// Whether a reply shows that no process listens at the address of the replica.
const fn shows_end(reply: Reply) -> bool {
    matches!(
        reply,
        Reply::NotRun(NotRunCause::ConnectionRefused) | Reply::Unknown(UnknownCause::Crashed)
    )
}

/// Whether a reply was sent by a process.
const fn shows_process(reply: Reply) -> bool {
    match reply {
        Reply::Failed { .. } | Reply::Success => true,
        Reply::NotRun(cause) => matches!(cause, NotRunCause::Busy | NotRunCause::OtherInstance),
        Reply::Unknown(cause) => matches!(
            cause,
            UnknownCause::Foreign
                | UnknownCause::InvalidStatus
                | UnknownCause::TooLong
                | UnknownCause::Unproved
        ),
    }
}
