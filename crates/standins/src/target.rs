use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::ColdViolation;
use crate::TargetCounts;
use crate::TargetSettings;
use crate::cold_start::ColdStart;
use crate::http_message::Request;
use crate::http_message::Response;
use crate::http_server::ConnectionCloser;
use crate::http_server::ConnectionPolicy;
use crate::http_server::HttpServer;
use crate::http_server::lock;
use crate::target_state::IntakeMode;
use crate::target_state::Outcome;
use crate::target_state::RunBody;
use crate::target_state::State;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::Row;
use wigeonhall_types::ServedVersion;

/// Retry-after time in the reply to a shed request.
const SHED_RETRY_AFTER_US: u64 = 5_000;
/// Longest wait of a request for a notification while the target hangs.
const HANG_WAIT: Duration = Duration::from_hours(1);

/// Freshness of the state that the health endpoint reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthFreshness {
    /// The current state.
    Current,
    /// The state after the first `changes` changes, regardless of later ones.
    Frozen {
        /// Number of changes of versions, instance or draining that the state includes.
        changes: usize,
    },
    /// The state of some time ago.
    Lagging {
        /// Age of the reported state.
        lag_us: u64,
    },
}

/// Stand-in for a target; stops when dropped.
pub struct Target {
    server: HttpServer,
    shared: Arc<Shared>,
}

struct Shared {
    connection_closer: OnceLock<ConnectionCloser>,
    /// Notified after each state change that may end a running request.
    changed: Condvar,
    state: Mutex<State>,
}

impl std::fmt::Debug for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.debug_struct("Target")
            .field("address", &self.address())
            .field("counts", &self.counts())
            .finish_non_exhaustive()
    }
}

impl Target {
    /// Starts a target.
    ///
    /// # Errors
    ///
    /// If its address cannot be bound.
    pub fn start(settings: TargetSettings) -> io::Result<Self> {
        let address = settings.address;
        let policy = ConnectionPolicy {
            connect_delay: Duration::from_micros(settings.connect_us),
            max_connections: Some(settings.connections),
            refuse_all: false,
        };
        let shared = Arc::new(Shared {
            connection_closer: OnceLock::new(),
            changed: Condvar::new(),
            state: Mutex::new(State::new(settings)),
        });
        let server = HttpServer::start(address, policy, {
            let shared = Arc::clone(&shared);
            move |request| shared.handle(request)
        })?;
        let _ = shared.connection_closer.set(server.connection_closer());
        Ok(Self { server, shared })
    }

