//! Burst of more callers than a node serves at the same time.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use common::Cluster;
use wigeonhall_node::StatusName;
use wigeonhall_types::Verdict;

/// Number of callers that a node serves at the same time.
const CALLERS: usize = 256;

/// Number of callers beyond the limit, more than the node has threads for refusals.
const REFUSED_CALLERS: usize = 40;

/// Guards against callers beyond the limit that queue until their deadline instead of being
/// refused with a retry delay, and against health checks and operators that queue behind
/// callers.
#[test]
fn callers_beyond_the_limit_are_refused_at_once() {
    let cluster = Cluster::start(1);
    let address = cluster.address(0);
    // Callers that have not sent their body occupy a thread until the test sends it. The body is
    // longer than the 1 KiB that the HTTP library buffers before it passes on a request.
    let body = serde_json::to_string(&common::read_request()).unwrap();
    let body = format!("{body}{}", " ".repeat(5_000));
    let head = format!(
        "POST /query HTTP/1.1\r\nHost: node\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let open_caller = || {
        let mut caller = TcpStream::connect(address).unwrap();
        caller.write_all(head.as_bytes()).unwrap();
        caller
    };
    let mut waiting_callers: Vec<TcpStream> = (0..CALLERS).map(|_| open_caller()).collect();
    // The HTTP library may leave a caller waiting, or the node may refuse one while it serves
    // another request, so more callers are added until the limit is reached.
    common::wait_until("a node at its limit of callers", || {
        let answer = common::read(address).unwrap();
        let full = answer.reason.as_deref() == Some("too_many_callers");
        if !full {
            waiting_callers.push(open_caller());
        }
        full
    });
    for _ in 0..100 {
        let answer = common::read(address).unwrap();
        assert_eq!(answer.reason.as_deref(), Some("too_many_callers"));
        assert_eq!(answer.status, StatusName::Refused);
        assert_eq!(answer.verdict, Verdict::NotRun);
        assert!(answer.retry_after_ms.is_some_and(|it| it > 0));
    }
    let first = common::write_request("burst-1", 7);
    let answer = common::write(address, &first);
    assert_eq!(answer.status, StatusName::Refused, "{answer:?}");
    assert_eq!(answer.verdict, Verdict::NotRun);
    let answer = common::write(address, &common::repeat_of(&first));
    assert_eq!(answer.status, StatusName::Refused, "{answer:?}");
    // A repeat cannot rule out that an earlier attempt ran.
    assert_eq!(answer.verdict, Verdict::MayHaveRun);
    assert_eq!(cluster.executions("burst-1"), 0);
    assert!(common::is_healthy(address));
    assert_eq!(common::status(address).not_ready, None);
    for caller in &mut waiting_callers {
        caller.write_all(body.as_bytes()).unwrap();
    }
    let mut served = 0;
    for caller in &mut waiting_callers {
        let mut response = String::new();
        caller.read_to_string(&mut response).unwrap();
        let refused = response.contains("too_many_callers");
        served += usize::from(!refused);
        // The targets of a node that has just started are cold, so admission refuses a part of the
        // burst immediately and with a retry delay.
        let whole = response.starts_with("HTTP/1.1 200");
        let refused_with_delay =
            response.starts_with("HTTP/1.1 503") && response.contains("Retry-After: ");
        assert!(refused || whole || refused_with_delay, "{response:.300}");
    }
    assert!(served >= CALLERS, "{served}");
    common::wait_for_whole_reads(address);
}

/// Guards against refused callers that have not sent their body and hold the threads which refuse
/// others: the HTTP library reads the rest of a body before it lets go of its request.
#[test]
fn refused_callers_without_their_body_do_not_block_later_refusals() {
    let cluster = Cluster::start(1);
    let address = cluster.address(0);
    let head = "POST /query HTTP/1.1\r\nHost: node\r\nContent-Length: 5000\r\n\r\n";
    let mut waiting_callers = Vec::new();
    for _ in 0..CALLERS + REFUSED_CALLERS {
        let mut caller = TcpStream::connect(address).unwrap();
        caller.write_all(head.as_bytes()).unwrap();
        waiting_callers.push(caller);
    }
    let answer = common::read(address).expect("an answer beyond the limit");
    assert_eq!(answer.status, StatusName::Refused);
}
