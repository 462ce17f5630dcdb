//! Follows a peer that reads the store, or decides that this node reads it.
//!
//! Readers are the nodes that should read the store and stream its changes to the others, their
//! followers; any other node reads it only while it finds no peer to follow.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time;
use tokio::time::Instant;

use wigeonhall_adapter::Collection;
use wigeonhall_dispatch::BatchFit;
use wigeonhall_dispatch::ChangeBatch;
use wigeonhall_dispatch::MemoryUse;
use wigeonhall_dispatch::ReadingRole;

use crate::net::http_client;
use crate::net::http_client::HttpSender;
use crate::peers::change_feed::ChangeSource;
use crate::peers::feed_protocol;
use crate::peers::feed_protocol::DecodedMessage;
use crate::peers::feed_protocol::FeedMessage;
use crate::peers::feed_server;
use crate::process::event::Event;
use crate::process::held_memory::HeldMemory;
use crate::process::node_state::NodeState;
use crate::store::collection_view::CollectionView;
use crate::store::collection_views;
use crate::store::collection_views::CollectionViews;

/// Longest wait for the first list of the nodes during the first start of the whole tier.
const FIRST_START_NODE_LIST_WAIT: Duration = Duration::from_millis(1_600);

/// Longest wait for the first list of the nodes while other nodes are running.
const NODE_LIST_WAIT: Duration = Duration::from_millis(300);

/// Number of waits for the first list of the nodes while an outage of the store is suspected.
const NODE_LIST_WAITS_MAX: u32 = 20;

/// Delay before followers start during the first start of the whole tier, in which the readers
/// read the store: a reader can be followed only from the revision at which it began.
const FOLLOWER_START_DELAY: Duration = Duration::from_millis(400);

/// Time in which a starting node searches for a peer that sends it all collections before it
/// reads the store.
const FIRST_SEARCH_LIMIT: Duration = Duration::from_millis(1_500);

/// Interval at which a node that reads the store tries to follow a peer.
const FOLLOW_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

/// Shortest search for another peer to follow before the store is read.
const SEARCH_LIMIT_MIN: Duration = Duration::from_millis(250);

/// Timeout for opening a connection to a peer, which is in the same data centre. A node that starts
/// serves nobody while it waits for a peer without power.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(75);

/// Pause between two rounds of a search if no peer failed.
const SEARCH_PAUSE: Duration = Duration::from_millis(100);

/// Interval at which a node that reads the store tries to follow a peer while an outage of the
/// store is suspected.
const FOLLOW_RETRY_INTERVAL_IN_OUTAGE: Duration = Duration::from_millis(300);

/// Declines of one peer after which it counts as failed and others are asked in its place. Each
/// node derives the readers from its own list of nodes, so a new reader may decline at first.
const DECLINES_TO_SUSPECT_PEER: u32 = 3;

/// Divides the silence limit, the longest time between two messages of a peer, to give the timeout
/// of a request to follow the peer.
const OPEN_TIMEOUT_DIVISOR: u32 = 4;

/// Mean delay before a node that reads the store tries to follow a peer after an outage, so that
/// other readers have read the changes made in the outage before they are asked.
const FOLLOW_DELAY_AFTER_OUTAGE: Duration = Duration::from_millis(200);

/// Interval at which a follower checks whether it should read the store itself.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Why an attempt to follow a peer failed or ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FeedEnd {
    /// The peer doesn't read the store.
    Declined,
    /// The connection or the stream ended.
    Ended,
    /// Another server has taken over the address.
    Foreign,
    /// Changes are missing before those that the peer sent.
    Gap,
    /// This node should read the store itself.
    NowReader,
    /// No message arrived within the silence limit.
    Silent,
    /// The store is unavailable to the peer.
    StoreAway,
    /// A message or a change could not be decoded.
    Undecodable,
    /// No connection to the peer could be opened.
    Unreachable,
}

/// The end of an attempt to follow a peer.
#[derive(Clone, Copy, Debug)]
struct FollowEnd {
    /// Time until which this node's copies of the store's collections count as current; `None` if
    /// the peer never confirmed that they are.
    fresh_until: Option<Instant>,
    reason: FeedEnd,
}

impl FollowEnd {
    const fn unconfirmed(reason: FeedEnd) -> Self {
        Self {
            fresh_until: None,
            reason,
        }
    }
}

