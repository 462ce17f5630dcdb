//! Lists and watches the store's collections.
//!
//! Readers are the nodes that should read the store and stream its changes to the others; any
//! other node reads it only while it finds no peer to follow.

use std::future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::Freshness;
use wigeonhall_adapter::StoredObject;
use wigeonhall_adapter::encode_object_changes;
use wigeonhall_adapter::watch_path;
use wigeonhall_dispatch::ChangeBatch;
use wigeonhall_dispatch::StoreRevision;
use wigeonhall_dispatch::watch_pause_ms;
use wigeonhall_dispatch::watch_timeout_ms;
use wigeonhall_dispatch::watch_wait_ms;

use crate::peers::change_feed::ChangeSource;
use crate::store::call_pauses;
use crate::store::call_pauses::CallPauses;
use crate::store::collection_reader;
use crate::store::collection_reader::CATCH_UP_WAIT_MS;
use crate::store::collection_reader::CollectionReader;
use crate::store::collection_view::CollectionView;
use crate::store::received_changes::ReceivedChanges;
use crate::store::store_call::CallPurpose;
use crate::store::store_client::StoreError;

/// Time from which the end of a watch shows that it has waited: the changes of its response are
/// new, or the store has cut it off. A sooner response may hold changes made before the watch was
/// sent.
const WAITED_MIN_US: u64 = 500_000;

/// Lists and watches one collection until the process ends, whenever the node reads the store
/// itself.
pub(crate) async fn run(view: Rc<CollectionView>) {
    let mut source = view.shared.feed.source();
    let freshness = if view.shared.settings.first_start {
        Freshness::Stale
    } else {
        Freshness::Current
    };
    let mut ended_outages = view.shared.feed.ended_outage_start_us.subscribe();
    let mut watcher = StoreWatcher {
        reader: CollectionReader::new(view.clone(), freshness),
        pauses: CallPauses::new(view.clone()),
        view,
    };
    loop {
        let current = *source.borrow_and_update();
        let reads_store = match current {
            ChangeSource::Node | ChangeSource::Undecided => false,
            ChangeSource::Store => true,
        };
        tokio::select! {
            () = watcher.step(), if reads_store => {}
            // Checks the source again after an outage.
            _ = ended_outages.changed(), if !reads_store => {}
            changed = source.changed() => {
                if changed.is_err() {
                    return;
                }
                // The call in flight belongs to the previous source.
                watcher.reader.client.disconnect();
                // What this node received from a peer is confirmed by a call of its own.
                watcher.view.catch_up_due.set(watcher.view.revision.get().is_some());
            }
        }
    }
}

/// Waits until an outage ends in which a watch sent at `sent_us` may have been lost.
async fn wait_for_outage_end(mut ended_outage_start_us: watch::Receiver<u64>, sent_us: u64) {
    while ended_outage_start_us.changed().await.is_ok() {
        if *ended_outage_start_us.borrow_and_update() <= sent_us {
            return;
        }
    }
    future::pending::<()>().await;
}

struct StoreWatcher {
    reader: CollectionReader,
    pauses: CallPauses,
    view: Rc<CollectionView>,
}

impl StoreWatcher {
    async fn step(&mut self) {
        self.pauses.wait_before_call().await;
        let result = match self.view.revision.get() {
            Some(revision) if !self.view.must_list() => self.watch(revision).await,
            Some(_) | None => self.list().await,
        };
        match result {
            Ok(changes) => {
                self.pauses.record_success();
                if let Some(unavailable_since_us) = self.view.mark_available() {
                    let shared = &self.view.shared;
                    let now_us = shared.clock.now_us();
                    shared.feed.record_outage_end(now_us, unavailable_since_us);
                    let mut peers = shared.peers.borrow_mut();
                    let own_name = peers.own().name.clone();
                    peers.clear_reader_suspicion(&own_name);
                }
                let pause_ms = watch_pause_ms(changes, self.view.bound_ms());
                time::sleep(Duration::from_millis(pause_ms)).await;
            }
            Err(StoreError::HistoryGone | StoreError::TooManyChanges) => self.list_anew(),
            Err(error @ StoreError::ListExpired) => {
                self.list_anew();
                self.pauses.record_failure(&error);
            }
            // The next call, which returns at once, shows whether the store is available.
            Err(StoreError::WatchLost(reason)) => {
                log::warn!(
                    "a watch of {} ended: {reason}",
                    self.view.collection.wire_name()
                );
                self.view.catch_up_due.set(true);
                call_pauses::wait_after_lost_watch().await;
            }
            // A list that is not stale either must not be repeated without a pause.
            Err(StoreError::OtherEra) if !self.view.list_due.get() => self.list_anew(),
            Err(error) => self.handle_failure(&error),
        }
    }

    fn list_anew(&mut self) {
        self.view.list_due.set(true);
        // A stale list may be of before what made this one necessary.
        self.reader.freshness = Freshness::Current;
    }

