use std::collections::BTreeMap;

use crate::deadline_queue::DeadlineQueue;
use crate::deadline_queue::QueueKey;
use crate::deadline_queue::queue_key;
use wigeonhall_types::ClassKey;
use wigeonhall_types::SubRequest;

/// Virtual time that one start costs a class of weight 1.
const VIRTUAL_START_COST: u64 = 1 << 20;

/// Waiting sub-requests of one class.
#[derive(Debug, Default)]
struct ClassQueue {
    queue: DeadlineQueue,
    /// Virtual time at which the next sub-request of the class may start.
    start_tag: u64,
    weight: u32,
}

/// Sub-requests that wait for a slot of one replica.
///
/// Classes share the starts by weight (start-time fair queueing). Within a class, the earliest
/// deadline goes first.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    classes: BTreeMap<ClassKey, ClassQueue>,
    /// Number of sub-requests of all classes.
    len: usize,
    /// Largest start tag of any sub-request started so far.
    virtual_time: u64,
}

impl FairQueue {
    /// Adds a sub-request of a class with this weight.
    pub(crate) fn insert(&mut self, request: SubRequest, weight: u32) {
        let class = self.classes.entry(request.class).or_default();
        class.weight = weight.max(1);
        if class.queue.len() == 0 {
            class.start_tag = class.start_tag.max(self.virtual_time);
        }
        class.queue.insert(request);
        self.len += 1;
    }

    /// Removes a sub-request without starting it.
    pub(crate) fn remove(&mut self, class: ClassKey, key: QueueKey) -> Option<SubRequest> {
        let request = self.classes.get_mut(&class)?.queue.remove(key)?;
        self.len -= 1;
        Some(request)
    }

    /// Removes an arbitrary sub-request.
    pub(crate) fn pop_any(&mut self) -> Option<SubRequest> {
        let (class, key) = self.first_per_class().next()?;
        self.remove(class, key)
    }

    /// Removes the sub-request that starts next among the classes for which `may_start` holds.
    pub(crate) fn pop(&mut self, may_start: impl Fn(ClassKey) -> bool) -> Option<SubRequest> {
        let (_, class) = self
            .classes
            .iter()
            .filter(|(class, waiting)| waiting.queue.len() > 0 && may_start(**class))
            .map(|(class, waiting)| (waiting.start_tag, *class))
            .min()?;
        let waiting = self.classes.get_mut(&class)?;
        let key = waiting.queue.first()?;
        self.virtual_time = self.virtual_time.max(waiting.start_tag);
        waiting.start_tag += VIRTUAL_START_COST / u64::from(waiting.weight);
        self.remove(class, key)
    }

    /// Returns the first sub-request of each waiting class.
    pub(crate) fn first_per_class(&self) -> impl Iterator<Item = (ClassKey, QueueKey)> {
        self.classes
            .iter()
            .filter_map(|(class, waiting)| Some((*class, waiting.queue.first()?)))
    }

    /// Returns the last sub-request of each waiting class.
    pub(crate) fn last_per_class(&self) -> impl Iterator<Item = (ClassKey, QueueKey)> {
        self.classes
            .iter()
            .filter_map(|(class, waiting)| Some((*class, waiting.queue.last()?)))
    }

    pub(crate) fn last_of(&self, class: ClassKey) -> Option<QueueKey> {
        self.classes.get(&class)?.queue.last()
    }

    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether sub-requests of other classes wait.
    pub(crate) fn other_classes_wait(&self, class: ClassKey) -> bool {
        self.len > self.classes.get(&class).map_or(0, |it| it.queue.len())
    }

    /// Returns the number of sub-requests of the same class that start before `request`.
    pub(crate) fn rank(&self, request: &SubRequest) -> usize {
        self.rank_of(request.class, queue_key(request))
    }

    pub(crate) fn rank_of(&self, class: ClassKey, key: QueueKey) -> usize {
        self.classes.get(&class).map_or(0, |it| it.queue.rank(key))
    }

    /// Returns the expected number of sub-requests of all classes that start before a
    /// sub-request of `class` which `rank` others of its class precede.
    pub(crate) fn expected_starts_before(
        &self,
        class: ClassKey,
        weight: u32,
        rank: usize,
    ) -> usize {
        let others = self.classes.iter().filter(|(other, _)| **other != class);
        let weight = weight.max(1) as usize;
        let ahead = others.map(|(_, it)| {
            let share = ((rank + 1) * it.weight as usize).div_ceil(weight);
            it.queue.len().min(share)
        });
        rank + ahead.sum::<usize>()
    }
}
