use std::rc::Rc;

use wigeonhall_adapter::Collection;

use crate::collection_view::CollectionView;
use crate::feed_protocol::Revisions;
use crate::node_state::NodeState;

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
