use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::Freshness;
use wigeonhall_adapter::list_path;

use crate::change_feed::ChangeSource;
use crate::event::Event;
use crate::feed_server;
use crate::node_state::NodeState;
use crate::store_call::CallPurpose;
use crate::store_call::StoreCall;
use crate::store_client::StoreClient;

/// Time between two looks at the store.
const PERIOD: Duration = Duration::from_millis(2_500);

/// Looks within the silence limit while other nodes follow this one: what they know is as
/// fresh as the last answer.
const LOOKS_PER_LIMIT: u32 = 2;

/// Time between two looks during an outage.
const PERIOD_OUTAGE: Duration = Duration::from_millis(700);

/// The same for a node that may follow another one: the readers find the end first.
const PERIOD_OUTAGE_FOLLOWER: Duration = Duration::from_secs(3);

/// Longest time for one look.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Looks at the store from time to time, and reports when an outage has ended.
///
/// A watch that was sent while the store answered nobody stays without an answer, and
/// its connection looks sound; only another call shows the outage. A stale list of the
/// smallest collection costs a tenth of a call.
pub(crate) async fn run(shared: Rc<NodeState>) {
    let mut client = StoreClient::new(&shared);
    let look = StoreCall {
        collection: Collection::Evacuations,
        purpose: CallPurpose::Look,
    };
    let path = list_path(Collection::Evacuations, None, Freshness::Stale);
    let mut source = shared.feed.source();
    let mut listed = shared.feed.nodes_listed.subscribe();
    let mut answered_us = 0;
    let mut lost = false;
    loop {
        until_due(&mut source, &mut listed).await;
        tokio::select! {
            () = time::sleep(period(&shared, lost)) => {}
            () = shared.feed.look_due.notified() => {}
        }
        let asked_us = shared.clock.now_us();
        match client.get(look, &path, TIMEOUT).await {
            Ok(_) => {
                shared.feed.store_health.borrow_mut().answered(asked_us);
                if lost {
                    report(&shared, "answers again", "back");
                    let now_us = shared.clock.now_us();
                    shared.feed.outage_ended(now_us, answered_us);
                }
                answered_us = asked_us;
                lost = false;
            }
            Err(error) => {
                if !lost {
                    report(&shared, &error.to_string(), "lost");
                    shared.feed.store_health.borrow_mut().doubt(asked_us);
                }
                lost = true;
            }
        }
    }
}

/// Waits until the node reads the store, or starts and cannot list the nodes yet. One that
/// follows another node relies on that node's looks.
async fn until_due(source: &mut watch::Receiver<ChangeSource>, listed: &mut watch::Receiver<bool>) {
    let reads = source.wait_for(|it| *it == ChangeSource::Store);
    let starts = listed.wait_for(|listed| !*listed);
    // Their senders last as long as the process.
    tokio::select! {
        waited = reads => drop(waited),
        waited = starts => drop(waited),
    }
}

fn period(shared: &NodeState, lost: bool) -> Duration {
    let outage = lost || shared.feed.store_in_doubt();
    if outage && shared.feed.may_follow.get() {
        PERIOD_OUTAGE_FOLLOWER
    } else if outage {
        PERIOD_OUTAGE
    } else if shared.feed.has_followers() {
        feed_server::silence_limit(shared) / LOOKS_PER_LIMIT
    } else {
        PERIOD
    }
}

fn report(shared: &NodeState, reason: &str, state: &str) {
    shared.log(&Event::Dependency {
        name: "store",
        reason,
        state,
    });
}
