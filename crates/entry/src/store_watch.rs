use std::future;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::Freshness;
use wigeonhall_adapter::decode_changes;
use wigeonhall_adapter::decode_listing;
use wigeonhall_adapter::list_path;
use wigeonhall_adapter::watch_path;
use wigeonhall_dispatch::ChangeBatch;
use wigeonhall_dispatch::watch_pause_ms;

use crate::change_feed::ChangeSource;
use crate::collection_view::CollectionView;
use crate::store_call::CallPurpose;
use crate::store_call::StoreCall;
use crate::store_client::StoreClient;
use crate::store_client::StoreError;

/// Longest wait of one watch; each watch that ends is a call that is paid for. Followers
/// go on from the revision of the last one, which must not be older than the history.
const WATCH_WAIT: Duration = Duration::from_secs(15);

/// Time between two looks whether the store is known to answer.
const DOUBT_LOOK: Duration = Duration::from_millis(50);

/// Longest time for which calls wait for an answer to a look.
const DOUBT_MAX: Duration = Duration::from_secs(4);

/// The same for a node that may follow another one: readers find out whether the store
/// answers calls although it answers no looks.
const DOUBT_MAX_FOLLOWER: Duration = Duration::from_secs(10);

/// Wait of a watch that is to return what is new at once, in milliseconds.
const WATCH_WAIT_HURRIED_MS: u64 = 1;

/// Time beyond the wait after which a watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_secs(3);

/// Longest time for a list.
const LIST_TIMEOUT: Duration = Duration::from_secs(4);

/// Time between two looks whether the replicas were read after an outage.
const REPLICAS_FIRST_LOOK: Duration = Duration::from_millis(100);

/// Looks after which the configuration is read all the same.
const REPLICAS_FIRST_LOOKS: u32 = 12;

/// Pause after a failed call, doubled with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(125);

/// Time after an outage in which a node that may follow another one does not call.
const READERS_CATCH_UP: Duration = Duration::from_millis(500);

/// Longest pause after failed calls.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Reads one collection and follows its changes until the process ends, as long as no
/// other node passes them on.
pub(crate) async fn follow(view: Rc<CollectionView>) {
    let mut source = view.shared.feed.source();
    let mut reissued = view.shared.feed.outage_began_us.subscribe();
    let mut follower = Follower {
        client: StoreClient::new(&view.shared),
        failures: 0,
        freshness: Freshness::Stale,
        readers_waited_for: false,
        view,
    };
    loop {
        let current = *source.borrow_and_update();
        let due = match current {
            ChangeSource::Node | ChangeSource::Undecided => false,
            ChangeSource::Store => true,
        };
        tokio::select! {
            () = follower.step(), if due => {}
            // A look at what is new may be due now.
            _ = reissued.changed(), if !due => {}
            changed = source.changed() => {
                if changed.is_err() {
                    return;
                }
                // A call that waits for an answer is of no use any more.
                follower.client.disconnect();
            }
        }
    }
}

/// Waits until a watch that was sent at a time may have been lost in an outage.
async fn lost_in_outage(mut outage_began_us: watch::Receiver<u64>, sent_us: u64) {
    while outage_began_us.changed().await.is_ok() {
        if *outage_began_us.borrow_and_update() <= sent_us {
            return;
        }
    }
    future::pending::<()>().await;
}

struct Follower {
    client: StoreClient,
    /// Failed calls in a row while the store answered looks.
    failures: u32,
    /// A stale list will do as long as a watch can go on from its revision.
    freshness: Freshness,
    /// Whether readers had their time to catch up after the current outage.
    readers_waited_for: bool,
    view: Rc<CollectionView>,
}

impl Follower {
    async fn step(&mut self) {
        self.wait_for_store().await;
        self.let_replicas_go_first().await;
        let result = match self.view.revision.get() {
            Some(revision) if !self.view.list_due.get() => self.watch(revision).await,
            Some(_) | None => self.list().await,
        };
        match result {
            Ok(changes) => {
                self.failures = 0;
                self.readers_waited_for = false;
                if let Some(lost_at_us) = self.view.regained() {
                    let shared = &self.view.shared;
                    let now_us = shared.clock.now_us();
                    shared.feed.outage_ended(now_us, lost_at_us);
                    let mut peers = shared.peers.borrow_mut();
                    let own_name = peers.own().name.clone();
                    peers.followed(&own_name);
                }
                let pause_ms = watch_pause_ms(changes, self.bound_ms());
                time::sleep(Duration::from_millis(pause_ms)).await;
            }
            Err(StoreError::HistoryGone) => {
                self.view.list_due.set(true);
                self.freshness = Freshness::Current;
            }
            Err(error) => self.failed(&error),
        }
    }

