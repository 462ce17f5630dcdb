//! The little of HTTP/1.1 that the stand-ins need.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Word of the first line: method and path of a request, status of a response.
    pub fn word(&self, index: usize) -> &str {
        self.start.split_whitespace().nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Reads a message; `None` if the connection ended before its first byte.
    pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut message = Self {
            start: line.trim_end().to_owned(),
            ..Self::default()
        };
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            let pair = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(pair);
        }
        if message.header("transfer-encoding") == Some("chunked") {
            message.body = read_chunks(reader)?;
        } else {
            let length = message.header("content-length");
            let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }
}

fn read_chunks(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    [(text + "\r\n").as_bytes(), body].concat()
}

/// Sends one request on a new connection and reads the answer; `None` if the connection ends
/// without a whole one.
pub fn ask(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request).ok()?;
    Message::read(&mut BufReader::new(stream)).ok()?
}
