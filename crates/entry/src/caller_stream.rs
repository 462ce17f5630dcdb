use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::time;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::accepted::Accepted;
use crate::hooked_stream::HookedStream;

/// Time between the end of a limit and the close: the event loop looks once more for bytes
/// that came while the process did not run.
const LAST_LOOK: Duration = Duration::from_millis(5);

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Activity {
    /// A request was read and is not answered yet.
    Answering,
    /// Some bytes of the head of a request are in, since this time.
    Head(Instant),
    /// Nothing is going on since this time.
    Idle(Instant),
}

/// Activity of a connection, shared by its stream and its handler.
#[derive(Debug)]
pub(crate) struct CallerActivity {
    activity: Cell<Activity>,
    /// Earliest time at which the first bytes of the current request may have come.
    arrived_us: Cell<Option<u64>>,
    head_timeout: Duration,
    idle_timeout: Duration,
}

impl CallerActivity {
    pub(crate) fn new(head_timeout: Duration, idle_timeout: Duration) -> Self {
        Self {
            activity: Cell::new(Activity::Idle(Instant::now())),
            arrived_us: Cell::new(None),
            head_timeout,
            idle_timeout,
        }
    }

    /// Records that the head of a request is whole; returns the earliest time at which it
    /// may have come, `None` if it came behind another one.
    pub(crate) fn request_read(&self) -> Option<u64> {
        self.activity.set(Activity::Answering);
        self.arrived_us.take()
    }

    /// Records that the answer to a request is handed over.
    pub(crate) fn request_answered(&self) {
        self.activity.set(Activity::Idle(Instant::now()));
    }

    fn bytes_read(&self, arrived_us: u64) {
        if let Activity::Idle(_) = self.activity.get() {
            self.activity.set(Activity::Head(Instant::now()));
            self.arrived_us.set(Some(arrived_us));
        }
    }

    fn bytes_written(&self) {
        if let Activity::Idle(_) = self.activity.get() {
            self.activity.set(Activity::Idle(Instant::now()));
        }
    }

    /// Time at which the connection is closed unless something happens.
    fn closes_at(&self) -> Option<Instant> {
        match self.activity.get() {
            Activity::Answering => None,
            Activity::Head(since) => Some(since + self.head_timeout),
            Activity::Idle(since) => Some(since + self.idle_timeout),
        }
    }
}

/// Watches a caller's connection: it ends when it stays idle, or a head incomplete, too long.
pub(crate) fn watch(accepted: Accepted, activity: Rc<CallerActivity>) -> HookedStream {
    let Accepted { mut probe, stream } = accepted;
    let mut limit = ActivityLimit::new(activity.clone());
    let written = activity.clone();
    let stream = HookedStream::new(
        stream,
        Box::new(move |mut stream, cx, buffer| {
            let result = probe.poll(cx, |cx| stream.as_mut().poll_read(cx, buffer));
            if result.is_ready() {
                activity.bytes_read(probe.arrived_us());
                return result;
            }
            if limit.has_ended(cx) {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            Poll::Pending
        }),
    );
    stream.on_write(move || written.bytes_written())
}

/// The time for which a connection may be left without progress.
#[derive(Debug)]
struct ActivityLimit {
    activity: Rc<CallerActivity>,
    /// Whether a limit has ended and bytes are looked for once more.
    last_look: bool,
    sleep: Pin<Box<Sleep>>,
}

impl ActivityLimit {
    fn new(activity: Rc<CallerActivity>) -> Self {
        let sleep = Box::pin(time::sleep(activity.idle_timeout));
        Self {
            activity,
            last_look: false,
            sleep,
        }
    }

    /// Whether the connection was left without progress for too long.
    fn has_ended(&mut self, cx: &mut Context<'_>) -> bool {
        self.tighten();
        while self.sleep.as_mut().poll(cx).is_ready() {
            let now = Instant::now();
            // While a request is answered, its own deadline counts.
            let closes_at = self
                .activity
                .closes_at()
                .unwrap_or(now + self.activity.idle_timeout);
            let ended = closes_at <= now;
            if ended && self.last_look {
                return true;
            }
            self.last_look = ended;
            let wake_at = if ended { now + LAST_LOOK } else { closes_at };
            self.sleep.as_mut().reset(wake_at);
        }
        false
    }

    /// Brings the timer forward when a limit ends before it rings.
    fn tighten(&mut self) {
        if let Some(closes_at) = self.activity.closes_at()
            && closes_at < self.sleep.deadline()
            && !self.last_look
        {
            self.sleep.as_mut().reset(closes_at);
        }
    }
}
