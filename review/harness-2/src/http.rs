//! HTTP/1.1 messages over plain sockets, so that each byte is under control.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A request or a response; `first` is its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; `None` at the end of the connection.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Self> {
        let first = read_line(reader)?;
        let mut message = Self {
            first,
            ..Self::default()
        };
        loop {
            let line = read_line(reader)?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        message.body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split_whitespace().nth(index).unwrap_or("")
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line).ok()? == 0 {
        return None;
    }
    Some(String::from_utf8_lossy(&line).trim_end().to_owned())
}

/// Serves connections on a free loopback port for as long as this process runs.
pub fn serve(
    handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> SocketAddr {
    Server::start(0, handle).address
}

/// A server on a loopback port, with a thread for each connection.
pub struct Server {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server; `handle` returns whether the connection stays open.
    pub fn start(
        port: u16,
        handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", port)).expect("a free port");
        let server = Self {
            address: listener.local_addr().expect("an address"),
            ended: Arc::default(),
            streams: Arc::default(),
        };
        let handle = Arc::new(handle);
        let (ended, streams) = (server.ended.clone(), server.streams.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(kept) = stream.try_clone() {
                    streams.lock().expect("the connections").push(kept);
                }
                let handle = handle.clone();
                thread::spawn(move || serve_connection(stream, &*handle));
            }
        });
        server
    }

    /// Ends like a process that crashes: closes all connections and refuses new ones.
    pub fn crash(&self) {
        self.ended.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.address));
        // The listener is closed first, as a node asks it whether the process has ended.
        thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().expect("the connections").drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
    }
}

fn serve_connection(stream: TcpStream, handle: &impl Fn(&Message, &mut TcpStream) -> bool) {
    drop(stream.set_nodelay(true));
    let Ok(mut output) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(message) = Message::read(&mut reader) {
        if !handle(&message, &mut output) {
            break;
        }
    }
    drop(output.shutdown(Shutdown::Both));
}

/// A kept connection of a consumer.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(port: u16) -> Option<Self> {
        let stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        Some(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and returns its answer; `None` if the connection ends first.
    pub fn ask(&mut self, method: &str, path: &str, headers: &str, body: &str) -> Option<Message> {
        let length = body.len();
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        );
        self.reader.get_mut().write_all(text.as_bytes()).ok()?;
        Message::read(&mut self.reader)
    }
}

/// Sends one request over a new connection.
pub fn ask(port: u16, method: &str, path: &str, headers: &str, body: &str) -> Option<Message> {
    Connection::open(port)?.ask(method, path, headers, body)
}
