use std::rc::Rc;

use wigeonhall_adapter::Collection;

use crate::peers::feed_protocol::Revisions;
use crate::process::node_state::NodeState;
use crate::store::collection_view::CollectionView;

/// A node's copies of the collections that it watches, in the order of
/// [`Collection::WATCHED`].
pub(crate) type CollectionViews = Rc<[Rc<CollectionView>]>;

pub(crate) fn new(shared: &Rc<NodeState>) -> CollectionViews {
    let is_watched = |collection: &Collection| {
        *collection != Collection::Rollouts || shared.settings.rollout_bounds.is_some()
    };
    let new_view = |collection, service_views| {
        Rc::new(CollectionView::new(
            shared.clone(),
            collection,
            service_views,
        ))
    };
    let service_collections = [Collection::Replicas, Collection::Rollouts].into_iter();
    let service_views = service_collections.filter(is_watched);
    let service_views: Vec<_> = service_views.map(|it| new_view(it, Vec::new())).collect();
    let watched = Collection::WATCHED.into_iter().filter(is_watched);
    let view = |collection| {
        let service_view = service_views.iter().find(|it| it.collection == collection);
        match (service_view, collection) {
            (Some(view), _) => view.clone(),
            (None, Collection::Configuration) => new_view(collection, service_views.clone()),
            (None, _) => new_view(collection, Vec::new()),
        }
    };
    watched.map(view).collect()
}

/// Returns the revisions from which a peer is to send changes; `None` for a copy of which it is to
/// send all, as the peer may have entries that were left out.
pub(crate) fn revisions(views: &CollectionViews) -> Revisions {
    let revision = |view: &Rc<CollectionView>| view.revision.get().filter(|_| !view.left_out.get());
    views.iter().map(revision).collect()
}
