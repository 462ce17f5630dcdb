use std::rc::Rc;

use wigeonhall_adapter::Collection;

use crate::peers::feed_protocol::Revisions;
use crate::process::node_state::NodeState;
use crate::store::collection_view::CollectionView;

/// A node's copies of the collections that it watches, in the order of
/// [`Collection::WATCHED`].
pub(crate) type CollectionViews = Rc<[Rc<CollectionView>]>;

pub(crate) fn new(shared: &Rc<NodeState>) -> CollectionViews {
    let view = |collection| Rc::new(CollectionView::new(shared.clone(), collection));
    let watched = Collection::WATCHED.into_iter();
    watched
        .filter(|collection| {
            *collection != Collection::Rollouts || shared.settings.rollout_bounds.is_some()
        })
        .map(view)
        .collect()
}

/// Returns the revisions of the copies.
pub(crate) fn revisions(views: &CollectionViews) -> Revisions {
    views.iter().map(|view| view.revision.get()).collect()
}
