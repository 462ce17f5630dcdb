use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use tokio::task;
use tokio::time;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::Freshness;
use wigeonhall_adapter::create_path;
use wigeonhall_adapter::decode_listing;
use wigeonhall_adapter::decode_node;
use wigeonhall_adapter::encode_node;
use wigeonhall_adapter::list_path;
use wigeonhall_adapter::object_path;
use wigeonhall_dispatch::PeerNode;

use crate::event::Event;
use crate::node_state::NodeState;
use crate::node_state::Phase;
use crate::open_ahead;
use crate::senders;
use crate::store_call::CallPurpose;
use crate::store_call::StoreCall;
use crate::store_client::StoreClient;
use crate::store_client::StoreError;

/// Longest time for one call.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Shortest pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Time between two looks whether the store is known to answer.
const DOUBT_LOOK: Duration = Duration::from_millis(100);

/// Longest wait for an answer to a look; a node that follows another one makes none.
const DOUBT_MAX: Duration = Duration::from_secs(10);

/// Pauses before the first lists while the whole tier starts: by then all have registered.
const FIRST_START_PAUSES: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(5)];

/// The same while other nodes run.
const START_PAUSES: [Duration; 2] = [Duration::ZERO, Duration::from_secs(5)];

/// Time between two lists; a node that is gone is noticed sooner, by those who ask it.
const PERIOD: Duration = Duration::from_secs(10);

/// Registers the node in the store, and learns from there which others run.
///
/// A list shows whether the entry of a former process of the node still holds; a stale one
/// may show an entry that was removed, so later lists are looked through, too.
pub(crate) async fn run(shared: Rc<NodeState>) {
    let mut client = StoreClient::new(&shared);
    let first_pauses = if shared.settings.first_start {
        FIRST_START_PAUSES
    } else {
        START_PAUSES
    };
    let mut pauses = first_pauses.into_iter();
    let mut registration = shared
        .settings
        .first_start
        .then(|| task::spawn_local(register_until_done(shared.clone())));
    loop {
        let pause = pauses.next().unwrap_or(PERIOD);
        time::sleep(pause.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
        let nodes = list_until_done(&shared, &mut client).await;
        let listed = *shared.feed.nodes_listed.borrow();
        let registering = registration
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        let may_register = !registering && shared.phase() == Phase::Serving;
        if may_register && !nodes.contains(shared.peers.borrow().own()) {
            registration = Some(task::spawn_local(register_until_done(shared.clone())));
        }
        replace(&shared, nodes);
        senders::review(&shared);
        if !listed {
            open_ahead::to_services(&shared);
        }
    }
}

/// Lists the nodes; waits for the store while it is away.
async fn list_until_done(shared: &NodeState, client: &mut StoreClient) -> Vec<PeerNode> {
    loop {
        until_answered(shared).await;
        match list(client).await {
            Ok(nodes) => return nodes,
            Err(error) => failed(shared, "list the nodes", &error).await,
        }
    }
}

async fn register_until_done(shared: Rc<NodeState>) {
    let mut client = StoreClient::new(&shared);
    until_answered(&shared).await;
    while let Err(error) = register(&shared, &mut client).await {
        failed(&shared, "register the node", &error).await;
        until_answered(&shared).await;
    }
}

/// Reports a failed call, and pauses.
async fn failed(shared: &NodeState, what: &str, error: &StoreError) {
    log::warn!("cannot {what}: {error}");
    shared.feed.doubt_store(shared.clock.now_us());
    time::sleep(RETRY_PAUSE.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
}

/// Waits while it is not known whether the store answers, for a while at most.
async fn until_answered(shared: &NodeState) {
    let answers = async {
        while shared.feed.store_in_doubt() {
            time::sleep(DOUBT_LOOK).await;
        }
    };
    if time::timeout(DOUBT_MAX, answers).await.is_err() {
        log::debug!("the store answers no look; calling it all the same");
    }
}

/// Removes the node's entry at a planned stop.
pub(crate) async fn unregister(shared: &NodeState) {
    let mut client = StoreClient::new(shared);
    let path = object_path(Collection::Nodes, &shared.settings.node_name);
    let result = client
        .write(
            Collection::Nodes,
            Method::DELETE,
            &path,
            String::new(),
            TIMEOUT,
        )
        .await;
    if let Err(error) = result {
        log::debug!("cannot remove the node's entry: {error}");
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
            TIMEOUT,
        )
        .await;
    match created {
        Err(StoreError::Status(StatusCode::CONFLICT)) => {
            let path = object_path(Collection::Nodes, &shared.settings.node_name);
            client
                .write(Collection::Nodes, Method::PUT, &path, body, TIMEOUT)
                .await?;
            Ok(())
        }
        result => result.map(drop),
    }
}

async fn list(client: &mut StoreClient) -> Result<Vec<PeerNode>, StoreError> {
    let call = StoreCall {
        collection: Collection::Nodes,
        purpose: CallPurpose::StaleList,
    };
    let mut nodes = Vec::new();
    let mut after: Option<Arc<str>> = None;
    loop {
        let path = list_path(Collection::Nodes, after.as_deref(), Freshness::Stale);
        let body = client.get(call, &path, TIMEOUT).await?;
        let page = decode_listing(&body).map_err(StoreError::Decode)?;
        after = page.objects.last().map(|object| object.name.clone());
        nodes.extend(
            page.objects
                .iter()
                .filter_map(|object| decode_node(object).ok()),
        );
        if !page.more || after.is_none() {
            return Ok(nodes);
        }
    }
}

fn replace(shared: &NodeState, nodes: Vec<PeerNode>) {
    let mut peers = shared.peers.borrow_mut();
    let before = peers.len();
    peers.replace(nodes);
    shared.pool.borrow_mut().set_nodes(peers.total());
    shared.feed.nodes_listed.send_replace(true);
    if peers.len() != before {
        shared.log(&Event::Nodes { near: peers.len() });
    }
}
