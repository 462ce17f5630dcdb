use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::broadcast;
use tokio::sync::watch;
use tokio::time;

use wigeonhall_adapter::Collection;
use wigeonhall_dispatch::ChangeBatch;
use wigeonhall_dispatch::StoreHealth;

use crate::peers::feed_protocol::FeedMessage;

/// Interval between checks whether an outage of the store is still suspected.
const SUSPECTED_OUTAGE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Messages queued for a follower; its stream ends when it falls further behind.
const FOLLOWER_QUEUE_MESSAGES: usize = 64;

/// The source from which a node receives changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChangeSource {
    /// A peer that reads the store.
    Node,
    /// None yet: the node searches for a peer to follow and reads the store if it finds none.
    Undecided,
    /// The store itself.
    Store,
}

/// Distributes changes from the store to the peers that follow this node, and holds the state
/// of this node's own source of changes.
#[derive(Debug)]
pub(crate) struct ChangeFeed {
    followers: broadcast::Sender<FeedMessage>,
    /// Requests a health check of the store ahead of schedule.
    pub(crate) health_check_due: Notify,
    /// Whether the node may follow a peer instead of reading the store.
    pub(crate) may_follow: Cell<bool>,
    /// Whether the nodes of the tier have been listed from the store.
    pub(crate) nodes_listed: watch::Sender<bool>,
    /// Start of the last outage of the store that has ended, published when it ends; watches
    /// sent since its start may be lost and are sent again.
    pub(crate) ended_outage_start_us: watch::Sender<u64>,
    source: watch::Sender<ChangeSource>,
    /// Newest known era of the store, which rises when the store is restored from a copy; copies of
    /// an earlier era must be read anew.
    pub(crate) store_era: watch::Sender<u64>,
    /// Health of the store, from this node's health checks or those of the peer it follows.
    pub(crate) store_health: RefCell<StoreHealth>,
}

impl ChangeFeed {
    /// Creates the state of a node that starts.
    pub(crate) fn new(store_health: StoreHealth) -> Self {
        Self {
            followers: broadcast::Sender::new(FOLLOWER_QUEUE_MESSAGES),
            health_check_due: Notify::new(),
            may_follow: Cell::new(false),
            nodes_listed: watch::Sender::new(false),
            ended_outage_start_us: watch::Sender::new(0),
            source: watch::Sender::new(ChangeSource::Undecided),
            store_era: watch::Sender::new(0),
            store_health: RefCell::new(store_health),
        }
    }

    pub(crate) fn source(&self) -> watch::Receiver<ChangeSource> {
        self.source.subscribe()
    }

    pub(crate) fn reads_store(&self) -> bool {
        *self.source.borrow() == ChangeSource::Store
    }

    /// Whether the node receives changes from a peer.
    pub(crate) fn follows_peer(&self) -> bool {
        *self.source.borrow() == ChangeSource::Node
    }

    /// Sets the source; returns whether it changed.
    pub(crate) fn set_source(&self, source: ChangeSource) -> bool {
        self.source.send_if_modified(|current| {
            let changed = *current != source;
            *current = source;
            changed
        })
    }

    pub(crate) fn publish(&self, collection: Collection, batch: &ChangeBatch) {
        if self.has_followers() {
            self.publish_message(FeedMessage::Batch(collection, batch.clone()));
        }
    }

    pub(crate) fn publish_message(&self, message: FeedMessage) {
        // Fails only if the last follower has just disconnected.
        drop(self.followers.send(message));
    }

    /// Records the era that a response of the store or a message of a peer states; returns whether
    /// it is newer than the known one.
    pub(crate) fn observe_era(&self, era: u64) -> bool {
        self.store_era.send_if_modified(|known| {
            let newer = era > *known;
            *known = era.max(*known);
            newer
        })
    }

    pub(crate) fn era(&self) -> u64 {
        *self.store_era.borrow()
    }

    pub(crate) fn subscribe(&self) -> broadcast::Receiver<FeedMessage> {
        self.followers.subscribe()
    }

    pub(crate) fn has_followers(&self) -> bool {
        self.followers.receiver_count() > 0
    }

    /// Records that an outage of the store is suspected, so that calls wait until the store
    /// answers a health check: during an outage one cheap check replaces a call for each
    /// collection.
    pub(crate) fn suspect_store_outage(&self, now_us: u64) {
        self.store_health.borrow_mut().suspect_outage(now_us);
        self.health_check_due.notify_one();
    }

    pub(crate) fn is_store_outage_suspected(&self) -> bool {
        self.store_health.borrow().outage_suspected()
    }

    /// Waits while an outage of the store is suspected, but no longer than `limit`; returns whether
    /// none is suspected any more.
    pub(crate) async fn wait_for_store(&self, limit: Duration) -> bool {
        let outage_end = async {
            while self.is_store_outage_suspected() {
                time::sleep(SUSPECTED_OUTAGE_CHECK_INTERVAL).await;
            }
        };
        let available = time::timeout(limit, outage_end).await.is_ok();
        if !available {
            log::debug!("an outage of the store is still suspected; calling it anyway");
        }
        available
    }

    /// Announces the end of an outage of the store, once per outage.
    pub(crate) fn record_outage_end(&self, now_us: u64, began_us: u64) {
        let mut health = self.store_health.borrow_mut();
        if health.record_outage_end(now_us, began_us) {
            self.ended_outage_start_us.send_replace(began_us);
        }
    }
}
