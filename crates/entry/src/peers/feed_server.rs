//! Streams changes of the store from a node that reads it to its followers.

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

use crate::peers::feed_protocol::FeedMessage;
use crate::peers::feed_protocol::Revisions;
use crate::process::node_state::NodeState;
use crate::process::node_state::Phase;
use crate::store::collection_view::CollectionView;
use crate::store::collection_views::CollectionViews;

/// Heartbeats sent within the silence limit, the time for which a follower waits for a message.
const HEARTBEATS_PER_LIMIT: u32 = 3;

/// Checks within the silence limit of whether a pending heartbeat may be sent: a follower waits
/// only a part of the limit for its first one.
const PENDING_CHECKS_PER_LIMIT: u32 = 40;

/// Why a node refuses to stream changes to a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FeedRefusal {
    /// The node is stopping, or follows a peer itself.
    NotReading,
    /// The node reads the store, but the store is unavailable to it.
    StoreUnavailable,
}

/// Streams changes to a follower from the given revisions on. The first messages hold the
/// changes since then, or a snapshot of a collection whose changes are no longer kept.
pub(crate) fn open(
    shared: &Rc<NodeState>,
    views: &CollectionViews,
    revisions: &Revisions,
) -> Result<impl Stream<Item = FeedMessage> + use<>, FeedRefusal> {
    // A node with other settings watches other collections.
    if !serves_from_store(shared) || revisions.len() != views.len() {
        return Err(FeedRefusal::NotReading);
    }
    if !is_healthy(shared, views) {
        return Err(FeedRefusal::StoreUnavailable);
    }
    let newest_era = revisions
        .iter()
        .flatten()
        .map(|revision| revision.era)
        .max();
    if newest_era > Some(shared.feed.era()) {
        // The store was restored from a copy, which this node has not noticed yet.
        shared.feed.health_check_due.notify_one();
        return Err(FeedRefusal::StoreUnavailable);
    }
    // Without followers, the next health check may be later than the silence limit.
    let is_first = !shared.feed.has_followers();
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
    let mut ticks = time::interval(limit / HEARTBEATS_PER_LIMIT);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let feed = FollowerStream {
        backlog,
        opened_us: shared.clock.now_us(),
        receiver: shared.feed.subscribe(),
        shared: shared.clone(),
        ticks,
        views: views.clone(),
    };
    // The first heartbeat needs a recent health check.
    let checked_long_ago = |age_us| age_us > limit.as_micros() as u64 / 2;
    if is_first || health_check_age_us(shared).is_none_or(checked_long_ago) {
        shared.feed.health_check_due.notify_one();
    }
    Ok(stream::unfold(feed, |mut feed| async move {
        let message = feed.next().await?;
        Some((message, feed))
    }))
}

/// Returns how long a follower waits for a message before it stops following. It must notice a
/// lost source within the shortest time in which a change must be in force.
pub(crate) fn silence_limit(shared: &NodeState) -> Duration {
    let settings = &shared.settings;
    let bound_ms = settings
        .drain_ms
        .min(settings.config_apply_ms)
        .min(settings.evacuation_ms);
    Duration::from_millis(silence_limit_ms(bound_ms))
}

/// Returns whether the node reads the store and isn't stopping.
fn serves_from_store(shared: &NodeState) -> bool {
    shared.feed.reads_store() && shared.phase() == Phase::Serving
}

/// Returns whether all collections have been read and the store answers calls and health
/// checks.
fn is_healthy(shared: &NodeState, views: &CollectionViews) -> bool {
    let healthy =
        |view: &Rc<CollectionView>| view.revision.get().is_some() && !view.is_unavailable();
    views.iter().all(healthy) && !shared.feed.is_store_outage_suspected()
}

/// Returns the age of the last health check that the store answered; `None` before the first.
fn health_check_age_us(shared: &NodeState) -> Option<u64> {
    let checked_us = shared.feed.store_health.borrow().answered_call_sent_us();
    checked_us.map(|at_us| shared.clock.now_us().saturating_sub(at_us))
}

/// Returns whether a collection must be listed again; until then its changes are unknown.
fn is_listing(views: &CollectionViews) -> bool {
    views.iter().any(|view| view.must_list())
}

/// Returns whether a copy waits for the call that confirms it, as its last watch was lost or made
/// before this node read the store.
fn is_unconfirmed(views: &CollectionViews) -> bool {
    views.iter().any(|view| view.catch_up_due.get())
}

/// Whether a heartbeat may be sent to a follower.
enum HeartbeatState {
    /// Not yet: a list, the confirmation of a copy, or the first health check since the follower
    /// connected, is pending.
    Pending,
    /// Yes: the store answered this long ago.
    Current { age_ms: u64 },
    /// No: the stream ends, and the follower must find another source.
    Ended,
}

/// The stream of changes to one follower.
struct FollowerStream {
    /// Messages that bring the follower up to date at the start.
    backlog: VecDeque<FeedMessage>,
    opened_us: u64,
    receiver: broadcast::Receiver<FeedMessage>,
    shared: Rc<NodeState>,
    ticks: Interval,
    views: CollectionViews,
}

impl FollowerStream {
    /// Returns the next message; `None` when the follower must find another source.
    async fn next(&mut self) -> Option<FeedMessage> {
        if let Some(message) = self.backlog.pop_front() {
            return Some(message);
        }
        loop {
            tokio::select! {
                biased;
                // Also ends the stream of a follower that is too far behind.
                message = self.receiver.recv() => return message.ok(),
                _ = self.ticks.tick() => match self.heartbeat_state() {
                    HeartbeatState::Pending => {
                        let limit = silence_limit(&self.shared);
                        self.ticks.reset_after(limit / PENDING_CHECKS_PER_LIMIT);
                    }
                    HeartbeatState::Current { age_ms } => {
                        let era = self.shared.feed.era();
                        return Some(FeedMessage::Heartbeat { age_ms, era });
                    }
                    HeartbeatState::Ended => return None,
                }
            }
        }
    }

    fn heartbeat_state(&self) -> HeartbeatState {
        let shared = &self.shared;
        if !serves_from_store(shared) || !is_healthy(shared, &self.views) {
            return HeartbeatState::Ended;
        }
        if is_listing(&self.views) {
            return HeartbeatState::Pending;
        }
        let now_us = shared.clock.now_us();
        let limit_us = silence_limit(shared).as_micros() as u64;
        if is_unconfirmed(&self.views) {
            // A follower that is told at once has time to find another source.
            return if now_us < self.opened_us + limit_us {
                HeartbeatState::Pending
            } else {
                HeartbeatState::Ended
            };
        }
        match health_check_age_us(shared).filter(|age_us| *age_us < limit_us) {
            Some(age_us) => HeartbeatState::Current {
                age_ms: age_us / 1_000,
            },
            None if now_us < self.opened_us + limit_us => HeartbeatState::Pending,
            None => HeartbeatState::Ended,
        }
    }
}
