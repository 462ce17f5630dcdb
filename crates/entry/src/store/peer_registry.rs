//! Registers this node in the store and lists its peers.

use std::rc::Rc;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use tokio::task;
use tokio::time;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::Freshness;
use wigeonhall_adapter::create_path;
use wigeonhall_adapter::decode_node;
use wigeonhall_adapter::encode_node;
use wigeonhall_adapter::object_path;
use wigeonhall_dispatch::PeerNode;
use wigeonhall_dispatch::unneeded_bytes_max;

use crate::peers::quota_exchange;
use crate::process::event::Event;
use crate::process::node_state::NodeState;
use crate::process::node_state::Phase;
use crate::replicas::preconnect;
use crate::replicas::sender_counts;
use crate::store::list_pages;
use crate::store::list_pages::ListFilter;
use crate::store::malformed_entries::MalformedEntries;
use crate::store::store_client::StoreClient;
use crate::store::store_client::StoreError;
use crate::store::store_client::StoreResponse;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Mean pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Longest wait while an outage of the store is suspected. A follower, which receives the store's
/// changes from a peer, makes no health checks of its own and may not learn that the outage has
/// ended.
const SUSPECTED_OUTAGE_WAIT_MAX: Duration = Duration::from_secs(10);

/// Pauses before the first lists during the first start of the whole tier; all nodes have
/// registered by then.
const FIRST_START_LIST_PAUSES: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(5)];

/// Pauses before the first lists while other nodes are running.
const START_LIST_PAUSES: [Duration; 2] = [Duration::ZERO, Duration::from_secs(5)];

/// Mean interval between lists; peers detect a stopped node sooner, when a request to it
/// fails.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Registers the node in the store and lists the other nodes from there.
///
/// A list shows whether the registration of the node's previous process still exists. A stale list
/// may show a registration that was removed, so later lists are checked as well.
pub(crate) async fn run(shared: Rc<NodeState>) {
    let mut client = StoreClient::new(&shared);
    let malformed = MalformedEntries::new(Collection::Nodes);
    let first_pauses = if shared.settings.first_start {
        FIRST_START_LIST_PAUSES
    } else {
        START_LIST_PAUSES
    };
    let mut pauses = first_pauses.into_iter();
    let mut registration = shared
        .settings
        .first_start
        .then(|| task::spawn_local(register_with_retries(shared.clone())));
    loop {
        let pause = pauses.next().unwrap_or(LIST_INTERVAL);
        time::sleep(pause.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
        let nodes = list_with_retries(&shared, &mut client, &malformed).await;
        let listed = *shared.feed.nodes_listed.borrow();
        let registering = registration
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        let may_register = !registering && shared.phase() == Phase::Serving;
        if may_register && !nodes.contains(shared.peers.borrow().own()) {
            registration = Some(task::spawn_local(register_with_retries(shared.clone())));
        }
        replace_peers(&shared, nodes);
        sender_counts::update(&shared);
        if !listed {
            preconnect::to_services(&shared);
        }
    }
}

/// Lists the nodes; retries until the store answers.
async fn list_with_retries(
    shared: &NodeState,
    client: &mut StoreClient,
    malformed: &MalformedEntries,
) -> Vec<PeerNode> {
    loop {
        shared.feed.wait_for_store(SUSPECTED_OUTAGE_WAIT_MAX).await;
        match list(shared, client, malformed).await {
            Ok(nodes) => return nodes,
            Err(error) => pause_after_failure(shared, "list the nodes", &error).await,
        }
    }
}

async fn register_with_retries(shared: Rc<NodeState>) {
    let mut client = StoreClient::new(&shared);
    shared.feed.wait_for_store(SUSPECTED_OUTAGE_WAIT_MAX).await;
    while let Err(error) = register(&shared, &mut client).await {
        pause_after_failure(&shared, "register the node", &error).await;
        shared.feed.wait_for_store(SUSPECTED_OUTAGE_WAIT_MAX).await;
    }
}

/// Logs a failed call, records a suspected outage of the store, and pauses.
async fn pause_after_failure(shared: &NodeState, action: &str, error: &StoreError) {
    log::warn!("cannot {action}: {error}");
    shared.feed.suspect_store_outage(shared.clock.now_us());
    time::sleep(RETRY_PAUSE.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
}

/// Removes the node's registration at a planned stop.
pub(crate) async fn unregister(shared: &Rc<NodeState>) {
    let mut client = StoreClient::new(shared);
    let path = object_path(Collection::Nodes, &shared.settings.node_name);
    let result = client
        .write(
            Collection::Nodes,
            Method::DELETE,
            &path,
            String::new(),
            CALL_TIMEOUT,
        )
        .await;
    if let Err(error) = result {
        log::debug!("cannot remove the node's registration: {error}");
    }
}

async fn register(shared: &NodeState, client: &mut StoreClient) -> Result<(), StoreError> {
    let body = encode_node(shared.peers.borrow().own());
    let path = create_path(Collection::Nodes);
    let created = client
        .write(
            Collection::Nodes,
            Method::POST,
            &path,
            body.clone(),
            CALL_TIMEOUT,
        )
        .await;
    match created {
        Err(StoreError::Status(StatusCode::CONFLICT)) => {
            let path = object_path(Collection::Nodes, &shared.settings.node_name);
            client
                .write(Collection::Nodes, Method::PUT, &path, body, CALL_TIMEOUT)
                .await?;
            Ok(())
        }
        result => result.map(drop),
    }
}

async fn list(
    shared: &NodeState,
    client: &mut StoreClient,
    malformed: &MalformedEntries,
) -> Result<Vec<PeerNode>, StoreError> {
    let unchecked = |_: &StoreResponse| Ok(());
    let bytes_max = unneeded_bytes_max(shared.settings.memory_bytes);
    let filter = ListFilter {
        keeps: &|object, held_bytes| held_bytes + object.held_bytes() <= bytes_max,
        knows: &|_| false,
    };
    let list = list_pages::read(
        client,
        Collection::Nodes,
        Freshness::Stale,
        CALL_TIMEOUT,
        filter,
        unchecked,
    );
    let list = list.await?;
    malformed.report_items(shared, list.malformed());
    let objects = list.into_objects();
    let nodes = objects
        .iter()
        .filter_map(|object| match decode_node(object) {
            Ok(node) => {
                malformed.forget(&object.name);
                Some(node)
            }
            Err(error) => {
                malformed.report(shared, &object.name, &error.to_string());
                None
            }
        });
    Ok(nodes.collect())
}

fn replace_peers(shared: &NodeState, nodes: Vec<PeerNode>) {
    let mut peers = shared.peers.borrow_mut();
    let before = peers.len();
    peers.replace(nodes);
    shared.pool.borrow_mut().set_nodes(peers.total_nodes());
    shared.feed.nodes_listed.send_replace(true);
    quota_exchange::notify_change(shared);
    if peers.len() != before {
        shared.log(&Event::Nodes { near: peers.len() });
    }
}
