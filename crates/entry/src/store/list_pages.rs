//! Reads whole collections, page by page.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::Freshness;
use wigeonhall_adapter::ListingDecoder;
use wigeonhall_adapter::ObjectFilter;
use wigeonhall_adapter::StoredObject;
use wigeonhall_adapter::list_path;

use crate::store::paged_list::PagedList;
use crate::store::received_changes::keeps_counted;
use crate::store::store_call::CallPurpose;
use crate::store::store_call::StoreCall;
use crate::store::store_client::StoreClient;
use crate::store::store_client::StoreError;
use crate::store::store_client::StoreResponse;

/// Whether to keep an object while the others of the collection take this memory, in bytes.
pub(crate) type Keeps<'a> = &'a dyn Fn(&StoredObject, usize) -> bool;

/// Which objects of a list are kept.
#[derive(Clone, Copy)]
pub(crate) struct ListFilter<'a> {
    pub(crate) keeps: Keeps<'a>,
    /// Whether the former copy has an object with this name.
    pub(crate) knows: &'a dyn Fn(&str) -> bool,
}

/// Reads all pages of a collection; `check` is called with each response before it is used.
///
/// Ends with the first page that does not go on, even if the store announces more: it would be read
/// again without end.
pub(crate) async fn read(
    client: &mut StoreClient,
    collection: Collection,
    freshness: Freshness,
    call_timeout: Duration,
    filter: ListFilter<'_>,
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
    let mut list = PagedList::new(client.held_memory());
    let mut after: Option<Arc<str>> = None;
    loop {
        let path = list_path(collection, after.as_deref(), freshness);
        let held_bytes = Cell::new(list.held_bytes());
        let page_filter = ObjectFilter {
            keeps: &|object| keeps_counted(filter.keeps, object, &held_bytes),
            knows: filter.knows,
        };
        let mut decoder = ListingDecoder::new(collection);
        let mut decode = |data: &[u8]| {
            decoder.push(data, page_filter);
            Ok(decoder.held_bytes())
        };
        let response = client.read_items(call, &path, call_timeout, &mut decode);
        check(&response.await?)?;
        let page = decoder.finish().map_err(StoreError::Decode)?;
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
