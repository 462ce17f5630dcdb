//! Guards against callers that use up the memory of a process, or keep others out of it.

use wigeonhall_dispatch::CONNECTION_BYTES;
use wigeonhall_dispatch::MemoryBudget;
use wigeonhall_dispatch::MemoryUse;
use wigeonhall_dispatch::unneeded_bytes_max;

/// Memory of the smallest node.
const SMALLEST_BYTES: usize = 112_000_000;

/// Largest body on the smallest node, with its headers.
const LARGEST_REQUEST_BYTES: usize = 262_144 + 16 * 1024;

/// Reserves until there is no room; returns the reserved bytes.
fn fill(memory: &mut MemoryBudget, memory_use: MemoryUse, bytes: usize) -> usize {
    let mut held_bytes = 0;
    while memory.reserve(memory_use, bytes) {
        held_bytes += bytes;
    }
    held_bytes
}

/// Guards against a sum of all uses that leaves nothing for the program and the allocator.
#[test]
fn all_uses_together_leave_a_quarter_of_the_memory() {
    for memory_bytes in [32_000_000, 48_000_000, SMALLEST_BYTES, 512_000_000] {
        let mut memory = MemoryBudget::new(memory_bytes);
        let mut held_bytes = fill(&mut memory, MemoryUse::Connections, CONNECTION_BYTES);
        held_bytes += fill(&mut memory, MemoryUse::Requests, LARGEST_REQUEST_BYTES);
        held_bytes += fill(&mut memory, MemoryUse::Requests, 1_000);
        for _ in 0..1_000 {
            held_bytes += 256_000 * usize::from(memory.responses().grow(0, 256_000));
        }
        assert!(
            held_bytes <= memory_bytes / 4 * 3,
            "{memory_bytes}: {held_bytes}"
        );
    }
}

#[test]
fn the_largest_request_is_admitted_on_the_smallest_node_beside_all_connections() {
    let mut memory = MemoryBudget::new(SMALLEST_BYTES);
    fill(&mut memory, MemoryUse::Connections, CONNECTION_BYTES);
    assert!(memory.reserve(MemoryUse::Requests, LARGEST_REQUEST_BYTES));
}

/// Guards against a body limit near the node's memory that no request can use.
#[test]
fn a_request_may_need_more_than_a_quarter_of_the_room_while_others_hold_little() {
    let mut memory = MemoryBudget::new(SMALLEST_BYTES);
    assert!(memory.reserve(MemoryUse::Requests, 10_000));
    assert!(memory.reserve(MemoryUse::Requests, 16_000_000));
    assert!(!memory.reserve(MemoryUse::Requests, 16_000_000));
}

#[test]
fn large_bodies_leave_room_for_small_ones() {
    let mut memory = MemoryBudget::new(SMALLEST_BYTES);
    fill(&mut memory, MemoryUse::Requests, LARGEST_REQUEST_BYTES);
    for _ in 0..20 {
        assert!(memory.reserve(MemoryUse::Requests, 10_000));
    }
}

#[test]
fn callers_leave_room_for_responses_peers_and_the_store() {
    let mut memory = MemoryBudget::new(SMALLEST_BYTES);
    fill(&mut memory, MemoryUse::Connections, CONNECTION_BYTES);
    fill(&mut memory, MemoryUse::Requests, 10_000);
    assert!(memory.responses().grow(0, 500_000));
    assert!(memory.reserve(MemoryUse::Peers, 4_000_000));
    assert!(memory.reserve(MemoryUse::Store, 1_000_000));
}

#[test]
fn what_peers_and_the_store_hold_is_not_granted_to_callers() {
    let mut memory = MemoryBudget::new(SMALLEST_BYTES);
    assert!(memory.reserve(MemoryUse::Peers, SMALLEST_BYTES));
    assert!(!memory.reserve(MemoryUse::Requests, 1));
    memory.release(MemoryUse::Peers, SMALLEST_BYTES);
    assert!(memory.reserve(MemoryUse::Requests, LARGEST_REQUEST_BYTES));
}

#[test]
fn released_memory_is_granted_again() {
    let mut memory = MemoryBudget::new(SMALLEST_BYTES);
    let first = fill(&mut memory, MemoryUse::Requests, LARGEST_REQUEST_BYTES);
    memory.release(MemoryUse::Requests, first);
    assert_eq!(memory.held(MemoryUse::Requests), 0);
    let second = fill(&mut memory, MemoryUse::Requests, LARGEST_REQUEST_BYTES);
    assert_eq!(first, second);
}

/// Entries of other writers must leave room for callers, and fit into a message to a peer together
/// with those that are needed.
#[test]
fn entries_without_a_use_take_a_small_part_of_the_memory() {
    for memory_bytes in [
        32_000_000,
        48_000_000,
        SMALLEST_BYTES,
        512_000_000,
        usize::MAX,
    ] {
        let bytes = unneeded_bytes_max(memory_bytes);
        assert!(bytes <= memory_bytes / 16);
        assert!(bytes <= 8 * 1024 * 1024);
    }
}
