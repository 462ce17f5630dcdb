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

use wigeonhall_dispatch::BatchFit;
use wigeonhall_dispatch::ReadingRole;

use crate::change_feed::ChangeSource;
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

/// Time after the list of the nodes that a follower leaves to the readers while the whole
/// tier starts: a reader can be followed only from the revision at which it began.
const READERS_FIRST: Duration = Duration::from_millis(400);

/// Time for a list, or for a look at what is new.
const LISTS: Duration = Duration::from_millis(1_500);

/// Time after which a node asks again whether it can follow another.
const REVIEW: Duration = Duration::from_millis(1_500);

/// Rounds in which a node looks for one to follow; after a failed one others are chosen.
const ROUNDS: usize = 2;

/// Time after an outage of the store that readers get to catch up.
const READERS_BACK: Duration = Duration::from_millis(200);

/// Time after which a node that follows another looks whether it should read itself.
const ROLE_REVIEW: Duration = Duration::from_secs(5);

/// Why a node does not follow another one, or not any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FeedEnd {
    /// The other node does not hold all changes that this one lacks.
    Behind,
    /// The other node does not read the store.
    Declined,
    /// The connection ended.
    Ended,
    /// Changes are missing before those that were passed on.
    Gap,
    /// This node is to read the store.
    NowReader,
    /// Nothing was heard within the silence limit.
    Silent,
    /// A message or a change could not be decoded.
    Undecodable,
}

/// Follows a node that reads the store, or lets this node read it, until the process ends.
pub(crate) async fn run(shared: Rc<NodeState>, views: Views) {
    start(&shared, &views).await;
    let mut outage_ended = shared.feed.outage_began_us.subscribe();
    loop {
        for _ in 0..ROUNDS {
            let role = role(&shared, &views);
            shared.feed.may_follow.set(role != ReadingRole::Reader);
            if let ReadingRole::Follower(sources) = role
                && follow_one(&shared, &views, sources).await
            {
                break;
            }
        }
        if shared.feed.set_source(ChangeSource::Store) {
            report(&shared, "store", "no node to follow");
        }
        tokio::select! {
            () = time::sleep(REVIEW.mul_f64(0.75 + 0.5 * fastrand::f64())) => {}
            _ = outage_ended.changed() => {
                time::sleep(READERS_BACK.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
}

/// Whether the node should read the store; one that cannot read it should not.
fn role(shared: &NodeState, views: &Views) -> ReadingRole {
    let now_us = shared.clock.now_us();
    let limit_us = feed_server::silence_limit(shared).as_micros() as u64;
    let mut peers = shared.peers.borrow_mut();
    if views.iter().any(|view| view.lost_us() > limit_us) {
        let own_name = peers.own().name.clone();
        peers.suspect_reader(now_us, &own_name);
    }
    peers.reading_role(now_us)
}

/// Follows the first node that can be followed; returns whether there was one, after its
/// stream has ended.
async fn follow_one(
    shared: &Rc<NodeState>,
    views: &Views,
    sources: Vec<(Arc<str>, SocketAddr)>,
) -> bool {
    for (name, address) in sources {
        let mut end = follow(shared, views, &name, address).await;
        if end == FeedEnd::Behind {
            views::catch_up_within(shared, views, LISTS).await;
            end = follow(shared, views, &name, address).await;
        }
        if ended(shared, &name, end) {
            return true;
        }
    }
    false
}

/// Waits until the nodes are known, and reads the collections once.
async fn start(shared: &Rc<NodeState>, views: &Views) {
    let first_start = shared.settings.first_start;
    let limit = if first_start {
        NODES_FIRST_START
    } else {
        NODES
    };
    let mut listed = shared.feed.nodes_listed.subscribe();
    if time::timeout(limit, listed.wait_for(|listed| *listed))
        .await
        .is_err()
    {
        log::debug!("the nodes were not listed in time");
    }
    if role(shared, views) == ReadingRole::Reader {
        return;
    }
    if first_start {
        time::sleep(READERS_FIRST).await;
    }
    shared.feed.set_source(ChangeSource::Listing);
    if views::read_within(views, LISTS).await.is_none() {
        log::debug!("the collections were not read in time");
    }
}

/// Lets the node read the store again after a stream ended; returns whether it had been
/// following.
fn ended(shared: &NodeState, name: &Arc<str>, end: FeedEnd) -> bool {
    if end != FeedEnd::NowReader {
        let now_us = shared.clock.now_us();
        shared.peers.borrow_mut().suspect_reader(now_us, name);
    }
    let reason = format!("{name}: {end:?}");
    if !shared.feed.follows() {
        log::debug!("cannot follow {reason}");
        return false;
    }
    // An outage of the store ends the streams of all readers at once.
    shared.feed.doubt_store(shared.clock.now_us());
    shared.feed.set_source(ChangeSource::Store);
    report(shared, "store", &reason);
    true
}

fn report(shared: &NodeState, source: &str, reason: &str) {
    shared.log(&Event::ChangeSource { reason, source });
}

/// Follows a node as long as it can be followed.
async fn follow(
    shared: &Rc<NodeState>,
    views: &Views,
    name: &Arc<str>,
    address: SocketAddr,
) -> FeedEnd {
    let limit = feed_server::silence_limit(shared);
    let opened = match time::timeout(limit, open(shared, views, address)).await {
        Ok(Ok(opened)) => opened,
        Ok(Err(end)) => return end,
        Err(_) => return FeedEnd::Silent,
    };
    let (body, _sender) = opened;
    let mut follower = Follower {
        body,
        fresh_until: Instant::now() + limit,
        limit,
        name: name.clone(),
        received: BytesMut::new(),
        review_at: Instant::now() + ROLE_REVIEW,
        shared: shared.clone(),
        views: views.clone(),
    };
    follower.run().await
}

/// Asks a node to pass changes on; the connection lasts as long as the sender.
async fn open(
    shared: &NodeState,
    views: &Views,
    address: SocketAddr,
) -> Result<(Incoming, HttpSender), FeedEnd> {
    let revisions = views::revisions(views).ok_or(FeedEnd::Declined)?;
    let limit = feed_server::silence_limit(shared);
    let mut sender = http_client::connect(address, limit)
        .await
        .map_err(|_| FeedEnd::Ended)?;
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
        return Err(FeedEnd::Declined);
    }
    match response.status() {
        StatusCode::GONE => Err(FeedEnd::Behind),
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
            FeedMessage::Batch(collection, batch) => {
                let view = self
                    .views
                    .iter()
                    .find(|view| view.collection == collection)?;
                view.count("passed_on");
                match view.take_passed_on(&batch) {
                    Ok(BatchFit::Gap) => Some(FeedEnd::Gap),
                    Ok(BatchFit::Known | BatchFit::Next) => None,
                    Err(error) => {
                        log::warn!("cannot decode changes from {}: {error}", self.name);
                        Some(FeedEnd::Undecodable)
                    }
                }
            }
        }
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
        let answered_us = now_us.saturating_sub(age_ms * 1_000);
        feed.store_health.borrow_mut().answered(answered_us);
        for view in self.views.iter() {
            if let Some(lost_at_us) = view.regained() {
                feed.outage_ended(now_us, lost_at_us);
            }
        }
        if now < self.review_at {
            return None;
        }
        self.review_at = now + ROLE_REVIEW;
        let role = role(&self.shared, &self.views);
        (role == ReadingRole::Reader).then_some(FeedEnd::NowReader)
    }
}
