//! Reads the entries that were left out of a copy, once a configuration names their service.
//!
//! The node that reads the store does so beside its watch, so that its copy and those of its
//! followers stay current meanwhile, and sends the entries to the followers.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use wigeonhall_adapter::Freshness;
use wigeonhall_adapter::ObjectChange;
use wigeonhall_adapter::StoredObject;

use crate::store::collection_reader::CollectionReader;
use crate::store::collection_view::CollectionView;
use crate::store::store_client::StoreError;

/// Mean pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Reads the entries of a collection whenever they are due, until the process ends.
pub(crate) async fn run(view: Rc<CollectionView>) {
    let mut source = view.shared.feed.source();
    loop {
        let is_due = view.left_out_due.get() && view.shared.feed.reads_store();
        if is_due {
            if let Err(error) = read(&view).await {
                let name = view.collection.wire_name();
                log::warn!("cannot read the entries of {name} that were left out: {error}");
                time::sleep(RETRY_PAUSE.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
            }
            continue;
        }
        tokio::select! {
            () = view.left_out_requested.notified() => {}
            changed = source.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Lists the collection, and adds the needed entries that the copy lacks as of its revision.
async fn read(view: &Rc<CollectionView>) -> Result<(), StoreError> {
    let mut reader = CollectionReader::new(view.clone(), Freshness::Current);
    let keeps = |object: &StoredObject, _: usize| view.needs(object);
    view.left_out_due.set(false);
    let added = async {
        let mut read = reader.read_list(&keeps).await?;
        loop {
            let copy = view.revision.get().filter(|copy| copy.era == read.era);
            let Some(copy) = copy.filter(|_| !read.is_expired) else {
                return Err(StoreError::ListExpired);
            };
            if copy.number <= read.list.revision() {
                return Ok(read.list.into_objects());
            }
            read.list.require(copy.number);
            reader.complete(&mut read, &keeps).await?;
        }
    };
    let objects = added.await.inspect_err(|_| view.left_out_due.set(true))?;
    let lacks = |object: &StoredObject| !view.objects.borrow().contains(&object.name);
    let lacking = objects.into_iter().filter(lacks);
    let changes = lacking.map(|object| ObjectChange {
        deleted: false,
        object,
    });
    view.add_left_out(changes.collect())
}