    /// Lists the whole collection. Returns 0 changes, so that the next watch follows without a
    /// pause.
    async fn list(&mut self) -> Result<usize, StoreError> {
        let began_us = self.view.shared.clock.now_us();
        let view = self.view.clone();
        let formerly_left_out = view.left_out.replace(false);
        let keeps = |object: &StoredObject, held_bytes| view.keeps(object, held_bytes);
        let read = self.reader.read_list(&keeps).await.inspect_err(|_| {
            view.left_out.set(formerly_left_out);
        })?;
        self.reader.freshness = Freshness::Current;
        let mut list = read.list;
        list.keep_unlisted(&self.view.objects.borrow());
        let revision = StoreRevision {
            era: read.era,
            number: list.revision(),
        };
        let malformed = &self.view.malformed;
        malformed.report_items(&self.view.shared, list.malformed());
        self.view.apply_list(list.into_objects(), revision);
        self.view.confirm(began_us);
        if read.is_expired {
            return Err(StoreError::ListExpired);
        }
        Ok(0)
    }

    /// Waits for changes, applies them and returns their number.
    async fn watch(&mut self, revision: StoreRevision) -> Result<usize, StoreError> {
        let (wait_ms, timeout, purpose) = if self.view.catch_up_due.get() {
            (
                CATCH_UP_WAIT_MS,
                self.reader.call_timeout(),
                CallPurpose::CatchUp,
            )
        } else {
            let (wait_ms, timeout_ms) = self.watch_times_ms();
            (
                wait_ms,
                Duration::from_millis(timeout_ms),
                CallPurpose::Watch,
            )
        };
        let path = watch_path(self.view.collection, revision.number, wait_ms);
        let shared = &self.view.shared;
        let ended_outages = shared.feed.ended_outage_start_us.subscribe();
        let sent_us = shared.clock.now_us();
        let mut watch_lost = pin!(wait_for_outage_end(ended_outages, sent_us));
        let mut newer_era = shared.feed.store_era.subscribe();
        let call = self.reader.call(purpose);
        let view = self.view.clone();
        let held_bytes = view.objects.borrow().held_bytes();
        let keeps = |object: &StoredObject, held_bytes| view.keeps(object, held_bytes);
        let mut received = ReceivedChanges::new(view.collection, &keeps, held_bytes);
        let mut on_data = |data: &[u8]| received.push(data);
        let call = self
            .reader
            .client
            .read_items(call, &path, timeout, &mut on_data);
        let response = tokio::select! {
            response = call => response.map_err(|error| self.watch_error(error, purpose, sent_us))?,
            () = &mut watch_lost => {
                self.reader.client.disconnect();
                return Ok(0);
            }
            _ = newer_era.wait_for(|era| *era > revision.era) => {
                // The watch waits for changes after a revision of the former era.
                self.reader.client.disconnect();
                return Err(StoreError::OtherEra);
            }
        };
        if collection_reader::observe_era(&self.view.shared, &response) != revision.era {
            return Err(StoreError::OtherEra);
        }
        let changes = received.finish()?;
        let left_out = self.view.left_out.get();
        let body = if changes.changes.is_empty() {
            Bytes::new()
        } else {
            let body = encode_object_changes(&changes.changes, changes.revision, left_out);
            body.map_err(StoreError::Decode)?.into()
        };
        let batch = ChangeBatch {
            body,
            from: revision,
            to: StoreRevision {
                era: revision.era,
                number: changes.revision,
            },
        };
        let answered_us = self.view.shared.clock.now_us();
        if answered_us >= sent_us + WAITED_MIN_US {
            self.view.confirm(answered_us);
        }
        let count = changes.received;
        self.view.apply_store_batch(&batch, changes);
        self.view.confirm(sent_us);
        Ok(count)
    }

    /// Returns the error of a watch: one that has waited may have been cut off, or its answer lost,
    /// although the store serves other calls.
    fn watch_error(&self, error: StoreError, purpose: CallPurpose, sent_us: u64) -> StoreError {
        let ended = matches!(error, StoreError::Timeout | StoreError::Transport(_));
        let waited = self.view.shared.clock.now_us() >= sent_us + WAITED_MIN_US;
        if ended && waited && purpose == CallPurpose::Watch {
            return StoreError::WatchLost(error.to_string());
        }
        error
    }

    fn handle_failure(&mut self, error: &StoreError) {
        if matches!(error, StoreError::Decode(_) | StoreError::OtherEra) {
            self.list_anew();
        }
        let shared = &self.view.shared;
        self.view.mark_unavailable(&error.to_string());
        self.view
            .catch_up_due
            .set(self.view.revision.get().is_some());
        shared.feed.suspect_store_outage(shared.clock.now_us());
        self.pauses.record_failure(error);
    }

    /// Returns the wait and the timeout of a watch.
    ///
    /// A version or an evacuation is due when the stabilization time after a disturbance has
    /// passed, also if it was confirmed in the disturbance; other changes only if they are
    /// confirmed after that time.
    fn watch_times_ms(&self) -> (u64, u64) {
        match self.view.collection {
            Collection::Configuration | Collection::Evacuations => {
                let times = self.view.shared.recovery_times();
                (times.watch_wait_ms(), times.watch_timeout_ms())
            }
            Collection::Nodes | Collection::Replicas | Collection::Rollouts => {
                let stabilization_ms = self.view.shared.settings.stabilization_ms;
                let wait_ms = watch_wait_ms(self.view.bound_ms(), stabilization_ms);
                (wait_ms, watch_timeout_ms(wait_ms))
            }
        }
    }
}
