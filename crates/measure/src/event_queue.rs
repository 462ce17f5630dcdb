use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Queue of events ordered by virtual time; events at the same time keep the order in which
/// they were added.
#[derive(Debug)]
pub struct EventQueue<T> {
    /// Events at the indices that the heap refers to.
    events: Vec<Option<T>>,
    /// Unused indices of `events`.
    free: Vec<usize>,
    /// Time, sequence number and index of each event.
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

    /// Returns the time of the next event.
    #[must_use]
    pub fn next_us(&self) -> Option<u64> {
        self.heap.peek().map(|Reverse((at_us, _, _))| *at_us)
    }

    /// Removes and returns the next event of a run that ends at `end_us`.
    ///
    /// Returns `None` after the end, unless `has_open_queries` is set. Then it also returns later
    /// events, so that open queries can finish, but drops those for which `starts_work` holds.
    pub fn pop_within(
        &mut self,
        end_us: u64,
        has_open_queries: bool,
        starts_work: impl Fn(&T) -> bool,
    ) -> Option<(u64, T)> {
        loop {
            let (now_us, event) = self.pop()?;
            if now_us <= end_us {
                return Some((now_us, event));
            }
            if !has_open_queries {
                return None;
            }
            if !starts_work(&event) {
                return Some((now_us, event));
            }
        }
    }

    /// Removes and returns the next event and its time.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        let Reverse((at_us, _, index)) = self.heap.pop()?;
        let event = self.events[index].take()?;
        self.free.push(index);
        Some((at_us, event))
    }
}
