//! Reads HTTP requests from a connection and writes responses to it.

use std::collections::BTreeMap;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;

const MAX_BODY_BYTES: usize = 2 << 20;
const MAX_HEAD_BYTES: u64 = 64 << 10;

/// HTTP request read from a connection.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) body: Vec<u8>,
    /// Whether the server has closed the connection of the request; the request must then not
    /// run.
    pub(crate) closed_by_server: Arc<AtomicBool>,
    /// Whether the client requests `connection: close`.
    pub(crate) wants_close: bool,
    /// Header values by lower-case name.
    pub(crate) headers: BTreeMap<String, String>,
    pub(crate) method: String,
    /// Decoded parameters of the query string.
    pub(crate) params: BTreeMap<String, String>,
    pub(crate) path: String,
}

impl Request {
    pub(crate) fn header<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.headers.get(name)?.parse().ok()
    }

    pub(crate) fn param<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.params.get(name)?.parse().ok()
    }
}

/// Response of a handler to a request.
#[derive(Debug)]
pub(crate) enum Response {
    /// Close the connection without a response.
    Close,
    /// Send a response.
    Send { body: String, status: u16 },
}

/// Blocking reads and writes on a stream that may be in non-blocking mode for a
/// moment: `client_state` in `http_server` switches the mode while it peeks, and calls
/// that fail with `WouldBlock` in that time are retried.
struct BlockingStream<'a>(&'a TcpStream);

fn retry_while_blocked<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::WouldBlock => thread::yield_now(),
            result => return result,
        }
    }
}

impl Read for BlockingStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        retry_while_blocked(|| self.0.read(buffer))
    }
}

impl Write for BlockingStream<'_> {
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        retry_while_blocked(|| self.0.write(buffer))
    }
}

/// Reads requests from a connection and writes responses to it.
pub(crate) struct MessageStream<'a>(BufReader<BlockingStream<'a>>);

impl<'a> MessageStream<'a> {
    pub(crate) fn new(stream: &'a TcpStream) -> Self {
        Self(BufReader::new(BlockingStream(stream)))
    }

    /// Reads the next request. Returns `None` at the end of the connection, for a
    /// malformed request and for a body over `MAX_BODY_BYTES`.
    pub(crate) fn read(
        &mut self,
        closed_by_server: &Arc<AtomicBool>,
    ) -> io::Result<Option<Request>> {
        let mut head = self.0.by_ref().take(MAX_HEAD_BYTES);
        let mut request_line = String::new();
        head.read_line(&mut request_line)?;
        let mut request_words = request_line.split_whitespace();
        let (Some(method), Some(uri)) = (request_words.next(), request_words.next()) else {
            return Ok(None);
        };
        let mut headers = BTreeMap::new();
        loop {
            let mut line = String::new();
            if head.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            if line.trim().is_empty() {
                break;
            }
            let Some((name, value)) = line.split_once(':') else {
                return Ok(None);
            };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers
            .get("content-length")
            .map_or(Some(0), |length| length.parse().ok())
            .filter(|&length| length <= MAX_BODY_BYTES);
        let Some(length) = length else {
            return Ok(None);
        };
        let mut body = vec![0; length];
        self.0.read_exact(&mut body)?;
        let (path, query) = uri.split_once('?').unwrap_or((uri, ""));
        Ok(Some(Request {
            body,
            closed_by_server: Arc::clone(closed_by_server),
            wants_close: headers
                .get("connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close")),
            headers,
            method: method.to_owned(),
            params: query.split('&').filter_map(decode_param).collect(),
            path: path.to_owned(),
        }))
    }

    pub(crate) fn write(&mut self, status: u16, body: &str, close: bool) -> io::Result<()> {
        let connection = if close { "close" } else { "keep-alive" };
        let length = if status == 204 {
            String::new()
        } else {
            format!("content-length: {}\r\n", body.len())
        };
        let message = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n{length}connection: \
             {connection}\r\n\r\n{body}"
        );
        self.0.get_mut().write_all(message.as_bytes())
    }
}

fn decode_param(param: &str) -> Option<(String, String)> {
    let (name, value) = param.split_once('=')?;
    Some((name.to_owned(), decode_percent(value)?))
}

fn decode_percent(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => {
                let digits = [rest.next()?, rest.next()?];
                u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()?
            }
            byte => byte,
        });
    }
    String::from_utf8(bytes).ok()
}
