use std::cell::Cell;
use std::cell::RefCell;
use std::future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::net::TcpStream;
use tokio::time;
use tokio::time::Instant;
use tokio::time::Sleep;

use wigeonhall_dispatch::ConnectionState;
use wigeonhall_dispatch::RoundTrip;

use crate::callers::accepted_connection::AcceptedConnection;
use crate::net::hooked_stream::HookedStream;
use crate::net::socket;
use crate::process::held_memory::HeldMemory;
use crate::process::node_state::NodeState;
use crate::requests::answer_lag::AnswerDue;

/// Time between a timeout and the close, in which the event loop polls once more for bytes
/// that arrived while the process was suspended.
const FINAL_POLL_DELAY: Duration = Duration::from_millis(5);

/// Time for which a caller may read the response to a request whose body is not read to its end. A
/// close with unread bytes resets the connection, and the caller would lose the response.
const LAST_RESPONSE_PERIOD: Duration = Duration::from_millis(500);

/// State of a caller's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Activity {
    /// The head of a request was read at this time, and the request isn't answered yet.
    Answering(Instant),
    /// The head of a request has been partly read; holds the time of its first bytes.
    Head(Instant),
    /// No request is open; holds the time of the last progress.
    Idle(Instant),
}

/// State of a connection, shared by its stream and its request handler.
#[derive(Debug)]
pub(crate) struct CallerActivity {
    activity: Cell<Activity>,
    /// When the answer that is not written yet was due.
    answer_due: Cell<Option<AnswerDue>>,
    /// Whether a request on this connection was answered.
    answered: Cell<bool>,
    /// Earliest time at which the first bytes of the current request may have arrived.
    arrived_us: Cell<Option<u64>>,
    /// Whether the body of the last request was not read to its end; nothing more is read then.
    body_left: Cell<bool>,
    /// Whether the connection must be closed in favour of another.
    closing: Cell<bool>,
    head_timeout: Duration,
    idle_timeout: Duration,
    /// Memory reserved for the connection; `None` once it must be closed.
    memory: RefCell<Option<HeldMemory>>,
    /// Round trips when the first request arrived; `None` if they are unknown. Later ones may
    /// include delayed acknowledgements.
    round_trip: Cell<Option<RoundTrip>>,
    shared: Rc<NodeState>,
    /// Task of the connection.
    task: RefCell<Option<Waker>>,
}

impl CallerActivity {
    pub(crate) fn new(
        shared: Rc<NodeState>,
        head_timeout: Duration,
        idle_timeout: Duration,
    ) -> Self {
        Self {
            activity: Cell::new(Activity::Idle(Instant::now())),
            answer_due: Cell::new(None),
            answered: Cell::new(false),
            arrived_us: Cell::new(None),
            body_left: Cell::new(false),
            closing: Cell::new(false),
            head_timeout,
            idle_timeout,
            memory: RefCell::new(None),
            round_trip: Cell::new(None),
            shared,
            task: RefCell::new(None),
        }
    }

    /// Holds the memory reserved for the connection.
    pub(crate) fn hold(&self, memory: HeldMemory) {
        self.memory.replace(Some(memory));
    }

    /// Ends the connection in favour of another.
    pub(crate) fn close(&self) {
        self.closing.set(true);
        drop(self.memory.take());
        if let Some(task) = self.task.take() {
            task.wake();
        }
    }

