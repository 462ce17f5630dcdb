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
use wigeonhall_dispatch::ReadingRole;

use crate::change_feed::ChangeSource;
use crate::collection_view::CollectionView;
use crate::event::Event;
use crate::feed_protocol;
use crate::feed_protocol::DecodedMessage;
use crate::feed_protocol::FeedMessage;
use crate::feed_server;
use crate::http_client;
use crate::http_client::HttpSender;
use crate::node_state::NodeState;
use crate::views;
use crate::views::Views;

/// Time for a first list of the nodes while the whole tier starts.
const NODES_FIRST_START: Duration = Duration::from_millis(1_600);

/// The same while other nodes run.
const NODES: Duration = Duration::from_millis(300);

/// Times that a node waits for the list of the nodes while the store is away.
const NODES_WAITS: u32 = 20;

/// Time after the list of the nodes that a follower leaves to the readers while the whole
/// tier starts: a reader can be followed only from the revision at which it began.
const READERS_FIRST: Duration = Duration::from_millis(400);

/// Time in which a node that starts looks for one that sends it all collections before it
/// reads the store.
const FIRST_SEEK: Duration = Duration::from_millis(1_500);

/// Time after which a node asks again whether it can follow another.
const REVIEW: Duration = Duration::from_millis(1_500);

/// Shortest time in which another node to follow is looked for before the store is read.
const SEEK_MIN: Duration = Duration::from_millis(250);

/// Pause between two rounds of looking for a node to follow.
const SEEK_PAUSE: Duration = Duration::from_millis(100);

/// Time after which a node asks again whether it can follow another, while neither knows
/// whether the store answers.
const REVIEW_IN_DOUBT: Duration = Duration::from_millis(300);

/// Times in a row that a node declines before others are asked in its place: one that has
/// just become a reader does not know it yet.
const DECLINES_TO_SUSPECT: u32 = 3;

/// Part of the silence limit that a node may take to answer when it is asked.
const OPEN_DIVISOR: u32 = 4;

/// Time after an outage of the store that readers get to catch up.
const READERS_BACK: Duration = Duration::from_millis(200);

/// Time after which a node that follows another looks whether it should read itself.
const ROLE_REVIEW: Duration = Duration::from_secs(5);

/// Why a node does not follow another one, or not any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FeedEnd {
    /// The other node does not read the store.
    Declined,
    /// The connection ended.
    Ended,
    /// The address belongs to a server that is no node.
    Foreign,
    /// Changes are missing before those that were passed on.
    Gap,
    /// This node is to read the store.
    NowReader,
    /// Nothing was heard within the silence limit.
    Silent,
    /// The store does not answer the other node at the moment.
    StoreAway,
    /// A message or a change could not be decoded.
    Undecodable,
    /// No connection could be opened.
    Unreachable,
}

/// The end of an attempt to follow a node.
#[derive(Clone, Copy, Debug)]
struct StreamEnd {
    /// Time until which what is known counts as up to date; `None` if nothing was heard.
    fresh_until: Option<Instant>,
    reason: FeedEnd,
}

impl StreamEnd {
    const fn unheard(reason: FeedEnd) -> Self {
        Self {
            fresh_until: None,
            reason,
        }
    }
}

