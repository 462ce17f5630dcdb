use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use wigeonhall_adapter::Collection;

use crate::collection_view::CollectionView;
use crate::feed_protocol::Revisions;
use crate::node_state::NodeState;

/// Time between two looks whether the collections were read.
const LOOK: Duration = Duration::from_millis(20);

/// What a node knows of each collection that it follows, in the order of
/// [`Collection::FOLLOWED`].
pub(crate) type Views = Rc<[Rc<CollectionView>; Collection::FOLLOWED.len()]>;

pub(crate) fn new(shared: &Rc<NodeState>) -> Views {
    let view = |collection| Rc::new(CollectionView::new(shared.clone(), collection));
    Rc::new(Collection::FOLLOWED.map(view))
}

/// Revisions up to which all is known; `None` if a collection was not read.
pub(crate) fn revisions(views: &Views) -> Option<Revisions> {
    let known = views.iter().map(|view| view.revision.get());
    let known: Option<Vec<u64>> = known.collect();
    known?.try_into().ok()
}

/// Reads at once what is new in all collections, for `limit` at most.
pub(crate) async fn catch_up_within(shared: &NodeState, views: &Views, limit: Duration) {
    for view in views.iter() {
        view.hurried.set(true);
    }
    shared.feed.reissue_watches();
    let reading = async {
        while views.iter().any(|view| view.hurried.get()) {
            time::sleep(LOOK).await;
        }
    };
    if time::timeout(limit, reading).await.is_err() {
        log::debug!("the collections were not read in time");
    }
}

/// Waits until all collections were read, for `limit` at most.
pub(crate) async fn read_within(views: &Views, limit: Duration) -> Option<Revisions> {
    let reading = async {
        loop {
            match revisions(views) {
                Some(revisions) => return revisions,
                None => time::sleep(LOOK).await,
            }
        }
    };
    time::timeout(limit, reading).await.ok()
}
