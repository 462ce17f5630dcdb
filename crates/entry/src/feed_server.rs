use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use futures::Stream;
use futures::stream;
use tokio::sync::broadcast;
use tokio::time;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;

use wigeonhall_dispatch::silence_limit_ms;

use crate::collection_view::CollectionView;
use crate::feed_protocol::FeedMessage;
use crate::feed_protocol::Revisions;
use crate::node_state::NodeState;
use crate::node_state::Phase;
use crate::views::Views;

/// Messages that vouch for the state within the silence limit.
const ALIVE_PER_LIMIT: u32 = 3;

/// Why a node passes no changes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FeedRefusal {
    /// The node stops, or follows another one.
    NotReading,
    /// The node reads the store, which does not answer it at the moment.
    StoreAway,
}

/// Passes changes on from the given revisions. The first messages hold what is newer, or
/// the whole of a collection where the changes are not held any more.
pub(crate) fn open(
    shared: &Rc<NodeState>,
    views: &Views,
    revisions: &Revisions,
) -> Result<impl Stream<Item = FeedMessage> + use<>, FeedRefusal> {
    if !reads(shared) {
        return Err(FeedRefusal::NotReading);
    }
    if !is_sound(shared, views) {
        return Err(FeedRefusal::StoreAway);
    }
    let mut backlog = VecDeque::new();
    for (view, revision) in views.iter().zip(revisions) {
        let newer = revision.and_then(|revision| view.log.borrow().since(revision));
        match newer {
            Some(batches) => {
                let message = |batch| FeedMessage::Batch(view.collection, batch);
                backlog.extend(batches.into_iter().map(message));
            }
            None => backlog.extend(view.snapshot()),
        }
    }
    let limit = silence_limit(shared);
    let mut ticks = time::interval(limit / ALIVE_PER_LIMIT);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let feed = Feed {
        backlog,
        opened_us: shared.clock.now_us(),
        receiver: shared.feed.subscribe(),
        shared: shared.clone(),
        ticks,
        views: views.clone(),
    };
    if answer_age_us(shared).is_none_or(|age_us| age_us > limit.as_micros() as u64 / 2) {
        shared.feed.look_due.notify_one();
    }
    Ok(stream::unfold(feed, |mut feed| async move {
        let message = feed.next().await?;
        Some((message, feed))
    }))
}

/// How long a node may hear nothing from the one that it follows.
pub(crate) fn silence_limit(shared: &NodeState) -> Duration {
    let settings = &shared.settings;
    let bound_ms = settings
        .drain_ms
        .min(settings.config_apply_ms)
        .min(settings.evacuation_ms);
    Duration::from_millis(silence_limit_ms(bound_ms))
}

/// Whether the node is one that reads the store.
fn reads(shared: &NodeState) -> bool {
    shared.feed.reads_store() && shared.phase() == Phase::Serving
}

/// Whether all collections are known, and the store answers calls and looks.
fn is_sound(shared: &NodeState, views: &Views) -> bool {
    let sound = |view: &Rc<CollectionView>| view.revision.get().is_some() && !view.is_lost();
    views.iter().all(sound) && !shared.feed.store_in_doubt()
}

/// Age of the newest answer of the store to a look; `None` before the first one.
fn answer_age_us(shared: &NodeState) -> Option<u64> {
    let answered_us = shared.feed.store_health.borrow().answered_us();
    answered_us.map(|at_us| shared.clock.now_us().saturating_sub(at_us))
}

/// Whether a collection has to be read as a whole, so that changes are not known.
fn is_listing(views: &Views) -> bool {
    views.iter().any(|view| view.list_due.get())
}

/// Whether a node may vouch for what it passed on.
enum Standing {
    /// The store's first answer since the follower came is awaited, or a whole list.
    Awaited,
    /// The store answered this long ago.
    Current { age_ms: u64 },
    /// The follower must read the store by itself.
    Ended,
}

/// Changes for one node that follows this one.
struct Feed {
    /// What the follower lacked at the beginning.
    backlog: VecDeque<FeedMessage>,
    opened_us: u64,
    receiver: broadcast::Receiver<FeedMessage>,
    shared: Rc<NodeState>,
    ticks: Interval,
    views: Views,
}

impl Feed {
    /// The next message; `None` when the follower must read the store by itself.
    async fn next(&mut self) -> Option<FeedMessage> {
        if let Some(message) = self.backlog.pop_front() {
            return Some(message);
        }
        loop {
            tokio::select! {
                biased;
                // A follower that is too far behind ends here, too.
                message = self.receiver.recv() => return message.ok(),
                _ = self.ticks.tick() => match self.standing() {
                    Standing::Awaited => {}
                    Standing::Current { age_ms } => return Some(FeedMessage::Alive { age_ms }),
                    Standing::Ended => return None,
                }
            }
        }
    }

    fn standing(&self) -> Standing {
        let shared = &self.shared;
        if !reads(shared) || !is_sound(shared, &self.views) {
            return Standing::Ended;
        }
        if is_listing(&self.views) {
            return Standing::Awaited;
        }
        let now_us = shared.clock.now_us();
        let limit_us = silence_limit(shared).as_micros() as u64;
        match answer_age_us(shared).filter(|age_us| *age_us < limit_us) {
            Some(age_us) => Standing::Current {
                age_ms: age_us / 1_000,
            },
            None if now_us < self.opened_us + limit_us => Standing::Awaited,
            None => Standing::Ended,
        }
    }
}
