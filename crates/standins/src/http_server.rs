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

type Handler = dyn Fn(&Request) -> Reply + Send + Sync;

struct Connection {
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

    /// Breaks all connections, also in the middle of a request.
    pub(crate) fn break_connections(&self) {
        for connection in lock(&self.state).connections.values() {
            shut(&connection.stream);
        }
    }

    pub(crate) fn counts(&self) -> ConnectionCounts {
        lock(&self.state).counts
    }

    pub(crate) fn set_refusing(&self, refuse: bool) {
        lock(&self.state).policy.refuse = refuse;
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
        self.break_connections();
        let mut threads = std::mem::take(&mut lock(&self.state).threads);
        for connection in lock(&self.state).connections.values_mut() {
            threads.extend(connection.thread.take());
        }
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
        if !admit(&mut guard, id, &stream) {
            shut(&stream);
            continue;
        }
        let ready = Instant::now() + guard.policy.connect;
        let thread = thread::Builder::new().stack_size(256 << 10).spawn({
            let state = Arc::clone(state);
            let handler = Arc::clone(handler);
            move || {
                serve(&stream, ready, &handler);
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
            Err(_) => remove(&mut guard, id),
        }
    }
}

fn admit(state: &mut State, id: u64, stream: &TcpStream) -> bool {
    let Ok(clone) = stream.try_clone() else {
        return false;
    };
    if state.policy.refuse {
        state.counts.refused += 1;
        return false;
    }
    if let Some(limit) = state.policy.limit {
        if state.counts.open >= limit {
            remove_closed(state);
        }
        if state.counts.open >= limit {
            state.counts.over_limit += 1;
            return false;
        }
    }
    state.connections.insert(
        id,
        Connection {
            stream: clone,
            thread: None,
        },
    );
    state.counts.opened += 1;
    state.counts.open += 1;
    state.counts.max_open = state.counts.max_open.max(state.counts.open);
    true
}

/// Drops the connections that the peer has closed while their thread was still
/// busy with a request, so that they do not count as open.
fn remove_closed(state: &mut State) {
    let closed = state
        .connections
        .iter()
        .filter(|(_, connection)| is_closed(&connection.stream))
        .map(|(&id, _)| id)
        .collect::<Vec<_>>();
    for id in closed {
        remove(state, id);
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(size) => size == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

fn remove(state: &mut State, id: u64) {
    if let Some(connection) = state.connections.remove(&id) {
        state.counts.open -= 1;
        state.threads.extend(connection.thread);
    }
}

/// Takes the connection off the count before the peer can see that it closes.
fn close(state: &Mutex<State>, id: u64) {
    remove(&mut lock(state), id);
}

fn serve(stream: &TcpStream, ready: Instant, handler: &Arc<Handler>) {
    let _ = stream.set_nodelay(true);
    let mut reader = MessageReader::new(stream);
    while let Ok(Some(request)) = reader.read() {
        thread::sleep(ready.saturating_duration_since(Instant::now()));
        let Reply::Send { body, status } = handler(&request) else {
            return;
        };
        if reader.write(status, &body, request.close).is_err() || request.close {
            return;
        }
    }
}
