//! Guards against endless responses that exhaust the memory of a node.

use wigeonhall_dispatch::ResponseMemoryBudget;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Grows a response in small steps until it reaches a limit; returns its length.
fn grow_to_the_limit(memory: &mut ResponseMemoryBudget) -> usize {
    let mut bytes = 0;
    while memory.grow(bytes, bytes + 16 * KIB) {
        bytes += 16 * KIB;
    }
    bytes
}

/// Guards against a gather whose responses, eight megabytes from each of twenty shards, exceed the
/// memory of a small node: responses together hold at most a quarter of the memory, plus 64 KiB
/// each.
#[test]
fn endless_responses_hold_at_most_a_fixed_part_of_the_memory() {
    let mut memory = ResponseMemoryBudget::new(112 * MIB);
    let held: usize = (0..40).map(|_| grow_to_the_limit(&mut memory)).sum();
    assert!(held <= 112 * MIB / 4 + 40 * 64 * KIB, "{held}");
}

#[test]
fn short_responses_are_accepted_when_the_limit_is_reached() {
    let mut memory = ResponseMemoryBudget::new(112 * MIB);
    for _ in 0..40 {
        grow_to_the_limit(&mut memory);
    }
    assert!(memory.grow(0, 64 * KIB));
    assert!(!memory.grow(0, 128 * KIB));
}

#[test]
fn released_memory_is_available_to_the_next_response() {
    let mut memory = ResponseMemoryBudget::new(8 * MIB);
    for _ in 0..100 {
        let held: Vec<usize> = (0..8).map(|_| grow_to_the_limit(&mut memory)).collect();
        assert!(held.iter().sum::<usize>() >= 2 * MIB);
        for bytes in held {
            memory.release(bytes);
        }
    }
}
