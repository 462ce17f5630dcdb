use std::cell::Cell;
use std::cell::RefCell;

use tokio::sync::Notify;
use tokio::sync::broadcast;
use tokio::sync::watch;

use wigeonhall_adapter::Collection;
use wigeonhall_dispatch::ChangeBatch;
use wigeonhall_dispatch::StoreHealth;

use crate::feed_protocol::FeedMessage;

/// Messages that a follower may be behind before its stream ends.
const BEHIND_MAX: usize = 64;

/// From where a node learns of changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChangeSource {
    /// Another node passes changes on.
    Node,
    /// The node looks for another one to follow, and may read the store if it finds none.
    Undecided,
    /// The store.
    Store,
}

/// Changes on their way from the store to the nodes that follow this one.
#[derive(Debug)]
pub(crate) struct ChangeFeed {
    followers: broadcast::Sender<FeedMessage>,
    /// Asks the sentinel for a look at the store ahead of time.
    pub(crate) look_due: Notify,
    /// Whether the node would rather follow another one than read the store.
    pub(crate) may_follow: Cell<bool>,
    /// Whether the nodes of the tier were listed.
    pub(crate) nodes_listed: watch::Sender<bool>,
    /// Beginning of the newest outage of the store that has ended: watches that were sent
    /// after it are to be sent again.
    pub(crate) outage_began_us: watch::Sender<u64>,
    source: watch::Sender<ChangeSource>,
    /// Whether the store answers, by this node's looks or by those of the one it follows.
    pub(crate) store_health: RefCell<StoreHealth>,
}

impl Default for ChangeFeed {
    fn default() -> Self {
        Self {
            followers: broadcast::Sender::new(BEHIND_MAX),
            look_due: Notify::new(),
            may_follow: Cell::new(false),
            nodes_listed: watch::Sender::new(false),
            outage_began_us: watch::Sender::new(0),
            source: watch::Sender::new(ChangeSource::Undecided),
            store_health: RefCell::default(),
        }
    }
}

impl ChangeFeed {
    pub(crate) fn source(&self) -> watch::Receiver<ChangeSource> {
        self.source.subscribe()
    }

    pub(crate) fn reads_store(&self) -> bool {
        *self.source.borrow() == ChangeSource::Store
    }

    /// Whether another node passes changes on.
    pub(crate) fn follows(&self) -> bool {
        *self.source.borrow() == ChangeSource::Node
    }

    /// Sets the source; returns whether it was another one.
    pub(crate) fn set_source(&self, source: ChangeSource) -> bool {
        self.source.send_if_modified(|current| {
            let changed = *current != source;
            *current = source;
            changed
        })
    }

    pub(crate) fn publish(&self, collection: Collection, batch: &ChangeBatch) {
        if self.has_followers() {
            let batch = batch.clone();
            // Fails only when the last follower has just left.
            drop(self.followers.send(FeedMessage::Batch(collection, batch)));
        }
    }

    pub(crate) fn subscribe(&self) -> broadcast::Receiver<FeedMessage> {
        self.followers.subscribe()
    }

    pub(crate) fn has_followers(&self) -> bool {
        self.followers.receiver_count() > 0
    }

    /// Lets calls wait until the store has answered a look: during an outage, one cheap look
    /// takes the place of a call for each collection.
    pub(crate) fn doubt_store(&self, now_us: u64) {
        self.store_health.borrow_mut().doubt(now_us);
        self.look_due.notify_one();
    }

    pub(crate) fn store_in_doubt(&self) -> bool {
        self.store_health.borrow().in_doubt()
    }

    /// Reports once that an outage of the store has ended.
    pub(crate) fn outage_ended(&self, now_us: u64, began_us: u64) {
        let mut health = self.store_health.borrow_mut();
        if health.outage_ended(now_us, began_us) {
            self.outage_began_us.send_replace(began_us);
        }
    }
}