    /// Waits until the connection must be closed.
    pub(crate) async fn closed(&self) {
        future::poll_fn(|cx| {
            if self.closing.get() {
                return Poll::Ready(());
            }
            let mut task = self.task.borrow_mut();
            if !task.as_ref().is_some_and(|task| task.will_wake(cx.waker())) {
                *task = Some(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }

    /// Returns what the connection waits for, and since when.
    pub(crate) fn state(&self) -> (ConnectionState, Instant) {
        let used = self.answered.get();
        match self.activity.get() {
            Activity::Idle(since) if self.body_left.get() => (ConnectionState::Closing, since),
            Activity::Idle(since) => (ConnectionState::Idle { used }, since),
            Activity::Head(since) => (ConnectionState::Head, since),
            Activity::Answering(since) if self.body_left.get() => (ConnectionState::Body, since),
            Activity::Answering(since) => (ConnectionState::Busy, since),
        }
    }

    /// Records whether the body of the current request remains to be read.
    pub(crate) fn set_body_left(&self, left: bool) {
        self.body_left.set(left);
    }

    /// Whether the body of the last request was not read to its end.
    pub(crate) const fn has_body_left(&self) -> bool {
        self.body_left.get()
    }

    /// Records that the head of a request is complete. Returns the earliest time at which it may
    /// have arrived; `None` if it was pipelined behind another request.
    pub(crate) fn request_read(&self) -> Option<u64> {
        self.activity.set(Activity::Answering(Instant::now()));
        self.arrived_us.take()
    }

    /// Records that the answer to a request, which was due at `answer_due`, was handed to the HTTP
    /// connection.
    pub(crate) fn request_answered(&self, answer_due: Option<AnswerDue>) {
        self.answer_due.set(answer_due);
        self.answered.set(true);
        self.activity.set(Activity::Idle(Instant::now()));
    }

    /// Whether a request on this connection was answered.
    pub(crate) const fn has_answered(&self) -> bool {
        self.answered.get()
    }

    /// Returns the round trips on the connection; `None` if they are unknown.
    pub(crate) const fn round_trip(&self) -> Option<RoundTrip> {
        self.round_trip.get()
    }

    fn bytes_read(&self, arrived_us: u64, stream: &TcpStream) {
        if let Activity::Idle(_) = self.activity.get() {
            if self.round_trip.get().is_none() {
                self.round_trip.set(socket::round_trip(stream));
            }
            self.activity.set(Activity::Head(Instant::now()));
            self.arrived_us.set(Some(arrived_us));
        }
    }

    /// Records a write, which the caller may delay by not reading its answers.
    fn bytes_written(&self, progress: bool) {
        let due = self.answer_due.take();
        if !progress {
            return;
        }
        if let Some(due) = due {
            self.shared
                .answer_lag
                .observe(self.shared.clock.now_us(), due);
        }
        if let Activity::Idle(_) = self.activity.get() {
            self.activity.set(Activity::Idle(Instant::now()));
        }
    }

    /// Returns the time at which the connection is closed without further progress; `None` while
    /// a request is being answered.
    fn closes_at(&self) -> Option<Instant> {
        match self.activity.get() {
            Activity::Answering(_) => None,
            Activity::Head(since) => Some(since + self.head_timeout),
            Activity::Idle(since) => Some(since + self.idle_timeout),
        }
    }
}

/// Wraps a caller's connection so that reads fail once it has been idle, or a request head
/// incomplete, for too long.
pub(crate) fn with_timeouts(
    accepted: AcceptedConnection,
    activity: Rc<CallerActivity>,
) -> HookedStream {
    let AcceptedConnection { mut probe, stream } = accepted;
    let mut timeout = ActivityTimeout::new(activity.clone());
    let written = activity.clone();
    let ended = activity.clone();
    let write_timeout = activity.idle_timeout;
    let stream = HookedStream::new(
        stream,
        Box::new(move |mut stream, cx, buffer| {
            let result = probe.poll(cx, |cx| stream.as_mut().poll_read(cx, buffer));
            if result.is_ready() {
                activity.bytes_read(probe.arrived_us(), &stream);
                return result;
            }
            if timeout.has_expired(cx) {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            Poll::Pending
        }),
    );
    stream
        .on_write(move |progress| written.bytes_written(progress))
        .with_write_timeout(write_timeout)
        .with_linger(move || ended.has_body_left().then_some(LAST_RESPONSE_PERIOD))
}

/// Timer that ends a connection without progress.
#[derive(Debug)]
struct ActivityTimeout {
    activity: Rc<CallerActivity>,
    /// Whether a timeout has passed and the final poll for bytes is due.
    final_poll: bool,
    sleep: Pin<Box<Sleep>>,
}

impl ActivityTimeout {
    fn new(activity: Rc<CallerActivity>) -> Self {
        let sleep = Box::pin(time::sleep(activity.idle_timeout));
        Self {
            activity,
            final_poll: false,
            sleep,
        }
    }

    /// Returns whether the connection has made no progress for too long.
    fn has_expired(&mut self, cx: &mut Context<'_>) -> bool {
        self.shorten_timer();
        while self.sleep.as_mut().poll(cx).is_ready() {
            let now = Instant::now();
            // While a request is being answered, only its own deadline applies.
            let closes_at = self
                .activity
                .closes_at()
                .unwrap_or(now + self.activity.idle_timeout);
            let expired = closes_at <= now;
            if expired && self.final_poll {
                return true;
            }
            self.final_poll = expired;
            let wake_at = if expired {
                now + FINAL_POLL_DELAY
            } else {
                closes_at
            };
            self.sleep.as_mut().reset(wake_at);
        }
        false
    }

    /// Resets the timer if the connection's timeout ends before it fires.
    fn shorten_timer(&mut self) {
        if let Some(closes_at) = self.activity.closes_at()
            && closes_at < self.sleep.deadline()
            && !self.final_poll
        {
            self.sleep.as_mut().reset(closes_at);
        }
    }
}
