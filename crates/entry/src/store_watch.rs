use std::cell::RefCell;
use std::collections::BTreeSet;
use std::future;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::Freshness;
use wigeonhall_adapter::decode_changes;
use wigeonhall_adapter::decode_listing;
use wigeonhall_adapter::list_path;
use wigeonhall_adapter::watch_path;
use wigeonhall_dispatch::watch_pause_ms;

use crate::event::Event;
use crate::node_state::NodeState;
use crate::store_client::StoreClient;
use crate::store_client::StoreError;

/// Longest wait of one watch; each watch that ends is a call that is paid for.
const WATCH_WAIT: Duration = Duration::from_secs(28);

/// Time beyond the wait after which a watch counts as lost.
const WATCH_SLACK: Duration = Duration::from_secs(3);

/// Longest time for a list.
const LIST_TIMEOUT: Duration = Duration::from_secs(4);

/// Time between two looks whether the replicas were read after an outage.
const REPLICAS_FIRST_LOOK: Duration = Duration::from_millis(100);

/// Looks after which the configuration is read all the same.
const REPLICAS_FIRST_LOOKS: u32 = 12;

/// Pause after a failed call, doubled with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after failed calls.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Reads one collection and follows its changes until the process ends.
pub(crate) async fn follow(shared: Rc<NodeState>, collection: Collection) {
    let mut follower = Follower {
        client: StoreClient::new(shared.settings.store_address),
        collection,
        evacuated: RefCell::default(),
        failures: 0,
        freshness: Freshness::Stale,
        lost_at_us: None,
        revision: None,
        shared,
    };
    loop {
        follower.step().await;
    }
}

/// Waits for the end of an outage of the store.
async fn ended_outage(mut outages: watch::Receiver<u64>) {
    if outages.changed().await.is_err() {
        future::pending::<()>().await;
    }
}

pub(crate) struct Follower {
    client: StoreClient,
    pub(crate) collection: Collection,
    pub(crate) evacuated: RefCell<BTreeSet<Arc<str>>>,
    /// Failed calls in a row.
    failures: u32,
    /// A stale list will do as long as a watch can go on from its revision.
    freshness: Freshness,
    /// Time of the first failed call of an outage.
    pub(crate) lost_at_us: Option<u64>,
    /// Revision to continue from; `None` before a list.
    revision: Option<u64>,
    pub(crate) shared: Rc<NodeState>,
}

impl Follower {
    async fn step(&mut self) {
        self.let_replicas_go_first().await;
        let result = match self.revision {
            Some(revision) => self.watch(revision).await,
            None => self.list().await,
        };
        match result {
            Ok(changes) => {
                self.regained();
                let pause_ms = watch_pause_ms(changes, self.bound_ms());
                time::sleep(Duration::from_millis(pause_ms)).await;
            }
            Err(StoreError::HistoryGone) => {
                self.count("history_gone");
                self.revision = None;
                self.freshness = Freshness::Current;
            }
            Err(error) => self.failed(&error).await,
        }
    }

    /// After an outage the replicas are read before the configuration: a version that
    /// names services of which no replica is known yet serves nobody.
    async fn let_replicas_go_first(&self) {
        let recovering = self.lost_at_us.is_some();
        if self.collection != Collection::Configuration || !recovering {
            return;
        }
        for _ in 0..REPLICAS_FIRST_LOOKS {
            if !self.shared.replicas_lost.get() {
                return;
            }
            time::sleep(REPLICAS_FIRST_LOOK).await;
        }
    }

    /// Reads the whole collection; a watch goes on from it without a pause.
    async fn list(&mut self) -> Result<usize, StoreError> {
        let mut objects = Vec::new();
        let mut after: Option<Arc<str>> = None;
        let revision = loop {
            let path = list_path(self.collection, after.as_deref(), self.freshness);
            let body = self.client.get(&path, LIST_TIMEOUT).await?;
            self.count("list");
            let page = decode_listing(&body).map_err(StoreError::Decode)?;
            after = page.objects.last().map(|object| object.name.clone());
            objects.extend(page.objects);
            if !page.more || after.is_none() {
                break page.revision;
            }
        };
        self.replace(objects, revision);
        self.revision = Some(revision);
        Ok(0)
    }

    /// Waits for changes and returns how many there were.
    async fn watch(&mut self, revision: u64) -> Result<usize, StoreError> {
        let wait_ms = WATCH_WAIT.as_millis() as u64;
        let path = watch_path(self.collection, revision, wait_ms);
        let outages = self.shared.store_outages.subscribe();
        let mut outages = pin!(ended_outage(outages));
        let call = self.client.get(&path, WATCH_WAIT + WATCH_SLACK);
        let body = tokio::select! {
            body = call => body?,
            () = &mut outages => {
                self.client.disconnect();
                self.count("reissued");
                return Ok(0);
            }
        };
        self.count("watch");
        let news = decode_changes(&body).map_err(StoreError::Decode)?;
        let changes = news.changes.len();
        self.apply(news.changes, news.revision);
        self.revision = Some(news.revision);
        Ok(changes)
    }

    async fn failed(&mut self, error: &StoreError) {
        self.count("failed");
        if matches!(error, StoreError::Decode(_)) {
            self.revision = None;
        }
        let now_us = self.shared.clock.now_us();
        if self.collection == Collection::Replicas {
            self.shared.replicas_lost.set(true);
        }
        if self.lost_at_us.is_none() {
            self.lost_at_us = Some(now_us);
            self.shared.log(&Event::Dependency {
                name: self.collection.wire_name(),
                reason: &error.to_string(),
                state: "lost",
            });
        }
        let pause = RETRY_PAUSE * (1 << self.failures.min(3));
        self.failures += 1;
        let spread = 0.5 + fastrand::f64();
        time::sleep(pause.min(RETRY_PAUSE_MAX).mul_f64(spread)).await;
    }

    fn regained(&mut self) {
        self.failures = 0;
        let now_us = self.shared.clock.now_us();
        if self.collection == Collection::Replicas {
            self.shared.replicas_lost.set(false);
            self.shared.replicas_heard_us.set(Some(now_us));
        }
        if let Some(lost_at_us) = self.lost_at_us.take() {
            let reason = format!("away for {} ms", (now_us - lost_at_us) / 1_000);
            self.shared.log(&Event::Dependency {
                name: self.collection.wire_name(),
                reason: &reason,
                state: "back",
            });
            self.shared.store_sentinel_due.notify_one();
        }
    }

    pub(crate) fn count(&self, outcome: &str) {
        let labels = [self.collection.wire_name(), outcome];
        self.shared
            .metrics
            .store_calls
            .with_label_values(&labels)
            .inc();
    }

    /// Time within which a change of the collection must be in force.
    fn bound_ms(&self) -> u64 {
        let settings = &self.shared.settings;
        match self.collection {
            Collection::Configuration => settings.config_apply_ms,
            Collection::Evacuations => settings.evacuation_ms,
            Collection::Nodes | Collection::Replicas => settings.drain_ms,
        }
    }
}
