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
/// memory of a small node, and against gathers whose thousands of responses exceed it by what each
/// may hold uncounted: responses together hold at most a quarter of the memory, plus 4 KiB each.
#[test]
fn endless_responses_hold_at_most_a_fixed_part_of_the_memory() {
    for responses in [40, 6_000] {
        let mut memory = ResponseMemoryBudget::new(112 * MIB);
        let held: usize = (0..responses).map(|_| grow_to_the_limit(&mut memory)).sum();
        assert!(
            held <= 112 * MIB / 4 + responses * 4 * KIB,
            "{responses}: {held}"
        );
    }
}

#[test]
fn short_responses_are_accepted_when_the_limit_is_reached() {
    let mut memory = ResponseMemoryBudget::new(112 * MIB);
    for _ in 0..40 {
        grow_to_the_limit(&mut memory);
    }
    assert!(memory.grow(0, 64 * KIB));
    assert!(!memory.grow(0, MIB));
}

/// The part of a shard has some kilobytes at most.
#[test]
fn parts_of_healthy_replicas_are_accepted_beside_thousands_of_endless_responses() {
    let mut memory = ResponseMemoryBudget::new(112 * MIB);
    for _ in 0..2_000 {
        grow_to_the_limit(&mut memory);
    }
    assert!(memory.grow(0, 4 * KIB));
}

#[test]
fn released_memory_is_available_to_the_next_response() {
    let mut memory = ResponseMemoryBudget::new(8 * MIB);
    let mut first_round = None;
    for _ in 0..100 {
        let held: Vec<usize> = (0..8).map(|_| grow_to_the_limit(&mut memory)).collect();
        assert_eq!(*first_round.get_or_insert_with(|| held.clone()), held);
        assert!(held.iter().sum::<usize>() >= MIB / 4);
        for bytes in held {
            memory.release(bytes);
        }
    }
}
