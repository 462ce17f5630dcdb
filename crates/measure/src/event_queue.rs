use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Events in order of virtual time; events of one time keep their order.
#[derive(Debug)]
pub struct EventQueue<T> {
    events: Vec<Option<T>>,
    free: Vec<usize>,
    heap: BinaryHeap<Reverse<(u64, u64, usize)>>,
    sequence: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self {
            events: Vec::new(),
            free: Vec::new(),
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event.
    pub fn push(&mut self, at_us: u64, event: T) {
        let index = if let Some(index) = self.free.pop() {
            self.events[index] = Some(event);
            index
        } else {
            self.events.push(Some(event));
            self.events.len() - 1
        };
        self.sequence += 1;
        self.heap.push(Reverse((at_us, self.sequence, index)));
    }

    /// Time of the next event.
    #[must_use]
    pub fn next_us(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((at_us, _, _))| *at_us)
    }

    /// Takes the next event of a run that ends at `end_us`, but lets what is open end:
    /// `None` once the time is over and nothing `is_open`. Events that `starts_work`
    /// are dropped after the end.
    pub fn pop_within(
        &mut self,
        end_us: u64,
        is_open: bool,
        starts_work: impl Fn(&T) -> bool,
    ) -> Option<(u64, T)> {
        loop {
            let (now_us, event) = self.pop()?;
            if now_us <= end_us {
                return Some((now_us, event));
            }
            if !is_open {
                return None;
            }
            if !starts_work(&event) {
                return Some((now_us, event));
            }
        }
    }

    /// Takes the next event and its time.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        let Reverse((at_us, _, index)) = self.heap.pop()?;
        let event = self.events[index].take()?;
        self.free.push(index);
        Some((at_us, event))
    }
}
