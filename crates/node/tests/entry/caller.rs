//! A caller that writes HTTP to plain sockets, so that tests control each byte.

#![allow(
    dead_code,
    reason = "shared with the soak and a measurement, which use parts"
)]

use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use wigeonhall_adapter::REMAINING_MS;
use wigeonhall_adapter::REQUEST_ID;
use wigeonhall_adapter_standins::HttpMessage;

/// Longest wait for any answer; only a hang takes this long.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// The answer to a request: its status, and its headers and body in `message`.
pub struct Answer {
    pub message: HttpMessage,
    pub status: u16,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.message.header(name)
    }
}

/// A connection of a caller.
pub struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            reader: BufReader::new(stream),
        }
    }

    /// Connects to a node that may have stopped; `None` if it has.
    pub fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        Some(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request with further headers, each with its line end, to a node that may have
    /// stopped, in which case no answer follows.
    pub fn try_ask(&mut self, method: &str, path: &str, id: &str, body: &str, headers: &str) {
        let text = with_headers(&request(method, path, id, 1_500, body), headers);
        drop(self.reader.get_mut().write_all(text.as_bytes()));
    }

    pub fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Sends a request for `path` with an id and a deadline of 5 s.
    pub fn ask(&mut self, method: &str, path: &str, id: &str, body: &str) {
        let text = request(method, path, id, 5_000, body);
        self.send(&text);
    }

    /// Sends a request without a body for `path` with a deadline.
    pub fn ask_within(&mut self, method: &str, path: &str, id: &str, deadline_ms: u64) {
        let text = request(method, path, id, deadline_ms, "");
        self.send(&text);
    }

    /// Sends the text again and again without reading; returns whether the node closes the
    /// connection before a write has waited for the longest time.
    pub fn sends_until_closed(&mut self, text: &str) -> bool {
        let stream = self.reader.get_mut();
        stream.set_write_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        loop {
            match stream.write_all(text.as_bytes()) {
                Ok(()) => {}
                Err(error) => return error.kind() != ErrorKind::WouldBlock,
            }
        }
    }

    /// Reads an answer; `None` if the connection ends instead.
    pub fn read(&mut self) -> Option<Answer> {
        let mut line = String::new();
        if self.reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let status = line.split_whitespace().nth(1)?.parse().ok()?;
        let mut message = HttpMessage::default();
        loop {
            line.clear();
            self.reader.read_line(&mut line).ok()?;
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            let name = name.to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        message.body = vec![0; length.unwrap_or(0)];
        self.reader.read_exact(&mut message.body).ok()?;
        Some(Answer { message, status })
    }

    /// Returns whether the node closes the connection without sending more.
    pub fn ends(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 1]), Ok(0))
            || self.reader.get_ref().take_error().ok().flatten().is_some()
    }
}

pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\n{REQUEST_ID}: {id}\r\n\
         {REMAINING_MS}: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Adds headers, each with its line end, to a request.
pub fn with_headers(request: &str, headers: &str) -> String {
    request.replacen("\r\n", &format!("\r\n{headers}"), 1)
}

/// Sends one request with further headers, each with its line end, and returns its answer.
pub fn ask_with(address: SocketAddr, path: &str, id: &str, headers: &str) -> Answer {
    let mut caller = Caller::connect(address);
    let text = request("GET", path, id, 5_000, "");
    caller.send(&with_headers(&text, headers));
    caller.read().expect("an answer")
}

/// Sends one request over a new connection and returns its answer.
pub fn ask(address: SocketAddr, method: &str, path: &str, id: &str, body: &str) -> Answer {
    let mut caller = Caller::connect(address);
    caller.ask(method, path, id, body);
    caller.read().expect("an answer")
}
