//! Callers that together ask for more memory or descriptors than a node has. Each test checks that
//! the process lives within the limits of its settings, and that an ordinary request is served.

#[path = "../entry/caller.rs"]
mod caller;
#[path = "../common/mod.rs"]
mod common;
mod crowd;
#[path = "../entry/deployment.rs"]
mod deployment;
mod entry_node;
mod foreign_entries;
mod front_node;
mod unread_bytes;

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crowd::Crowd;
use crowd::ReturningCrowd;
use crowd::Stream;
use crowd::chunked_body;
use entry_node::BODY_LIMIT_BYTES;
use entry_node::EntryNode;
use front_node::FrontNode;

/// Bytes by which an incomplete body is shorter than announced.
const SHORTFALL_BYTES: usize = 12;

/// Callers with large bodies; their bodies hold 79 MB together.
const LARGE_BODIES: usize = 300;

/// Callers with bodies in chunks of one byte, which cost several times their payload.
const TINY_CHUNK_BODIES: usize = 40;

/// Chunks of one byte in each of these bodies.
const TINY_CHUNKS: usize = 40_000;

/// Callers that send far more than the limit without a pause.
const UNREAD_BODIES: usize = 390;

/// Callers with incomplete bodies that connect again when they are closed.
const RETURNING_CALLERS: usize = 600;

/// Ordinary requests beside them.
const ORDINARY_REQUESTS: usize = 16;

/// Pause between two ordinary requests.
const ORDINARY_PAUSE: Duration = Duration::from_millis(250);

/// Size of a large chunk.
const LARGE_CHUNK_BYTES: usize = 60_000;

/// Callers that hold a connection each, more than the node has descriptors.
const IDLE_CALLERS: usize = 900;

/// Callers that don't read long answers, 82 MB together.
const UNREAD_ANSWERS: usize = 550;

/// Callers that send requests without end.
const PIPELINING_CALLERS: usize = 50;

/// Callers with large bodies of the product's own interface, fewer than it serves at a time.
const FRONT_BODIES: usize = 200;

fn front_body(bytes: usize) -> Vec<u8> {
    let head = format!("POST /query HTTP/1.1\r\nHost: node\r\nContent-Length: {bytes}\r\n\r\n");
    let mut stream = head.into_bytes();
    stream.resize(stream.len() + bytes, b' ');
    stream
}

fn incomplete(mut stream: Vec<u8>) -> Stream {
    stream.truncate(stream.len() - SHORTFALL_BYTES);
    Stream::Once(Arc::new(stream))
}

fn head(version: &str, fields: &str) -> Vec<u8> {
    entry_node::head("POST", "/a/x", version, fields).into_bytes()
}

fn with_length(version: &str, announced_bytes: usize, sent_bytes: usize) -> Vec<u8> {
    let mut stream = head(version, &format!("Content-Length: {announced_bytes}\r\n"));
    stream.resize(stream.len() + sent_bytes, b'x');
    stream
}

fn chunked(chunk_bytes: usize, chunks: usize) -> Vec<u8> {
    let mut stream = head("1.1", "Transfer-Encoding: chunked\r\n");
    stream.extend(chunked_body(chunk_bytes, chunks));
    stream
}

#[test]
fn large_bodies_of_stated_length_that_stop_short_do_not_exhaust_memory() {
    let mut node = EntryNode::start();
    let body = with_length("1.1", BODY_LIMIT_BYTES, BODY_LIMIT_BYTES);
    let mut crowd = Crowd::connect(node.callers(), LARGE_BODIES);
    crowd.send(&incomplete(body));
    node.check_with(&crowd);
}

#[test]
fn large_bodies_sent_piece_by_piece_that_stop_short_do_not_exhaust_memory() {
    let mut node = EntryNode::start();
    let body = with_length("1.1", BODY_LIMIT_BYTES, BODY_LIMIT_BYTES);
    let mut crowd = Crowd::connect(node.callers(), LARGE_BODIES);
    crowd.send_in_pieces(&incomplete(body), LARGE_CHUNK_BYTES);
    node.check_with(&crowd);
}

#[test]
fn bodies_in_large_chunks_that_stop_short_do_not_exhaust_memory() {
    let mut node = EntryNode::start();
    let body = chunked(LARGE_CHUNK_BYTES, BODY_LIMIT_BYTES / LARGE_CHUNK_BYTES);
    let mut crowd = Crowd::connect(node.callers(), LARGE_BODIES);
    crowd.send(&incomplete(body));
    node.check_with(&crowd);
}

#[test]
fn bodies_in_chunks_of_one_byte_that_stop_short_do_not_exhaust_memory() {
    let mut node = EntryNode::start();
    let body = chunked(1, TINY_CHUNKS);
    let mut crowd = Crowd::connect(node.callers(), TINY_CHUNK_BODIES);
    crowd.send(&incomplete(body));
    node.check_with(&crowd);
}

#[test]
fn bodies_announced_far_over_the_limit_do_not_exhaust_memory() {
    let mut node = EntryNode::start();
    let sent_bytes = BODY_LIMIT_BYTES - SHORTFALL_BYTES;
    let body = with_length("1.1", 1_000 * BODY_LIMIT_BYTES, sent_bytes);
    let mut crowd = Crowd::connect(node.callers(), LARGE_BODIES);
    crowd.send(&Stream::Once(Arc::new(body)));
    node.check_with(&crowd);
}

#[test]
fn endless_bodies_do_not_exhaust_memory() {
    let mut node = EntryNode::start();
    let head = head("1.1", "Transfer-Encoding: chunked\r\n");
    let chunk = chunked_body(LARGE_CHUNK_BYTES, 1);
    let mut crowd = Crowd::connect(node.callers(), LARGE_BODIES);
    crowd.send(&Stream::Endless(Arc::new(head), Arc::new(chunk)));
    node.check_with(&crowd);
}