/// Follows a node that reads the store, or lets this node read it, until the process ends.
pub(crate) async fn run(shared: Rc<NodeState>, views: Views) {
    start(&shared, &views).await;
    let mut outage_ended = shared.feed.outage_began_us.subscribe();
    loop {
        follow_while_possible(&shared, &views).await;
        if shared.feed.set_source(ChangeSource::Store) {
            report(&shared, "store", "no node to follow");
        }
        tokio::select! {
            () = time::sleep(review(&shared)) => {}
            _ = outage_ended.changed() => {
                time::sleep(READERS_BACK.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}

/// Time until a node that reads the store asks again whether it can follow another.
fn review(shared: &NodeState) -> Duration {
    let in_doubt = shared.feed.store_in_doubt() && shared.feed.may_follow.get();
    let review = if in_doubt { REVIEW_IN_DOUBT } else { REVIEW };
    review.mul_f64(0.75 + 0.5 * fastrand::f64())
}

/// Follows one node after the other, as long as the next one is found in time.
///
/// While one is looked for, nothing is read from the store: an outage ends the streams of
/// all readers at once, and each call of each node would be paid for.
async fn follow_while_possible(shared: &Rc<NodeState>, views: &Views) {
    let mut seek_until = first_seek_until(shared);
    let mut declines: HashMap<Arc<str>, u32> = HashMap::new();
    loop {
        // A reader that lost the store stays one for the others until it follows a node.
        let is_reader = reading_role(shared, true) == ReadingRole::Reader;
        shared.feed.may_follow.set(!is_reader);
        let ReadingRole::Follower(sources) = role(shared, views) else {
            return;
        };
        for (name, address) in sources {
            let end = follow(shared, views, &name, address, seek_until).await;
            ended(shared, &name, end, &mut declines);
            if end.reason == FeedEnd::NowReader {
                return;
            }
            if let Some(fresh_until) = end.fresh_until {
                seek_until = fresh_until.max(Instant::now() + SEEK_MIN);
                break;
            }
            if Instant::now() >= seek_until {
                return;
            }
        }
        if Instant::now() >= seek_until {
            return;
        }
        time::sleep(SEEK_PAUSE).await;
    }
}

/// Time until which a node may look for its first one to follow; one that reads the store
/// meanwhile asks each node once.
fn first_seek_until(shared: &NodeState) -> Instant {
    if shared.feed.reads_store() {
        Instant::now()
    } else {
        Instant::now() + FIRST_SEEK
    }
}

/// Whether the node should read the store; one that cannot read it should not.
fn role(shared: &NodeState, views: &Views) -> ReadingRole {
    let limit_us = feed_server::silence_limit(shared).as_micros() as u64;
    let can_read = views.iter().all(|view| view.lost_us() <= limit_us);
    reading_role(shared, can_read)
}

fn reading_role(shared: &NodeState, can_read: bool) -> ReadingRole {
    let now_us = shared.clock.now_us();
    shared.peers.borrow().reading_role(now_us, can_read)
}

/// Waits until the nodes are known.
async fn start(shared: &Rc<NodeState>, views: &Views) {
    let first_start = shared.settings.first_start;
    let limit = if first_start {
        NODES_FIRST_START
    } else {
        NODES
    };
    let mut listed = shared.feed.nodes_listed.subscribe();
    let mut waits = 0;
    while time::timeout(limit, listed.wait_for(|listed| *listed))
        .await
        .is_err()
    {
        log::debug!("the nodes were not listed in time");
        waits += 1;
        if !shared.feed.store_in_doubt() || waits >= NODES_WAITS {
            break;
        }
    }
    if first_start && role(shared, views) != ReadingRole::Reader {
        time::sleep(READERS_FIRST).await;
    }
}

/// Records the end of an attempt to follow a node.
fn ended(
    shared: &NodeState,
    name: &Arc<str>,
    end: StreamEnd,
    declines: &mut HashMap<Arc<str>, u32>,
) {
    let reason = format!("{name}: {:?}", end.reason);
    if end.fresh_until.is_some() {
        // The store may be the reason; it is looked at before it is called.
        shared.feed.doubt_store(shared.clock.now_us());
        shared.feed.set_source(ChangeSource::Undecided);
        report(shared, "none", &reason);
    } else {
        log::debug!("cannot follow {reason}");
    }
    let suspect = match end.reason {
        FeedEnd::NowReader | FeedEnd::StoreAway => false,
        FeedEnd::Ended => end.fresh_until.is_none(),
        FeedEnd::Declined => {
            let count = declines.entry(name.clone()).or_default();
            *count += 1;
            *count >= DECLINES_TO_SUSPECT
        }
        FeedEnd::Foreign
        | FeedEnd::Gap
        | FeedEnd::Silent
        | FeedEnd::Undecodable
        | FeedEnd::Unreachable => true,
    };
    if suspect {
        declines.remove(name);
        let now_us = shared.clock.now_us();
        shared.peers.borrow_mut().suspect_reader(now_us, name);
    }
}

fn report(shared: &NodeState, source: &str, reason: &str) {
    shared.log(&Event::ChangeSource { reason, source });
}

/// Follows a node as long as it can be followed. It has to vouch for what it knows by
/// `vouch_by`, or shortly after it was asked.
async fn follow(
    shared: &Rc<NodeState>,
    views: &Views,
    name: &Arc<str>,
    address: SocketAddr,
    vouch_by: Instant,
) -> StreamEnd {
    let limit = feed_server::silence_limit(shared);
    let vouch_by = vouch_by.max(Instant::now() + limit / OPEN_DIVISOR);
    let opening = open(shared, views, address);
    let opened = match time::timeout(limit / OPEN_DIVISOR, opening).await {
        Ok(Ok(opened)) => opened,
        Ok(Err(reason)) => return StreamEnd::unheard(reason),
        Err(_) => return StreamEnd::unheard(FeedEnd::Silent),
    };
    let (body, _sender) = opened;
    let mut follower = Follower {
        body,
        fresh_until: vouch_by.min(Instant::now() + limit),
        limit,
        name: name.clone(),
        received: BytesMut::new(),
        review_at: Instant::now() + ROLE_REVIEW,
        shared: shared.clone(),
        views: views.clone(),
    };
    let reason = follower.run().await;
    StreamEnd {
        fresh_until: shared.feed.follows().then_some(follower.fresh_until),
        reason,
    }
}

/// Asks a node to pass changes on; the connection lasts as long as the sender.
async fn open(
    shared: &NodeState,
    views: &Views,
    address: SocketAddr,
) -> Result<(Incoming, HttpSender), FeedEnd> {
    let revisions = views::revisions(views);
    let limit = feed_server::silence_limit(shared);
    let mut sender = http_client::connect(address, limit)
        .await
        .map_err(|_| FeedEnd::Unreachable)?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(feed_protocol::FOLLOW_PATH);
    let value = feed_protocol::follow_value(&revisions).ok_or(FeedEnd::Undecodable)?;
    let headers = request.headers_mut();
    headers.insert(feed_protocol::FOLLOW, value);
    headers.insert(header::HOST, header::HeaderValue::from_static("node"));
    let response = sender
        .send_request(request)
        .await
        .map_err(|_| FeedEnd::Ended)?;
    if !response.headers().contains_key(feed_protocol::FOLLOW) {
        // The address belongs to another server by now.
        return Err(FeedEnd::Foreign);
    }
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => Err(FeedEnd::StoreAway),
        StatusCode::OK => Ok((response.into_body(), sender)),
        _ => Err(FeedEnd::Declined),
    }
}

/// The stream of one node.
struct Follower {
    body: Incoming,
    /// Time until which what is known counts as up to date.
    fresh_until: Instant,
    limit: Duration,
    name: Arc<str>,
    received: BytesMut,
    review_at: Instant,
    shared: Rc<NodeState>,
    views: Views,
}

impl Follower {
    async fn run(&mut self) -> FeedEnd {
        loop {
            match FeedMessage::decode(&mut self.received) {
                DecodedMessage::Incomplete => {}
                DecodedMessage::Malformed => return FeedEnd::Undecodable,
                DecodedMessage::Whole(message) => match self.take(message) {
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
                    }
                }
            }
        }
    }

    fn take(&mut self, message: FeedMessage) -> Option<FeedEnd> {
        match message {
            FeedMessage::Alive { age_ms } => self.alive(age_ms),
            FeedMessage::Batch(collection, batch) => self.take_batch(collection, &batch),
            FeedMessage::Snapshot {
                body,
                collection,
                revision,
            } => {
                let taken = self.view(collection)?.take_snapshot(&body, revision);
                let error = taken.err()?;
                log::warn!("cannot decode a collection from {}: {error}", self.name);
                Some(FeedEnd::Undecodable)
            }
        }
    }

    fn take_batch(&self, collection: Collection, batch: &ChangeBatch) -> Option<FeedEnd> {
        let labels = [collection.wire_name()];
        let passed_on = &self.shared.metrics.passed_on_batches;
        passed_on.with_label_values(&labels).inc();
        match self.view(collection)?.take_passed_on(batch) {
            Ok(BatchFit::Gap) => Some(FeedEnd::Gap),
            Ok(BatchFit::Known | BatchFit::Next) => None,
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

    /// The other node vouches for all that it sent.
    fn alive(&mut self, age_ms: u64) -> Option<FeedEnd> {
        let now = Instant::now();
        let fresh = self.limit.saturating_sub(Duration::from_millis(age_ms));
        self.fresh_until = now + fresh;
        if self.shared.feed.set_source(ChangeSource::Node) {
            report(&self.shared, &self.name, "follows");
            self.shared.peers.borrow_mut().followed(&self.name);
        }
        let now_us = self.shared.clock.now_us();
        let feed = &self.shared.feed;
        let answered_us = now_us.saturating_sub(age_ms.saturating_mul(1_000));
        feed.store_health.borrow_mut().answered(answered_us);
        let mut refused = false;
        for view in self.views.iter() {
            if let Some(lost_at_us) = view.regained() {
                refused = true;
                feed.outage_ended(now_us, lost_at_us);
            }
        }
        if refused {
            // The store answers the other node and not this one.
            let mut peers = self.shared.peers.borrow_mut();
            let own_name = peers.own().name.clone();
            peers.suspect_reader(now_us, &own_name);
        }
        if now < self.review_at {
            return None;
        }
        self.review_at = now + ROLE_REVIEW;
        let role = role(&self.shared, &self.views);
        (role == ReadingRole::Reader).then_some(FeedEnd::NowReader)
    }
}
