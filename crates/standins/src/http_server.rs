use std::collections::BTreeMap;
use std::io;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::http_message::MessageStream;
use crate::http_message::Request;
use crate::http_message::Response;

/// Limits and injected faults for the connections of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionPolicy {
    /// Delay from accepting a connection until its first request is handled.
    pub(crate) connect_delay: Duration,
    /// Largest number of open connections.
    pub(crate) max_connections: Option<u32>,
    /// Whether each new connection is closed without reading from it.
    pub(crate) refuse_all: bool,
}

/// Connection counters of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionCounts {
    pub(crate) max_open: u32,
    pub(crate) open: u32,
    pub(crate) opened: u64,
    /// Connections refused because the limit of open connections was reached.
    pub(crate) over_limit: u64,
    /// Connections refused because the policy refuses every connection.
    pub(crate) refused: u64,
}

/// Maximum number of 1 ms waits before a new connection is admitted or refused. During these
/// waits the threads of other connections read their buffered bytes; until then, `peek` cannot
/// tell whether the client has closed the connection.
const MAX_ADMISSION_WAITS: u32 = 1_000;

type Handler = dyn Fn(&Request) -> Response + Send + Sync;

/// Decision on a new connection.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Admission {
    /// The limit of open connections is reached.
    Full,
    /// The connection is admitted.
    Open,
    /// The policy refuses every connection.
    Refusing,
    /// The limit is reached, but clients may have closed connections that still count.
    Unclear,
}

/// State of the client's sending side of a connection.
enum ClientState {
    Closed,
    Open,
    /// The receive buffer holds unread bytes; the client may have closed the connection
    /// after them.
    Unread,
}

struct Connection {
    /// Set when the server closes the connection through a `ConnectionCloser`.
    closed_by_server: Arc<AtomicBool>,
    stream: TcpStream,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct State {
    connections: BTreeMap<u64, Connection>,
    counts: ConnectionCounts,
    policy: ConnectionPolicy,
    stopped: bool,
    /// Threads of closed connections; some may still run.
    threads: Vec<JoinHandle<()>>,
}

/// HTTP/1.1 server with one thread per connection. It counts its open connections exactly.
pub(crate) struct HttpServer {
    accept_thread: Option<JoinHandle<()>>,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl HttpServer {
    pub(crate) fn start(
        address: SocketAddr,
        policy: ConnectionPolicy,
        handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            policy,
            ..State::default()
        }));
        let handler: Arc<Handler> = Arc::new(handler);
        let accept_thread = thread::Builder::new().spawn({
            let state = Arc::clone(&state);
            move || accept_connections(&listener, &state, &handler)
        })?;
        Ok(Self {
            accept_thread: Some(accept_thread),
            address,
            state,
        })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn connection_closer(&self) -> ConnectionCloser {
        ConnectionCloser(Arc::clone(&self.state))
    }

    pub(crate) fn counts(&self) -> ConnectionCounts {
        lock(&self.state).counts
    }

    pub(crate) fn set_refusing(&self, refuse_all: bool) {
        lock(&self.state).policy.refuse_all = refuse_all;
    }
}

/// Closes the connections of a server.
pub(crate) struct ConnectionCloser(Arc<Mutex<State>>);

