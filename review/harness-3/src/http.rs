//! A small HTTP/1.1 reader and client, enough for the stand-ins and the clients of the cases.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a message; `None` at the end of the connection.
pub fn read<R: Read>(reader: &mut BufReader<R>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    if chunked {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message
        .header("content-length")
        .and_then(|text| text.parse().ok())
    {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Sends a request over a new connection and reads the response.
pub fn ask(address: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    (&stream).write_all(&[head.as_bytes(), body].concat())?;
    let response = read(&mut BufReader::new(&stream))?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Decodes the escapes of a path or a query.
pub fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        let value = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match value {
            Some(value) if bytes[at] == b'%' => {
                out.push(value);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