/// Bytes that arrived and were not read were not limited.
#[test]
fn unread_bytes_of_endless_bodies_do_not_exhaust_memory() {
    let mut node = EntryNode::start();
    let watch = node.watch_memory();
    let head = head("1.1", "Transfer-Encoding: chunked\r\n");
    let chunk = chunked_body(LARGE_CHUNK_BYTES, 1);
    let mut crowd = Crowd::connect(node.callers(), UNREAD_BODIES);
    crowd.send(&Stream::Endless(Arc::new(head), Arc::new(chunk)));
    node.check_with(&crowd);
    EntryNode::check_memory(&watch);
}

/// Bytes that arrived behind a refused head were not limited.
#[test]
fn unread_bytes_of_bodies_announced_over_the_limit_do_not_exhaust_memory() {
    let mut node = EntryNode::start();
    let watch = node.watch_memory();
    let body = with_length("1.1", 1_000 * BODY_LIMIT_BYTES, 4 * BODY_LIMIT_BYTES);
    let mut crowd = Crowd::connect(node.callers(), UNREAD_BODIES);
    crowd.send(&Stream::Once(Arc::new(body)));
    node.check_with(&crowd);
    EntryNode::check_memory(&watch);
}

/// Connections of ordinary callers were closed before their request was read.
#[test]
fn callers_that_connect_again_do_not_displace_ordinary_requests() {
    let mut node = EntryNode::start();
    let body = with_length("1.1", BODY_LIMIT_BYTES, BODY_LIMIT_BYTES - 1);
    let crowd = ReturningCrowd::start(
        node.callers(),
        RETURNING_CALLERS,
        Stream::Once(Arc::new(body)),
    );
    let answers: Vec<Option<u16>> = (0..ORDINARY_REQUESTS)
        .map(|_| {
            thread::sleep(ORDINARY_PAUSE);
            node.ask()
        })
        .collect();
    println!("answers beside the crowd: {answers:?}");
    drop(crowd);
    node.check_with(&Crowd::connect(node.callers(), 0));
    assert!(answers.iter().all(Option::is_some), "{answers:?}");
}

#[test]
fn idle_connections_do_not_exhaust_the_descriptors() {
    let mut node = EntryNode::start();
    let crowd = Crowd::connect(node.callers(), IDLE_CALLERS);
    node.check_with(&crowd);
}

#[test]
fn heads_sent_byte_by_byte_do_not_exhaust_descriptors_or_memory() {
    let mut node = EntryNode::start();
    let mut head = head("1.1", "");
    head.truncate(head.len() - SHORTFALL_BYTES);
    let mut crowd = Crowd::connect(node.callers(), IDLE_CALLERS);
    crowd.send_in_pieces(&Stream::Once(Arc::new(head)), 1);
    node.check_with(&crowd);
}

#[test]
fn callers_that_do_not_read_their_answers_do_not_exhaust_memory() {
    let mut node = EntryNode::start();
    let request = entry_node::head("GET", "/long/x", "1.1", "").into_bytes();
    let mut crowd = Crowd::connect_with_small_segments(node.callers(), UNREAD_ANSWERS);
    crowd.send_in_turn(&Stream::Once(Arc::new(request)));
    node.check_with(&crowd);
}

#[test]
fn endless_pipelined_requests_do_not_exhaust_memory() {
    let mut node = EntryNode::start();
    let request = Arc::new(entry_node::head("GET", "/a/x", "1.1", "").into_bytes());
    let mut crowd = Crowd::connect(node.callers(), PIPELINING_CALLERS);
    crowd.send(&Stream::Endless(request.clone(), request));
    node.check_with(&crowd);
}

#[test]
fn large_bodies_over_http_1_0_that_stop_short_do_not_exhaust_memory() {
    let mut node = EntryNode::start();
    let body = with_length("1.0", BODY_LIMIT_BYTES, BODY_LIMIT_BYTES);
    let mut crowd = Crowd::connect(node.callers(), LARGE_BODIES);
    crowd.send(&incomplete(body));
    node.check_with(&crowd);
}

#[test]
fn idle_connections_do_not_exhaust_the_descriptors_of_the_own_interface() {
    let mut node = FrontNode::start();
    let _crowd = Crowd::connect(node.address(), IDLE_CALLERS);
    node.check();
}

#[test]
fn heads_sent_byte_by_byte_do_not_exhaust_the_own_interface() {
    let mut node = FrontNode::start();
    let mut crowd = Crowd::connect(node.address(), IDLE_CALLERS);
    let head = b"POST /query HTTP/1.1\r\nHost: node\r\n".to_vec();
    crowd.send_in_pieces(&Stream::Once(Arc::new(head)), 1);
    node.check();
}

#[test]
fn bodies_that_stop_short_do_not_exhaust_the_own_interface() {
    let mut node = FrontNode::start();
    let mut crowd = Crowd::connect(node.address(), FRONT_BODIES);
    crowd.send(&incomplete(front_body(BODY_LIMIT_BYTES)));
    node.check();
}

#[test]
fn endless_bodies_do_not_exhaust_the_own_interface() {
    let mut node = FrontNode::start();
    let head = b"POST /query HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = chunked_body(LARGE_CHUNK_BYTES, 1);
    let mut crowd = Crowd::connect(node.address(), FRONT_BODIES);
    crowd.send(&Stream::Endless(Arc::new(head.to_vec()), Arc::new(chunk)));
    node.check();
}
