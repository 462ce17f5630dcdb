//! A crowd of callers that write to their connections at the same time and read nothing.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Receive buffer of a caller, so small that long answers wait in the node.
const RECEIVE_BUFFER_BYTES: usize = 4_096;

/// Segment size of callers that don't read: the kernel's send buffer grows with the segment size,
/// and with the default of loopback connections it takes whole answers.
const SMALL_SEGMENT_BYTES: u32 = 536;

/// Time without any progress after which the crowd holds its connections as they are.
const STALL: Duration = Duration::from_millis(700);

/// Time after which callers that would write for ever stop.
const SENDING_TIME: Duration = Duration::from_secs(6);

/// Pause between callers that write in turn, in which the node answers.
const TURN_PAUSE: Duration = Duration::from_millis(10);

/// Pause of callers that return, between two rounds of writing.
const RETURN_PAUSE: Duration = Duration::from_millis(5);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// What each caller of a crowd sends.
#[derive(Clone)]
pub enum Stream {
    /// The first bytes once, then the second without end.
    Endless(Arc<Vec<u8>>, Arc<Vec<u8>>),
    Once(Arc<Vec<u8>>),
}

impl Stream {
    /// Returns the bytes that follow the first `sent` ones; empty at the end.
    fn rest(&self, sent: usize) -> &[u8] {
        match self {
            Self::Once(bytes) => &bytes[sent..],
            Self::Endless(first, _) if sent < first.len() => &first[sent..],
            Self::Endless(first, repeated) => &repeated[(sent - first.len()) % repeated.len()..],
        }
    }
}

struct Sender {
    open: bool,
    sent: usize,
    socket: TcpStream,
}

/// Connections that stay open until the crowd is dropped.
pub struct Crowd {
    senders: Vec<Sender>,
}

impl Crowd {
    /// Opens connections; those that the node does not accept wait in its backlog.
    pub fn connect(address: SocketAddr, count: usize) -> Self {
        let senders = (0..count).filter_map(|_| connect(address, None)).collect();
        Self { senders }
    }

    /// Opens connections whose unread answers stay in the node, not in the kernel's buffers.
    pub fn connect_with_small_segments(address: SocketAddr, count: usize) -> Self {
        let open = |_| connect(address, Some(SMALL_SEGMENT_BYTES));
        let senders = (0..count).filter_map(open).collect();
        Self { senders }
    }

    /// Returns the number of connections that were opened.
    pub fn len(&self) -> usize {
        self.senders.len()
    }

    /// Lets all callers write as fast as the node reads.
    pub fn send(&mut self, stream: &Stream) {
        self.send_in_pieces(stream, usize::MAX);
    }

    /// Lets each caller write what the node takes; those that were answered or closed connect
    /// again.
    fn write_and_return(&mut self, address: SocketAddr, stream: &Stream) {
        for sender in &mut self.senders {
            while sender.write(stream, usize::MAX) {}
            if sender.has_ended()
                && let Some(again) = connect(address, None)
            {
                *sender = again;
            }
        }
    }

    /// Lets the callers write one after another, with a pause between them.
    pub fn send_in_turn(&mut self, stream: &Stream) {
        for sender in &mut self.senders {
            sender.write(stream, usize::MAX);
            thread::sleep(TURN_PAUSE);
        }
    }

    /// Lets all callers write one piece after another in turn.
    pub fn send_in_pieces(&mut self, stream: &Stream, piece_bytes: usize) {
        let start = Instant::now();
        let mut last_progress = start;
        while last_progress.elapsed() < STALL && start.elapsed() < SENDING_TIME {
            let mut progress = false;
            for sender in &mut self.senders {
                progress |= sender.write(stream, piece_bytes);
            }
            if progress {
                last_progress = Instant::now();
            } else {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }
}

impl Sender {
    /// Whether the node answered or closed the connection.
    fn has_ended(&mut self) -> bool {
        let read = self.socket.read(&mut [0; 1_024]);
        !matches!(read, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Writes one piece; returns whether bytes were written.
    fn write(&mut self, stream: &Stream, piece_bytes: usize) -> bool {
        let rest = stream.rest(self.sent);
        if !self.open || rest.is_empty() {
            return false;
        }
        let piece = &rest[..rest.len().min(piece_bytes)];
        match self.socket.write(piece) {
            Ok(bytes) => {
                self.sent += bytes;
                true
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            // The node closed the connection.
            Err(_) => {
                self.open = false;
                false
            }
        }
    }
}

/// Callers that write in a thread of their own and connect again when they are answered or closed,
/// until this is dropped.
pub struct ReturningCrowd {
    stopped: Arc<AtomicBool>,
    writing: Option<JoinHandle<()>>,
}

impl ReturningCrowd {
    pub fn start(address: SocketAddr, count: usize, stream: Stream) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = stopped.clone();
        let writing = thread::spawn(move || {
            let mut crowd = Crowd::connect(address, count);
            while !stop.load(Ordering::Relaxed) {
                crowd.write_and_return(address, &stream);
                thread::sleep(RETURN_PAUSE);
            }
        });
        Self {
            stopped,
            writing: Some(writing),
        }
    }
}

impl Drop for ReturningCrowd {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // A panic of the thread has been printed already.
        self.writing.take().map(JoinHandle::join);
    }
}

/// Opens a connection; `None` if the node's backlog is full.
fn connect(address: SocketAddr, segment_bytes: Option<u32>) -> Option<Sender> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    if let Some(bytes) = segment_bytes {
        socket.set_tcp_mss(bytes).unwrap();
    }
    socket
        .connect_timeout(&address.into(), CONNECT_TIMEOUT)
        .ok()?;
    let socket = TcpStream::from(socket);
    socket.set_nonblocking(true).unwrap();
    socket.set_nodelay(true).unwrap();
    Some(Sender {
        open: true,
        sent: 0,
        socket,
    })
}

/// Returns chunks of the given size, without the chunk that ends a body.
pub fn chunked_body(chunk_bytes: usize, chunks: usize) -> Vec<u8> {
    let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + chunk_bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(chunks)
}
