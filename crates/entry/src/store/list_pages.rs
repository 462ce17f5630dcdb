//! Reads whole collections, page by page.

use std::sync::Arc;
use std::time::Duration;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::Freshness;
use wigeonhall_adapter::decode_listing;
use wigeonhall_adapter::list_path;

use crate::store::paged_list::PagedList;
use crate::store::store_call::CallPurpose;
use crate::store::store_call::StoreCall;
use crate::store::store_client::StoreClient;
use crate::store::store_client::StoreError;
use crate::store::store_client::StoreResponse;

/// Reads all pages of a collection; `check` is called with each response before it is used.
///
/// Ends with the first page that brings nothing new, even if the store announces more: it would be
/// read again without end.
pub(crate) async fn read(
    client: &mut StoreClient,
    collection: Collection,
    freshness: Freshness,
    call_timeout: Duration,
    mut check: impl FnMut(&StoreResponse) -> Result<(), StoreError>,
) -> Result<PagedList, StoreError> {
    let purpose = match freshness {
        Freshness::Current => CallPurpose::List,
        Freshness::Stale => CallPurpose::StaleList,
    };
    let call = StoreCall {
        collection,
        purpose,
    };
    let mut list = PagedList::default();
    let mut after: Option<Arc<str>> = None;
    loop {
        let path = list_path(collection, after.as_deref(), freshness);
        let response = client.get(call, &path, call_timeout).await?;
        check(&response)?;
        let page = decode_listing(&response.body).map_err(StoreError::Decode)?;
        after = list.add_page(page);
        if after.is_none() {
            break;
        }
    }
    if list.is_cut_short() {
        let name = collection.wire_name();
        log::warn!("the pages of {name} do not go on; the objects after them are not read");
    }
    Ok(list)
}