/// Follows a peer that reads the store, or has this node read it, until the process ends.
pub(crate) async fn run(shared: Rc<NodeState>, views: CollectionViews) {
    wait_for_nodes(&shared, &views).await;
    let mut ended_outages = shared.feed.ended_outage_start_us.subscribe();
    loop {
        let last_failure = follow_while_possible(&shared, &views).await;
        if shared.feed.set_source(ChangeSource::Store) {
            let reason = last_failure.map_or_else(
                || "no node to follow".to_owned(),
                |failure| format!("no node to follow, last asked {failure}"),
            );
            log_change_source(&shared, "store", &reason);
        }
        tokio::select! {
            () = time::sleep(follow_retry_interval(&shared)) => {}
            _ = ended_outages.changed() => {
                time::sleep(FOLLOW_DELAY_AFTER_OUTAGE.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}

/// Returns the time until a node that reads the store tries again to follow a peer.
fn follow_retry_interval(shared: &NodeState) -> Duration {
    let suspected = shared.feed.is_store_outage_suspected() && shared.feed.may_follow.get();
    let interval = if suspected {
        FOLLOW_RETRY_INTERVAL_IN_OUTAGE
    } else {
        FOLLOW_RETRY_INTERVAL
    };
    interval.mul_f64(0.75 + 0.5 * fastrand::f64())
}

/// Follows one peer after another, as long as the next one is found in time.
///
/// Nothing is read from the store during the search: an outage ends the streams of all readers
/// at once, and each call of each node costs money. Returns the last peer asked and why it could
/// not be followed; `None` if none was asked, or if this node has become a reader.
async fn follow_while_possible(shared: &Rc<NodeState>, views: &CollectionViews) -> Option<String> {
    let mut last_failure = None;
    let mut search_until = first_search_until(shared);
    let mut declines: HashMap<Arc<str>, u32> = HashMap::new();
    loop {
        // For its peers, a reader that can't read the store remains one until it follows a peer.
        let is_reader = reading_role(shared, true) == ReadingRole::Reader;
        shared.feed.may_follow.set(!is_reader);
        let ReadingRole::Follower(sources) = own_role(shared, views) else {
            return last_failure;
        };
        let mut any_failed = false;
        for (name, address) in sources {
            let end = follow(shared, views, &name, address, search_until).await;
            any_failed |= handle_end(shared, &name, end, &mut declines);
            if end.reason == FeedEnd::NowReader {
                return None;
            }
            last_failure = Some(format!("{name}: {:?}", end.reason));
            if let Some(fresh_until) = end.fresh_until {
                search_until = fresh_until.max(Instant::now() + SEARCH_LIMIT_MIN);
                break;
            }
            if Instant::now() >= search_until {
                return last_failure;
            }
        }
        if Instant::now() >= search_until {
            return last_failure;
        }
        // Others take the places of peers that failed, and can be asked at once.
        if !any_failed {
            time::sleep(SEARCH_PAUSE).await;
        }
    }
}

/// Returns the end of the search for the first peer to follow; a node that already reads the
/// store asks each peer once.
fn first_search_until(shared: &NodeState) -> Instant {
    if shared.feed.reads_store() {
        Instant::now()
    } else {
        Instant::now() + FIRST_SEARCH_LIMIT
    }
}

/// Returns whether this node should read the store or follow a peer. A node that could not read a
/// collection for longer than the silence limit should follow a peer.
fn own_role(shared: &NodeState, views: &CollectionViews) -> ReadingRole {
    let limit_us = feed_server::silence_limit(shared).as_micros() as u64;
    let can_read = views
        .iter()
        .all(|view| view.unavailable_for_us() <= limit_us);
    reading_role(shared, can_read)
}

fn reading_role(shared: &NodeState, can_read: bool) -> ReadingRole {
    let now_us = shared.clock.now_us();
    shared.peers.borrow().reading_role(now_us, can_read)
}

/// Waits until the nodes have been listed, for a limited time.
async fn wait_for_nodes(shared: &Rc<NodeState>, views: &CollectionViews) {
    let first_start = shared.settings.first_start;
    let limit = if first_start {
        FIRST_START_NODE_LIST_WAIT
    } else {
        NODE_LIST_WAIT
    };
    let mut listed = shared.feed.nodes_listed.subscribe();
    let mut waits = 0;
    while time::timeout(limit, listed.wait_for(|listed| *listed))
        .await
        .is_err()
    {
        log::debug!("the nodes were not listed in time");
        waits += 1;
        if !shared.feed.is_store_outage_suspected() || waits >= NODE_LIST_WAITS_MAX {
            break;
        }
    }
    if first_start && own_role(shared, views) != ReadingRole::Reader {
        time::sleep(FOLLOWER_START_DELAY).await;
    }
}

/// Handles the end of an attempt to follow a peer: logs it, and if the peer failed, excludes it
/// from the readers for a time. Returns whether it failed.
fn handle_end(
    shared: &NodeState,
    name: &Arc<str>,
    end: FollowEnd,
    declines: &mut HashMap<Arc<str>, u32>,
) -> bool {
    let reason = format!("{name}: {:?}", end.reason);
    if end.fresh_until.is_some() {
        // An outage of the store ends the streams of all readers: while one is suspected, calls
        // wait for a successful health check.
        shared.feed.suspect_store_outage(shared.clock.now_us());
        shared.feed.set_source(ChangeSource::Undecided);
        log_change_source(shared, "none", &reason);
    } else {
        log::debug!("cannot follow {reason}");
    }
    let peer_failed = match end.reason {
        FeedEnd::NowReader | FeedEnd::StoreAway => false,
        FeedEnd::Ended => end.fresh_until.is_none(),
        FeedEnd::Declined => {
            let count = declines.entry(name.clone()).or_default();
            *count += 1;
            *count >= DECLINES_TO_SUSPECT_PEER
        }
        FeedEnd::Foreign
        | FeedEnd::Gap
        | FeedEnd::Silent
        | FeedEnd::Undecodable
        | FeedEnd::Unreachable => true,
    };
    if peer_failed {
        declines.remove(name);
        let now_us = shared.clock.now_us();
        shared.peers.borrow_mut().suspect_reader(now_us, name);
    }
    peer_failed
}

fn log_change_source(shared: &NodeState, source: &str, reason: &str) {
    shared.log(&Event::ChangeSource { reason, source });
}

/// Follows a peer until its stream ends. The first heartbeat must arrive by `confirm_by`, or
/// shortly after the request.
async fn follow(
    shared: &Rc<NodeState>,
    views: &CollectionViews,
    name: &Arc<str>,
    address: SocketAddr,
    confirm_by: Instant,
) -> FollowEnd {
    let silence_limit = feed_server::silence_limit(shared);
    let confirm_by = confirm_by.max(Instant::now() + silence_limit / OPEN_TIMEOUT_DIVISOR);
    let opening = open(views, address);
    let opened = match time::timeout(silence_limit / OPEN_TIMEOUT_DIVISOR, opening).await {
        Ok(Ok(opened)) => opened,
        Ok(Err(reason)) => return FollowEnd::unconfirmed(reason),
        Err(_) => return FollowEnd::unconfirmed(FeedEnd::Silent),
    };
    let (body, _sender) = opened;
    let mut stream = PeerStream {
        body,
        fresh_until: confirm_by.min(Instant::now() + silence_limit),
        memory: HeldMemory::empty(shared, MemoryUse::Peers),
        silence_limit,
        name: name.clone(),
        received: BytesMut::new(),
        role_check_at: Instant::now() + ROLE_CHECK_INTERVAL,
        shared: shared.clone(),
        views: views.clone(),
    };
    let reason = stream.run().await;
    FollowEnd {
        fresh_until: shared.feed.follows_peer().then_some(stream.fresh_until),
        reason,
    }
}

/// Requests a stream of changes from a peer; the connection lasts as long as the sender.
async fn open(
    views: &CollectionViews,
    address: SocketAddr,
) -> Result<(Incoming, HttpSender), FeedEnd> {
    let revisions = collection_views::revisions(views);
    let mut sender = http_client::connect(address, CONNECT_TIMEOUT)
        .await
        .map_err(|_| FeedEnd::Unreachable)?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(feed_protocol::FOLLOW_PATH);
    let value = feed_protocol::follow_value(&revisions).ok_or(FeedEnd::Undecodable)?;
    let headers = request.headers_mut();
    headers.insert(feed_protocol::FOLLOW_HEADER, value);
    headers.insert(header::HOST, header::HeaderValue::from_static("node"));
    let response = sender
        .send_request(request)
        .await
        .map_err(|_| FeedEnd::Ended)?;
    if !response
        .headers()
        .contains_key(feed_protocol::FOLLOW_HEADER)
    {
        return Err(FeedEnd::Foreign);
    }
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => Err(FeedEnd::StoreAway),
        StatusCode::OK => Ok((response.into_body(), sender)),
        _ => Err(FeedEnd::Declined),
    }
}

/// The stream of changes from a peer that this node follows.
struct PeerStream {
    body: Incoming,
    /// Time until which this node's copies of the collections count as current.
    fresh_until: Instant,
    /// Memory counted for `received`.
    memory: HeldMemory,
    silence_limit: Duration,
    name: Arc<str>,
    received: BytesMut,
    role_check_at: Instant,
    shared: Rc<NodeState>,
    views: CollectionViews,
}

impl PeerStream {
    async fn run(&mut self) -> FeedEnd {
        loop {
            match FeedMessage::decode(&mut self.received) {
                DecodedMessage::Incomplete => {}
                DecodedMessage::Malformed => return FeedEnd::Undecodable,
                DecodedMessage::Whole(message) => match self.apply(message) {
                    Some(end) => return end,
                    None => continue,
                },
            }
            match time::timeout_at(self.fresh_until, self.body.frame()).await {
                Err(_) => return FeedEnd::Silent,
                Ok(None | Some(Err(_))) => return FeedEnd::Ended,
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.received.extend_from_slice(&data);
                        self.memory.resize(self.received.capacity());
                    }
                }
            }
        }
    }

    fn apply(&mut self, message: FeedMessage) -> Option<FeedEnd> {
        match message {
            FeedMessage::Heartbeat { age_ms, era } => self.apply_heartbeat(age_ms, era),
            FeedMessage::Batch(collection, batch) => self.apply_batch(collection, &batch),
            FeedMessage::Snapshot {
                body,
                collection,
                revision,
            } => {
                let applied = self.view(collection)?.apply_snapshot(&body, revision);
                let error = applied.err()?;
                log::warn!("cannot decode a collection from {}: {error}", self.name);
                Some(FeedEnd::Undecodable)
            }
        }
    }

    fn apply_batch(&self, collection: Collection, batch: &ChangeBatch) -> Option<FeedEnd> {
        let labels = [collection.wire_name()];
        let batches = &self.shared.metrics.passed_on_batches;
        batches.with_label_values(&labels).inc();
        match self.view(collection)?.apply_peer_batch(batch) {
            Ok(BatchFit::Gap) => Some(FeedEnd::Gap),
            Ok(BatchFit::Applied | BatchFit::Next) => None,
            Err(error) => {
                log::warn!("cannot decode changes from {}: {error}", self.name);
                Some(FeedEnd::Undecodable)
            }
        }
    }

    fn view(&self, collection: Collection) -> Option<&CollectionView> {
        let found = self.views.iter().find(|view| view.collection == collection);
        found.map(|view| &**view)
    }

    /// Applies a heartbeat: all that the peer sent before is current.
    ///
    /// The peer may not have noticed yet that the store was restored from a copy.
    fn apply_heartbeat(&mut self, age_ms: u64, era: u64) -> Option<FeedEnd> {
        self.shared.observe_era(era);
        if era < self.shared.feed.era() || self.views.iter().any(|view| view.must_list()) {
            return Some(FeedEnd::Gap);
        }
        let now = Instant::now();
        let fresh = self
            .silence_limit
            .saturating_sub(Duration::from_millis(age_ms));
        self.fresh_until = now + fresh;
        if self.shared.feed.set_source(ChangeSource::Node) {
            log_change_source(&self.shared, &self.name, "follows");
            self.shared
                .peers
                .borrow_mut()
                .clear_reader_suspicion(&self.name);
        }
        let now_us = self.shared.clock.now_us();
        let feed = &self.shared.feed;
        let answered_us = now_us.saturating_sub(age_ms.saturating_mul(1_000));
        feed.store_health
            .borrow_mut()
            .record_response(now_us, answered_us);
        self.views
            .iter()
            .for_each(|view| view.confirm_by_peer(answered_us));
        let mut store_unavailable = false;
        for view in self.views.iter() {
            if let Some(unavailable_since_us) = view.mark_available() {
                store_unavailable = true;
                feed.record_outage_end(now_us, unavailable_since_us);
            }
        }
        if store_unavailable {
            // The store answers the peer but not this node, which therefore must not be a reader
            // for a time.
            let mut peers = self.shared.peers.borrow_mut();
            let own_name = peers.own().name.clone();
            peers.suspect_reader(now_us, &own_name);
        }
        if now < self.role_check_at {
            return None;
        }
        self.role_check_at = now + ROLE_CHECK_INTERVAL;
        let role = own_role(&self.shared, &self.views);
        (role == ReadingRole::Reader).then_some(FeedEnd::NowReader)
    }
}
