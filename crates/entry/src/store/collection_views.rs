use std::rc::Rc;

use wigeonhall_adapter::Collection;

use crate::peers::feed_protocol::Revisions;
use crate::process::node_state::NodeState;
use crate::store::collection_view::CollectionView;

/// A node's copies of the collections that it watches, in the order of
/// [`Collection::WATCHED`].
pub(crate) type CollectionViews = Rc<[Rc<CollectionView>; Collection::WATCHED.len()]>;

pub(crate) fn new(shared: &Rc<NodeState>) -> CollectionViews {
    let view = |collection| Rc::new(CollectionView::new(shared.clone(), collection));
    Rc::new(Collection::WATCHED.map(view))
}

/// Returns the revisions of the copies.
pub(crate) fn revisions(views: &CollectionViews) -> Revisions {
    views.each_ref().map(|view| view.revision.get())
}
