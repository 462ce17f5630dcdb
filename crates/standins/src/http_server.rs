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

use crate::http_message::MessageReader;
use crate::http_message::Reply;
use crate::http_message::Request;

/// Limits and faults of the connections of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionPolicy {
    /// Time from the arrival of a connection to the start of its first request.
    pub(crate) connect: Duration,
    /// Largest number of open connections.
    pub(crate) limit: Option<u32>,
    /// Closes every new connection unread.
    pub(crate) refuse: bool,
}

/// Counts of the connections of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionCounts {
    pub(crate) max_open: u32,
    pub(crate) open: u32,
    pub(crate) opened: u64,
    pub(crate) over_limit: u64,
    pub(crate) refused: u64,
}

/// Times that a new connection waits a millisecond for a connection thread to
/// read what its peer sent, as only then an end behind it can be seen.
const MAX_RECHECKS: u32 = 1_000;

type Handler = dyn Fn(&Request) -> Reply + Send + Sync;

/// What happens to a new connection.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Admission {
    Full,
    Open,
    Refusing,
    /// The limit is reached, but some connections may have been closed.
    Unclear,
}

/// What the receiving side of a connection shows.
enum PeerState {
    Closed,
    Open,
    /// Bytes that nobody has read; an end may lie behind them.
    Unread,
}

struct Connection {
    /// Set when the server breaks the connection.
    broken: Arc<AtomicBool>,
    stream: TcpStream,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct State {
    connections: BTreeMap<u64, Connection>,
    counts: ConnectionCounts,
    policy: ConnectionPolicy,
    stopped: bool,
    /// Threads of connections that were closed; some have yet to end.
    threads: Vec<JoinHandle<()>>,
}

/// HTTP/1.1 server with one thread per connection. It counts its connections
/// exactly, which `rouille` cannot do.
pub(crate) struct HttpServer {
    accepting: Option<JoinHandle<()>>,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl HttpServer {
    pub(crate) fn start(
        address: SocketAddr,
        policy: ConnectionPolicy,
        handler: impl Fn(&Request) -> Reply + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            policy,
            ..State::default()
        }));
        let handler: Arc<Handler> = Arc::new(handler);
        let accepting = thread::Builder::new().spawn({
            let state = Arc::clone(&state);
            move || accept(&listener, &state, &handler)
        })?;
        Ok(Self {
            accepting: Some(accepting),
            address,
            state,
        })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn breaker(&self) -> Breaker {
        Breaker(Arc::clone(&self.state))
    }

    pub(crate) fn counts(&self) -> ConnectionCounts {
        lock(&self.state).counts
    }

    pub(crate) fn set_refusing(&self, refuse: bool) {
        lock(&self.state).policy.refuse = refuse;
    }
}

/// Breaks the connections of a server.
pub(crate) struct Breaker(Arc<Mutex<State>>);

impl Breaker {
    /// Breaks all connections, also in the middle of a request.
    pub(crate) fn break_connections(&self) {
        let mut state = lock(&self.0);
        let ids = state.connections.keys().copied().collect::<Vec<_>>();
        for id in ids {
            let connection = &state.connections[&id];
            connection.broken.store(true, Ordering::Relaxed);
            shut(&connection.stream);
            state.remove(id);
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        lock(&self.state).stopped = true;
        // A connection of its own wakes the accepting thread, which then ends.
        let woken = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)).is_ok();
        if let Some(accepting) = self.accepting.take()
            && woken
        {
            let _ = accepting.join();
        }
        self.breaker().break_connections();
        let threads = std::mem::take(&mut lock(&self.state).threads);
        for thread in threads {
            let _ = thread.join();
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn shut(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

fn accept(listener: &TcpListener, state: &Arc<Mutex<State>>, handler: &Arc<Handler>) {
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
        for _ in 0..MAX_RECHECKS {
            if guard.can_admit() != Admission::Unclear {
                break;
            }
            drop(guard);
            thread::sleep(Duration::from_millis(1));
            guard = lock(state);
        }
        if !guard.admit(id, &stream) {
            shut(&stream);
            continue;
        }
        let ready = Instant::now() + guard.policy.connect;
        let broken = Arc::clone(&guard.connections[&id].broken);
        let thread = thread::Builder::new().stack_size(256 << 10).spawn({
            let state = Arc::clone(state);
            let handler = Arc::clone(handler);
            move || {
                serve(&stream, ready, &broken, &handler);
                close(&state, id);
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
        match (self.can_admit(), stream.try_clone()) {
            (Admission::Open, Ok(stream)) => {
                let connection = Connection {
                    broken: Arc::default(),
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

    /// Decides on a new connection. Connections that the peer has closed while
    /// their thread was still busy with a request do not count as open.
    fn can_admit(&mut self) -> Admission {
        if self.policy.refuse {
            return Admission::Refusing;
        }
        let limit = self.policy.limit.unwrap_or(u32::MAX);
        if self.counts.open < limit {
            return Admission::Open;
        }
        let mut unclear = false;
        let mut closed = Vec::new();
        for (&id, connection) in &self.connections {
            match look(&connection.stream) {
                PeerState::Closed => closed.push(id),
                PeerState::Open => (),
                PeerState::Unread => unclear = true,
            }
        }
        for id in closed {
            self.remove(id);
        }
        match (self.counts.open < limit, unclear) {
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

fn look(stream: &TcpStream) -> PeerState {
    if stream.set_nonblocking(true).is_err() {
        return PeerState::Closed;
    }
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => PeerState::Closed,
        Ok(_) => PeerState::Unread,
        Err(error) if error.kind() == ErrorKind::WouldBlock => PeerState::Open,
        Err(_) => PeerState::Closed,
    }
}

/// Takes the connection off the count before the peer can see that it closes.
fn close(state: &Mutex<State>, id: u64) {
    lock(state).remove(id);
}

fn serve(stream: &TcpStream, ready: Instant, broken: &Arc<AtomicBool>, handler: &Arc<Handler>) {
    let _ = stream.set_nodelay(true);
    let mut reader = MessageReader::new(stream);
    while let Ok(Some(request)) = reader.read(broken) {
        thread::sleep(ready.saturating_duration_since(Instant::now()));
        let Reply::Send { body, status } = handler(&request) else {
            return;
        };
        if reader.write(status, &body, request.close).is_err() || request.close {
            return;
        }
    }
}
