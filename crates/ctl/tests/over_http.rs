//! Tests of the command's calls over loopback HTTP.

mod fake;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread::spawn;

use crate::fake::FakeCluster;
use crate::fake::TEXT;
use wigeonhall_ctl::Store;
use wigeonhall_ctl::apply;
use wigeonhall_ctl::http_node_client;
use wigeonhall_platform::ObjectApi;
use wigeonhall_protocol::CURRENT_PATH;
use wigeonhall_standins::ObjectStore;

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const TIMEOUT_MS: u64 = 5_000;

/// Guards against a command that reports a failed change after a lost reply: it must read
/// the object back, whatever error the HTTP client returns.
#[test]
fn command_reads_the_object_back_after_a_lost_reply() {
    let server = ObjectStore::start(LOOPBACK.into()).unwrap();
    let fake = FakeCluster::default();
    let mut operator = fake.operator("ada");
    operator.store = Some(Store::from_api(&ObjectApi::new(
        server.address(),
        TIMEOUT_MS,
    )));
    server.lose_write_replies(1);
    let applied = apply(&operator, TEXT, None).unwrap();
    let (_, version) = server.object(CURRENT_PATH).unwrap();
    assert_eq!(applied.generation, version);
    assert_eq!(applied.change_id.as_deref(), Some("ada-1"));
    assert!(applied.notes.is_empty());
}

/// Starts a server that answers one request with `status` and with the request line and
/// body. Returns its address.
fn echo(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::from(LOOPBACK)).unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        let mut reader = BufReader::new(listener.accept().unwrap().0);
        let mut request = String::new();
        let mut length = 0;
        let mut line = String::new();
        while reader.read_line(&mut line).unwrap() > 2 {
            if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().unwrap();
            }
            if request.is_empty() {
                request.push_str(&line);
            }
            line.clear();
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).unwrap();
        request.push_str(&String::from_utf8(body).unwrap());
        let head = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
            request.len()
        );
        let stream = reader.get_mut();
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
    });
    address
}

/// Guards against names that break the request line, against lost bodies, and against
/// error statuses of a node that are treated as answers.
#[test]
fn node_calls_encode_requests_and_report_errors() {
    let nodes = http_node_client(TIMEOUT_MS);
    let answer = (nodes.get)(echo("200 OK"), "/explain", &[("request", "a b&c/é")]);
    let expected = "GET /explain?request=a+b%26c%2F%C3%A9 HTTP/1.1\r\n";
    assert_eq!(answer.as_deref(), Ok(expected));
    let answer = (nodes.post)(echo("200 OK"), "/evacuate", "{\"vm\":\"é\"}");
    assert_eq!(
        answer.as_deref(),
        Ok("POST /evacuate HTTP/1.1\r\n{\"vm\":\"é\"}")
    );
    let refusal = (nodes.post)(echo("400 Bad Request"), "/evacuate", "x");
    let expected = "status 400: POST /evacuate HTTP/1.1\r\nx";
    assert_eq!(refusal, Err(expected.into()));
}
