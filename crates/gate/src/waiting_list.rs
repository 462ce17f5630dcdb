use std::collections::BTreeMap;

use crate::ranked_queue::RankKey;
use crate::ranked_queue::RankedQueue;
use crate::ranked_queue::rank_key;
use wigeonhall_types::ClassKey;
use wigeonhall_types::SubRequest;

/// Virtual time that one start costs a class of weight 1.
const START_COST: u64 = 1 << 20;

/// Waiting sub-requests of one class.
#[derive(Debug, Default)]
struct ClassQueue {
    queue: RankedQueue,
    /// Virtual time at which the class may start its next sub-request.
    start_tag: u64,
    weight: u32,
}

/// Sub-requests that wait for a slot of one replica.
///
/// Weighted fair between classes (start-time fair queueing), earliest deadline
/// first within a class.
#[derive(Debug, Default)]
pub(crate) struct WaitingList {
    classes: BTreeMap<ClassKey, ClassQueue>,
    /// Sum over the classes.
    len: usize,
    /// Start tag of the latest start.
    virtual_time: u64,
}

impl WaitingList {
    /// Adds a sub-request; `weight` is that of its class.
    pub(crate) fn insert(&mut self, request: SubRequest, weight: u32) {
        let class = self.classes.entry(request.class).or_default();
        class.weight = weight.max(1);
        if class.queue.len() == 0 {
            class.start_tag = class.start_tag.max(self.virtual_time);
        }
        class.queue.insert(request);
        self.len += 1;
    }

    /// Removes a sub-request that does not start.
    pub(crate) fn remove(&mut self, class: ClassKey, key: RankKey) -> Option<SubRequest> {
        let request = self.classes.get_mut(&class)?.queue.remove(key)?;
        self.len -= 1;
        Some(request)
    }

    /// Removes any one sub-request.
    pub(crate) fn pop_any(&mut self) -> Option<SubRequest> {
        let (class, key) = self.heads().next()?;
        self.remove(class, key)
    }

    /// Removes the sub-request that starts next, of the classes that `may_start`.
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
        waiting.start_tag += START_COST / u64::from(waiting.weight);
        self.remove(class, key)
    }

    /// First sub-request of each class.
    pub(crate) fn heads(&self) -> impl Iterator<Item = (ClassKey, RankKey)> {
        self.classes
            .iter()
            .filter_map(|(class, waiting)| Some((*class, waiting.queue.first()?)))
    }

    /// Last sub-request of each class.
    pub(crate) fn tails(&self) -> impl Iterator<Item = (ClassKey, RankKey)> {
        self.classes
            .iter()
            .filter_map(|(class, waiting)| Some((*class, waiting.queue.last()?)))
    }

    pub(crate) fn last(&self, class: ClassKey) -> Option<RankKey> {
        self.classes.get(&class)?.queue.last()
    }

    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    /// Whether a class other than `class` waits.
    pub(crate) fn others_wait(&self, class: ClassKey) -> bool {
        self.len > self.classes.get(&class).map_or(0, |it| it.queue.len())
    }

    /// Sub-requests of the same class that start before `request`.
    pub(crate) fn rank(&self, request: &SubRequest) -> usize {
        self.rank_of(request.class, rank_key(request))
    }

    pub(crate) fn rank_of(&self, class: ClassKey, key: RankKey) -> usize {
        self.classes.get(&class).map_or(0, |it| it.queue.rank(key))
    }

    /// Expected number of sub-requests of all classes that start before one of
    /// `class` that `rank` others of its class precede.
    pub(crate) fn ahead(&self, class: ClassKey, weight: u32, rank: usize) -> usize {
        let others = self.classes.iter().filter(|(other, _)| **other != class);
        let weight = weight.max(1) as usize;
        let ahead = others.map(|(_, it)| {
            let share = ((rank + 1) * it.weight as usize).div_ceil(weight);
            it.queue.len().min(share)
        });
        rank + ahead.sum::<usize>()
    }
}