impl ConnectionCloser {
    /// Closes all connections, including those with a request in progress.
    pub(crate) fn close_all(&self) {
        let mut state = lock(&self.0);
        let ids = state.connections.keys().copied().collect::<Vec<_>>();
        for id in ids {
            let connection = &state.connections[&id];
            connection.closed_by_server.store(true, Ordering::Relaxed);
            shut_down(&connection.stream);
            state.remove(id);
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        lock(&self.state).stopped = true;
        // Unblocks the accepting thread with a connection, so that it sees `stopped`.
        let unblocked = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)).is_ok();
        if let Some(accept_thread) = self.accept_thread.take()
            && unblocked
        {
            let _ = accept_thread.join();
        }
        self.connection_closer().close_all();
        let threads = std::mem::take(&mut lock(&self.state).threads);
        for thread in threads {
            let _ = thread.join();
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn shut_down(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

fn accept_connections(listener: &TcpListener, state: &Arc<Mutex<State>>, handler: &Arc<Handler>) {
    let mut id = 0;
    for stream in listener.incoming() {
        let mut guard = lock(state);
        if guard.stopped {
            return;
        }
        let Ok(stream) = stream else {
            continue;
        };
        id += 1;
        for _ in 0..MAX_ADMISSION_WAITS {
            if guard.decide_admission() != Admission::Unclear {
                break;
            }
            drop(guard);
            thread::sleep(Duration::from_millis(1));
            guard = lock(state);
        }
        if !guard.admit(id, &stream) {
            shut_down(&stream);
            continue;
        }
        let ready_at = Instant::now() + guard.policy.connect_delay;
        let closed_by_server = Arc::clone(&guard.connections[&id].closed_by_server);
        let thread = thread::Builder::new().stack_size(256 << 10).spawn({
            let state = Arc::clone(state);
            let handler = Arc::clone(handler);
            move || {
                serve_connection(&stream, ready_at, &closed_by_server, &handler);
                remove_connection(&state, id);
            }
        });
        guard.threads.retain(|thread| !thread.is_finished());
        match thread {
            Ok(thread) => {
                if let Some(connection) = guard.connections.get_mut(&id) {
                    connection.thread = Some(thread);
                }
            }
            Err(_) => guard.remove(id),
        }
    }
}

impl State {
    fn admit(&mut self, id: u64, stream: &TcpStream) -> bool {
        match (self.decide_admission(), stream.try_clone()) {
            (Admission::Open, Ok(stream)) => {
                let connection = Connection {
                    closed_by_server: Arc::default(),
                    stream,
                    thread: None,
                };
                self.connections.insert(id, connection);
                self.counts.opened += 1;
                self.counts.open += 1;
                self.counts.max_open = self.counts.max_open.max(self.counts.open);
                return true;
            }
            (Admission::Refusing, _) => self.counts.refused += 1,
            (Admission::Full | Admission::Unclear, _) => self.counts.over_limit += 1,
            (Admission::Open, Err(_)) => (),
        }
        false
    }

    /// Decides on a new connection. At the limit, first removes the connections that
    /// their client has closed while their thread is still busy with a request.
    fn decide_admission(&mut self) -> Admission {
        if self.policy.refuse_all {
            return Admission::Refusing;
        }
        let max_connections = self.policy.max_connections.unwrap_or(u32::MAX);
        if self.counts.open < max_connections {
            return Admission::Open;
        }
        let mut unclear = false;
        let mut closed = Vec::new();
        for (&id, connection) in &self.connections {
            match client_state(&connection.stream) {
                ClientState::Closed => closed.push(id),
                ClientState::Open => (),
                ClientState::Unread => unclear = true,
            }
        }
        for id in closed {
            self.remove(id);
        }
        match (self.counts.open < max_connections, unclear) {
            (true, _) => Admission::Open,
            (false, true) => Admission::Unclear,
            (false, false) => Admission::Full,
        }
    }

    fn remove(&mut self, id: u64) {
        if let Some(connection) = self.connections.remove(&id) {
            self.counts.open -= 1;
            self.threads.extend(connection.thread);
        }
    }
}

fn client_state(stream: &TcpStream) -> ClientState {
    if stream.set_nonblocking(true).is_err() {
        return ClientState::Closed;
    }
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => ClientState::Closed,
        Ok(_) => ClientState::Unread,
        Err(error) if error.kind() == ErrorKind::WouldBlock => ClientState::Open,
        Err(_) => ClientState::Closed,
    }
}

/// Removes the connection from the open count before the stream is dropped, so that
/// the client sees it closed only after the connection no longer counts.
fn remove_connection(state: &Mutex<State>, id: u64) {
    lock(state).remove(id);
}

fn serve_connection(
    stream: &TcpStream,
    ready_at: Instant,
    closed_by_server: &Arc<AtomicBool>,
    handler: &Arc<Handler>,
) {
    let _ = stream.set_nodelay(true);
    let mut messages = MessageStream::new(stream);
    while let Ok(Some(request)) = messages.read(closed_by_server) {
        thread::sleep(ready_at.saturating_duration_since(Instant::now()));
        let Response::Send { body, status } = handler(&request) else {
            return;
        };
        if messages.write(status, &body, request.wants_close).is_err() || request.wants_close {
            return;
        }
    }
}
