//! Guards against one object with an odd path that hides the others.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::ObjectHead;
use wigeonhall_platform::PlatformError;

const TIMEOUT_MS: u64 = 10_000;

/// Starts a server that answers one call with this body.
fn answer_once(body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            head.extend_from_slice(&byte);
        }
        let head = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n", body.len());
        stream
            .write_all(&[head.as_bytes(), &body].concat())
            .unwrap();
    });
    address
}

fn list(items: &[u8]) -> Result<Vec<ObjectHead>, PlatformError> {
    let body = [b"{\"objects\":[".as_slice(), items, b"]}"].concat();
    ObjectApi::new(answer_once(body), TIMEOUT_MS).list("claims/")
}

/// Old claims would never be deleted while such an object stands.
#[test]
fn a_path_that_cannot_be_read_does_not_hide_the_others() {
    let odd_heads: [&[u8]; 6] = [
        br#"{"path":"claims/1/\ud800","version":2}"#,
        b"{\"path\":\"claims/1/\xff\",\"version\":2}",
        br#"{"path":7,"version":2}"#,
        br#"{"path":"claims/1/b","version":-2}"#,
        br#"{"version":2}"#,
        b"null",
    ];
    for odd in odd_heads {
        let shown = String::from_utf8_lossy(odd);
        let items = [
            br#"{"path":"claims/1/a","version":1},"#.as_slice(),
            odd,
            br#",{"path":"claims/1/c","version":3}"#,
        ];
        let heads = list(&items.concat()).unwrap_or_else(|error| panic!("{shown}: {error}"));
        let paths: Vec<&str> = heads.iter().map(|head| &*head.path).collect();
        assert_eq!(paths, ["claims/1/a", "claims/1/c"], "{shown}");
    }
}

/// A list that is none must not look like an empty one.
#[test]
fn a_body_that_is_no_list_is_an_error() {
    for body in [b"{}".as_slice(), b"[]", b"{\"objects\":7}", b"\xff"] {
        let api = ObjectApi::new(answer_once(body.to_vec()), TIMEOUT_MS);
        let error = api.list("claims/").unwrap_err();
        assert!(matches!(error, PlatformError::BadReply { .. }), "{error}");
    }
}