    /// Waits while it is not known whether the store answers; longer after calls that it
    /// refused although it answers looks. A node that may follow another one gives the
    /// readers time to catch up first.
    async fn wait_for_store(&mut self) {
        let shared = self.view.shared.clone();
        let answers = async {
            while shared.feed.store_in_doubt() {
                time::sleep(DOUBT_LOOK).await;
            }
        };
        let limit = if shared.feed.may_follow.get() {
            DOUBT_MAX_FOLLOWER
        } else {
            DOUBT_MAX
        };
        if time::timeout(limit, answers).await.is_err() {
            log::debug!("the store answers no look; calling it all the same");
            self.failures = 0;
        }
        if let Some(doublings) = self.failures.checked_sub(1) {
            let pause = (RETRY_PAUSE * (1 << doublings.min(4))).min(RETRY_PAUSE_MAX);
            time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
        }
        if self.view.is_lost() && shared.feed.may_follow.get() && !self.readers_waited_for {
            self.readers_waited_for = true;
            time::sleep(READERS_CATCH_UP).await;
        }
    }

    /// After an outage the replicas are read before the configuration: a version that
    /// names services of which no replica is known yet serves nobody.
    async fn let_replicas_go_first(&self) {
        let recovering = self.view.is_lost();
        if self.view.collection != Collection::Configuration || !recovering {
            return;
        }
        for _ in 0..REPLICAS_FIRST_LOOKS {
            if !self.view.shared.replicas_lost.get() {
                return;
            }
            time::sleep(REPLICAS_FIRST_LOOK).await;
        }
    }

    /// Reads the whole collection; a watch goes on from it without a pause.
    async fn list(&mut self) -> Result<usize, StoreError> {
        let mut objects = Vec::new();
        let mut after: Option<Arc<str>> = None;
        let call = self.call(match self.freshness {
            Freshness::Current => CallPurpose::List,
            Freshness::Stale => CallPurpose::StaleList,
        });
        let revision = loop {
            let path = list_path(self.view.collection, after.as_deref(), self.freshness);
            let body = self.client.get(call, &path, LIST_TIMEOUT).await?;
            let page = decode_listing(&body).map_err(StoreError::Decode)?;
            after = page.objects.last().map(|object| object.name.clone());
            objects.extend(page.objects);
            if !page.more || after.is_none() {
                break page.revision;
            }
        };
        self.view.list(objects, revision);
        Ok(0)
    }

    /// Waits for changes and returns how many there were.
    async fn watch(&mut self, revision: u64) -> Result<usize, StoreError> {
        let (wait_ms, purpose) = if self.view.hurried.get() {
            (WATCH_WAIT_HURRIED_MS, CallPurpose::CatchUp)
        } else {
            (WATCH_WAIT.as_millis() as u64, CallPurpose::Watch)
        };
        let path = watch_path(self.view.collection, revision, wait_ms);
        let shared = &self.view.shared;
        let outages = shared.feed.outage_began_us.subscribe();
        let mut lost = pin!(lost_in_outage(outages, shared.clock.now_us()));
        let call = self.call(purpose);
        let call = self.client.get(call, &path, WATCH_WAIT + WATCH_SLACK);
        let body = tokio::select! {
            body = call => body?,
            () = &mut lost => {
                self.client.disconnect();
                return Ok(0);
            }
        };
        let news = decode_changes(&body).map_err(StoreError::Decode)?;
        let body = if news.changes.is_empty() {
            Bytes::new()
        } else {
            body
        };
        let batch = ChangeBatch {
            body,
            from: revision,
            to: news.revision,
        };
        self.view.take(&batch).map_err(StoreError::Decode)
    }

    fn failed(&mut self, error: &StoreError) {
        if matches!(error, StoreError::Decode(_)) {
            self.view.list_due.set(true);
            self.freshness = Freshness::Current;
        }
        let shared = &self.view.shared;
        self.view.lost(&error.to_string());
        self.view.hurried.set(self.view.revision.get().is_some());
        shared.feed.doubt_store(shared.clock.now_us());
        self.failures += 1;
    }

    fn call(&self, purpose: CallPurpose) -> StoreCall {
        StoreCall {
            collection: self.view.collection,
            purpose,
        }
    }

    /// Time within which a change of the collection must be in force.
    fn bound_ms(&self) -> u64 {
        let settings = &self.view.shared.settings;
        match self.view.collection {
            Collection::Configuration => settings.config_apply_ms,
            Collection::Evacuations => settings.evacuation_ms,
            Collection::Nodes | Collection::Replicas => settings.drain_ms,
        }
    }
}
