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

/// A request as read from a connection.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) body: Vec<u8>,
    /// Whether the server broke the connection that it came from.
    pub(crate) broken: Arc<AtomicBool>,
    /// Whether the peer asks to close the connection after the reply.
    pub(crate) close: bool,
    /// By name in lower case.
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

/// What to do with a request.
#[derive(Debug)]
pub(crate) enum Reply {
    /// Close the connection without a reply.
    Close,
    /// Send a reply.
    Send { body: String, status: u16 },
}

/// Retries calls that hit the moment in which the accepting thread looks at the
/// connection without blocking.
struct Blocking<'a>(&'a TcpStream);

fn retry<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::WouldBlock => thread::yield_now(),
            result => return result,
        }
    }
}

impl Read for Blocking<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        retry(|| self.0.read(buffer))
    }
}

impl Write for Blocking<'_> {
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        retry(|| self.0.write(buffer))
    }
}

/// Reads requests from a connection and writes replies to it.
pub(crate) struct MessageReader<'a>(BufReader<Blocking<'a>>);

impl<'a> MessageReader<'a> {
    pub(crate) fn new(stream: &'a TcpStream) -> Self {
        Self(BufReader::new(Blocking(stream)))
    }

    /// Returns `None` at the end of the connection or for a request of another form.
    pub(crate) fn read(&mut self, broken: &Arc<AtomicBool>) -> io::Result<Option<Request>> {
        let mut head = self.0.by_ref().take(MAX_HEAD_BYTES);
        let mut first = String::new();
        head.read_line(&mut first)?;
        let mut words = first.split_whitespace();
        let (Some(method), Some(target)) = (words.next(), words.next()) else {
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
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        Ok(Some(Request {
            body,
            broken: Arc::clone(broken),
            close: headers
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
    Some((name.to_owned(), decode(value)?))
}

fn decode(text: &str) -> Option<String> {
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
