//! Guards against answers without end that fill the memory of a node.

use wigeonhall_dispatch::AnswerMemoryBudget;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Grows an answer in small steps until it may not; returns its length.
fn grow_without_end(memory: &mut AnswerMemoryBudget) -> usize {
    let mut bytes = 0;
    while memory.grow(bytes, bytes + 16 * KIB) {
        bytes += 16 * KIB;
    }
    bytes
}

/// Twenty answers of a gather at eight megabytes each are more than a small node has.
#[test]
fn many_answers_without_end_hold_a_part_of_the_memory() {
    let mut memory = AnswerMemoryBudget::new(112 * MIB);
    let held: usize = (0..40).map(|_| grow_without_end(&mut memory)).sum();
    assert!(held <= 112 * MIB / 4 + 40 * 64 * KIB, "{held}");
}

#[test]
fn short_answers_are_read_though_the_memory_is_held() {
    let mut memory = AnswerMemoryBudget::new(112 * MIB);
    for _ in 0..40 {
        grow_without_end(&mut memory);
    }
    assert!(memory.grow(0, 64 * KIB));
    assert!(!memory.grow(0, 128 * KIB));
}

#[test]
fn what_an_answer_held_serves_the_next_one() {
    let mut memory = AnswerMemoryBudget::new(8 * MIB);
    for _ in 0..100 {
        let held: Vec<usize> = (0..8).map(|_| grow_without_end(&mut memory)).collect();
        assert!(held.iter().sum::<usize>() >= 2 * MIB);
        for bytes in held {
            memory.release(bytes);
        }
    }
}