    /// Starts several targets, in the order of `settings`.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub fn start_all(settings: Vec<TargetSettings>) -> io::Result<Vec<Self>> {
        settings.into_iter().map(Self::start).collect()
    }

    /// Returns the address of the target.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Closes all connections, including those with a request in progress. Running requests
    /// continue, and their replies are lost.
    pub fn break_connections(&self) {
        self.shared.break_connections();
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> TargetCounts {
        let connections = self.server.counts();
        let state = lock(&self.shared.state);
        TargetCounts {
            connections_over_limit: connections.over_limit,
            connections_open: connections.open,
            connections_opened: connections.opened,
            max_connections: connections.max_open,
            running: state.running.len() as u32,
            ..state.counts
        }
    }

    /// Returns how often the write with this request id ran.
    #[must_use]
    pub fn executions(&self, request_id: &str) -> u32 {
        let state = lock(&self.shared.state);
        state.executions.get(request_id).copied().unwrap_or(0)
    }

    /// Returns the identity of the process, which changes with each restart.
    #[must_use]
    pub fn instance(&self) -> u64 {
        lock(&self.shared.state).instance
    }

    /// Returns whether the load limits of the cold start still apply.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        lock(&self.shared.state).cold.is_some()
    }

    /// Runs the next `count` requests, but closes their connections without a reply.
    pub fn lose_replies(&self, count: u32) {
        self.change(|state| state.replies_to_lose = count);
    }

    /// Returns how often the write that ran most often did so.
    #[must_use]
    pub fn max_executions(&self) -> u32 {
        let state = lock(&self.shared.state);
        state.executions.values().copied().max().unwrap_or(0)
    }

    /// Sends the replies to the next `count` requests with the id of another attempt.
    pub fn misdirect_replies(&self, count: u32) {
        self.change(|state| state.replies_to_misdirect = count);
    }

    /// Returns the name of the replica.
    #[must_use]
    pub fn name(&self) -> Arc<str> {
        Arc::clone(&lock(&self.shared.state).settings.name)
    }

    /// Closes all connections and restarts the target at once, with a new identity and in
    /// cold start.
    pub fn restart(&self) {
        // Holds the lock until the connections are closed, so that the new process
        // handles no request that was sent to the old one.
        let mut state = lock(&self.shared.state);
        state.restart();
        self.shared.break_connections();
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Adds `version` with the key ranges of the newest version, then removes all but the
    /// newest `keep` versions.
    pub fn roll_version(&self, version: IndexVersion, keep: usize) {
        self.change(|state| {
            let versions = &mut state.settings.versions;
            let ranges = versions.last().map(|newest| newest.ranges.clone());
            versions.push(ServedVersion {
                ranges: ranges.unwrap_or_default(),
                version,
            });
            let retired = versions.len().saturating_sub(keep);
            versions.drain(..retired);
            state.record_health();
        });
    }

    /// Starts or ends draining: new requests are refused, running ones finish.
    pub fn set_draining(&self, draining: bool) {
        self.change(|state| {
            state.intake_mode = if draining {
                IntakeMode::Draining
            } else {
                IntakeMode::Open
            };
            state.record_health();
        });
    }

    /// While set, a request ends only by cancellation or when the target restarts or stops;
    /// deadlines are ignored.
    pub fn set_hanging(&self, hanging: bool) {
        self.change(|state| state.hanging = hanging);
    }

    /// Sets how long later requests may run past their deadlines. Unless the time is 0,
    /// cancellations do not end requests early either.
    pub fn set_deadline_overrun_us(&self, overrun_us: u64) {
        self.change(|state| state.overrun = Duration::from_micros(overrun_us));
    }

    /// Sets which state the health endpoint reports.
    pub fn set_health(&self, health: HealthFreshness) {
        self.change(|state| state.health = health);
    }

    /// While set, new connections are closed without reading from them.
    pub fn set_refusing_connections(&self, refusing: bool) {
        self.server.set_refusing(refusing);
    }

    /// While set, every request is shed.
    pub fn set_shedding(&self, shedding: bool) {
        self.change(|state| {
            state.intake_mode = if shedding {
                IntakeMode::Shedding
            } else {
                IntakeMode::Open
            };
        });
    }

    /// Multiplies the service times of later requests by `factor`, for example 10 for a straggler.
    pub fn set_slowdown(&self, factor: f64) {
        self.change(|state| state.slowdown = factor);
    }

    /// Replaces the served versions and their key ranges, as a repartitioning does.
    pub fn set_versions(&self, versions: Vec<ServedVersion>) {
        self.change(|state| {
            state.settings.versions = versions;
            state.record_health();
        });
    }

    /// Ends the cold start.
    pub fn warm_up(&self) {
        self.change(|state| state.cold = None);
    }

    /// Returns the written rows in the order in which their writes ran.
    #[must_use]
    pub fn written(&self) -> Vec<Row> {
        lock(&self.shared.state).written.clone()
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut lock(&self.shared.state));
        self.shared.changed.notify_all();
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.change(|state| state.stopped = true);
    }
}

impl Shared {
    fn break_connections(&self) {
        if let Some(connection_closer) = self.connection_closer.get() {
            connection_closer.close_all();
        }
    }

    fn handle(&self, request: &Request) -> Response {
        let attempt = request.headers.get("x-attempt");
        match (request.method.as_str(), request.path.as_str(), attempt) {
            ("GET", "/health", _) => lock(&self.state).health_reply(),
            ("POST", "/cancel", Some(attempt)) => self.cancel(attempt),
            ("POST", "/run", Some(attempt)) => self.run(request, attempt),
            _ => bad_request(),
        }
    }

    fn cancel(&self, attempt: &str) -> Response {
        let mut state = lock(&self.state);
        let outcome = if let Some(cancelled) = state.running.get_mut(attempt) {
            *cancelled = true;
            Outcome::Cancelled
        } else {
            state.counts.unknown_cancels += 1;
            Outcome::UnknownAttempt
        };
        let reply = state.reply(attempt, &outcome);
        drop(state);
        self.changed.notify_all();
        reply
    }

