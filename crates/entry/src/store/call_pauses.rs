//! Pauses before calls that list or watch a collection of the store.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use wigeonhall_adapter::Collection;

use crate::store::collection_view::CollectionView;
use crate::store::store_client::StoreError;

/// Longest wait of a call while an outage of the store is suspected.
const SUSPECTED_OUTAGE_WAIT_MAX: Duration = Duration::from_secs(4);

/// Longest wait of a call while an outage of the store is suspected, for a node that may follow
/// a peer; the readers find out whether the store answers calls although it fails health checks.
const SUSPECTED_OUTAGE_WAIT_MAX_FOLLOWER: Duration = Duration::from_secs(10);

/// Interval between checks whether the replicas were read after an outage.
const REPLICAS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks after which the configuration is read anyway.
const REPLICAS_CHECKS_MAX: u32 = 12;

/// Mean pause after a failed call; doubles with each further failure.
const RETRY_PAUSE: Duration = Duration::from_millis(125);

/// Time after an outage in which a node that may follow a peer makes no calls, so that the readers
/// read the changes made in the outage first.
const CALL_DELAY_AFTER_OUTAGE: Duration = Duration::from_millis(500);

/// Upper bound of the mean pause after failed calls.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Pauses before the calls for one collection: while an outage of the store is suspected, after
/// failures, and in favour of what must be read first.
pub(super) struct CallPauses {
    /// Consecutive failed calls while the store passed health checks.
    failures: u32,
    view: Rc<CollectionView>,
    /// Whether this node already waited for the readers after the current outage.
    waited_for_readers: bool,
    /// Whether the last failed call failed because of a disturbance, and not because of its
    /// response.
    was_disturbed: bool,
}

impl CallPauses {
    pub(super) const fn new(view: Rc<CollectionView>) -> Self {
        Self {
            failures: 0,
            view,
            waited_for_readers: false,
            was_disturbed: false,
        }
    }

    pub(super) const fn record_success(&mut self) {
        self.failures = 0;
        self.waited_for_readers = false;
    }

    pub(super) fn record_failure(&mut self, error: &StoreError) {
        self.failures += 1;
        self.was_disturbed = error.shows_disturbance();
    }

    /// Waits until the next call may be made.
    pub(super) async fn wait_before_call(&mut self) {
        self.wait_for_store().await;
        self.back_off().await;
        self.wait_for_readers().await;
        self.wait_for_replicas().await;
    }

    /// Waits while an outage of the store is suspected.
    async fn wait_for_store(&mut self) {
        let feed = &self.view.shared.feed;
        let limit = if feed.may_follow.get() {
            SUSPECTED_OUTAGE_WAIT_MAX_FOLLOWER
        } else {
            SUSPECTED_OUTAGE_WAIT_MAX
        };
        if !feed.wait_for_store(limit).await {
            self.failures = 0;
        }
    }

    /// Backs off after calls that failed although the store passed health checks.
    async fn back_off(&self) {
        let Some(doublings) = self.failures.checked_sub(1) else {
            return;
        };
        let pause = (RETRY_PAUSE * (1 << doublings.min(4))).min(RETRY_PAUSE_MAX);
        let pause = vary(pause);
        if self.was_disturbed {
            self.put_off(pause).await;
        } else {
            time::sleep(pause).await;
        }
    }

    /// After an outage, gives the readers time to catch up if this node may follow one.
    async fn wait_for_readers(&mut self) {
        let may_follow = self.view.shared.feed.may_follow.get();
        if self.view.is_unavailable() && may_follow && !self.waited_for_readers {
            self.waited_for_readers = true;
            self.put_off(CALL_DELAY_AFTER_OUTAGE).await;
        }
    }

    /// After an outage, delays reading the configuration until the replicas are read: a version
    /// that names services without a known replica can't serve callers.
    async fn wait_for_replicas(&self) {
        let recovering = self.view.is_unavailable();
        if self.view.collection != Collection::Configuration || !recovering {
            return;
        }
        for _ in 0..REPLICAS_CHECKS_MAX {
            if !self.view.shared.replicas_unavailable.get() {
                return;
            }
            self.put_off(REPLICAS_CHECK_INTERVAL).await;
        }
    }

    /// Waits before a call, but no longer than changes made in the last disturbance allow.
    async fn put_off(&self, wait: Duration) {
        let shared = &self.view.shared;
        let now_us = shared.clock.now_us();
        let slack_us = shared.feed.store_health.borrow().read_slack_us(now_us);
        time::sleep(wait.min(Duration::from_micros(slack_us))).await;
    }
}

/// Waits after the end of a watch that had waited for changes: the store may have cut off the
/// watches of all nodes, which must not reconnect at the same moment.
pub(super) async fn wait_after_lost_watch() {
    time::sleep(vary(RETRY_PAUSE)).await;
}

/// Varies a pause by half of it, so that nodes do not call at the same moment.
fn vary(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + fastrand::f64())
}