    fn run(&self, request: &Request, attempt: &str) -> Response {
        let (Some(remaining_us), Ok(body)) = (
            request.header::<u64>("x-remaining-us"),
            serde_json::from_slice::<RunBody>(&request.body),
        ) else {
            return bad_request();
        };
        let arrived = Instant::now();
        let mut state = lock(&self.state);
        if request.closed_by_server.load(Ordering::Relaxed) {
            return Response::Close;
        }
        let served = match admit(&mut state, attempt, &body) {
            Ok(served) => served,
            Err(reply) => return reply,
        };
        let instance = state.instance;
        state.running.insert(attempt.to_owned(), false);
        let running = state.running.len() as u32;
        state.counts.max_running = state.counts.max_running.max(running);
        let violated = state
            .cold
            .as_mut()
            .is_some_and(|cold| cold.record_start(arrived, running));
        // Runs the operation before the service time, so that an interrupted write has
        // always run.
        let mut outcome = state.execute(&body.operation, &served);
        if violated {
            self.handle_cold_violation(&mut state);
        }
        let service_end = arrived + state.draw_service_time();
        let deadline = arrived + Duration::from_micros(remaining_us);
        let latest_end = deadline + state.overrun;
        state = self.wait(state, attempt, instance, service_end.min(latest_end));
        let cancelled = state.running.remove(attempt).unwrap_or(false);
        let process_ended = state.stopped || state.instance != instance;
        if process_ended || state.replies_to_lose > 0 {
            state.replies_to_lose -= u32::from(!process_ended);
            state.counts.lost += 1;
            return Response::Close;
        }
        if cancelled {
            state.counts.cancelled += 1;
            outcome = Outcome::Cancelled;
        } else if deadline < service_end {
            state.counts.deadline_exceeded += 1;
            outcome = Outcome::DeadlineExceeded;
        } else {
            state.counts.answered += 1;
            if state
                .cold
                .as_mut()
                .is_some_and(ColdStart::record_completion)
            {
                state.cold = None;
            }
        }
        if state.replies_to_misdirect > 0 {
            state.replies_to_misdirect -= 1;
            return state.reply("0000000000000000-0", &outcome);
        }
        state.reply(attempt, &outcome)
    }

    fn handle_cold_violation(&self, state: &mut State) {
        state.counts.cold_violations += 1;
        let action = state.cold.as_ref().map(|cold| cold.settings.on_violation);
        if matches!(action, Some(ColdViolation::Restart)) {
            state.restart();
            self.changed.notify_all();
            self.break_connections();
        }
    }

    /// Waits until `end`, or longer while the target hangs. Returns early if the target
    /// restarts or stops, or, without an overrun, if the attempt is cancelled.
    fn wait<'a>(
        &self,
        mut state: MutexGuard<'a, State>,
        attempt: &str,
        instance: u64,
        end: Instant,
    ) -> MutexGuard<'a, State> {
        while !state.stopped
            && state.instance == instance
            && (!state.overrun.is_zero() || state.running.get(attempt) == Some(&false))
        {
            let remaining = if state.hanging {
                HANG_WAIT
            } else {
                end.saturating_duration_since(Instant::now())
            };
            if remaining.is_zero() {
                break;
            }
            state = self
                .changed
                .wait_timeout(state, remaining)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        state
    }
}

/// Returns the version to run a request at, or the reply that refuses it.
fn admit(state: &mut State, attempt: &str, body: &RunBody) -> Result<ServedVersion, Response> {
    state.counts.requests += 1;
    if state.intake_mode == IntakeMode::Draining {
        state.counts.refused_draining += 1;
        return Err(state.reply(attempt, &Outcome::Draining));
    }
    let full = state.running.len() as u32 >= state.settings.slots;
    if full {
        state.counts.over_slots += 1;
    }
    if full || state.intake_mode == IntakeMode::Shedding {
        state.counts.shed += 1;
        let outcome = Outcome::Shed {
            retry_after_us: SHED_RETRY_AFTER_US,
        };
        return Err(state.reply(attempt, &outcome));
    }
    if state.running.contains_key(attempt) {
        state.counts.duplicate_attempts += 1;
        return Err(bad_request());
    }
    state.find_version(body.version).ok_or_else(|| {
        state.counts.version_gone += 1;
        state.reply(attempt, &Outcome::VersionGone)
    })
}

fn bad_request() -> Response {
    Response::Send {
        body: "\"bad request\"".into(),
        status: 400,
    }
}
