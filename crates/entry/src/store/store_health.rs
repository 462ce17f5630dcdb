//! Checks whether the store answers, while this node reads it.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

use wigeonhall_adapter::Collection;
use wigeonhall_adapter::Freshness;
use wigeonhall_adapter::list_path;

use crate::peers::change_feed::ChangeSource;
use crate::peers::feed_server;
use crate::process::event::Event;
use crate::process::node_state::NodeState;
use crate::store::store_call::CallPurpose;
use crate::store::store_call::StoreCall;
use crate::store::store_client::StoreClient;

/// Interval between health checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(2_500);

/// Health checks within the silence limit, the time for which followers wait for a message, while
/// peers follow this node: their copies count as current only as of the last successful check.
const CHECKS_PER_SILENCE_LIMIT: u32 = 2;

/// Checks the health of the store periodically and records the end of an outage.
///
/// A watch that was sent while the store answered no calls is never answered, and its
/// connection looks healthy; only another call reveals the outage. A stale list of the smallest
/// collection costs a tenth of an ordinary call.
pub(crate) async fn run(shared: Rc<NodeState>) {
    let mut client = StoreClient::new(&shared);
    let check = StoreCall {
        collection: Collection::Evacuations,
        purpose: CallPurpose::HealthCheck,
    };
    let path = list_path(Collection::Evacuations, None, Freshness::Stale);
    let mut source = shared.feed.source();
    let mut listed = shared.feed.nodes_listed.subscribe();
    let mut last_success_sent_us = 0;
    let mut last_failure_sent_us = 0;
    let mut sent_us = 0;
    let mut unavailable = false;
    loop {
        wait_until_responsible(&mut source, &mut listed).await;
        tokio::select! {
            () = time::sleep(check_pause(&shared, unavailable, sent_us)) => {}
            () = shared.feed.health_check_due.notified() => {}
        }
        sent_us = shared.clock.now_us();
        let timeout = Duration::from_millis(shared.recovery_times().check_timeout_ms());
        // The entries don't matter, whatever their number and size.
        let discard = &mut |_: &[u8]| Ok(0);
        match client.read_items(check, &path, timeout, discard).await {
            Ok(response) => {
                if let Some(era) = response.era {
                    shared.observe_era(era);
                }
                shared
                    .feed
                    .store_health
                    .borrow_mut()
                    .record_response(shared.clock.now_us(), sent_us);
                if unavailable {
                    let now_us = shared.clock.now_us();
                    let failed_ms = (now_us - last_failure_sent_us) / 1_000;
                    let reason = format!("answers again, last failed check {failed_ms} ms ago");
                    log_store_state(&shared, &reason, "back");
                    shared.feed.record_outage_end(now_us, last_success_sent_us);
                }
                last_success_sent_us = sent_us;
                unavailable = false;
            }
            Err(error) => {
                last_failure_sent_us = sent_us;
                if !unavailable {
                    log_store_state(&shared, &error.to_string(), "lost");
                    shared
                        .feed
                        .store_health
                        .borrow_mut()
                        .suspect_outage(sent_us);
                }
                unavailable = true;
            }
        }
    }
}

/// Waits until the node should check the store: while it reads the store, or hasn't listed the
/// nodes yet after its start. A follower relies on the checks of the peer that it follows.
async fn wait_until_responsible(
    source: &mut watch::Receiver<ChangeSource>,
    listed: &mut watch::Receiver<bool>,
) {
    let reading = source.wait_for(|it| *it == ChangeSource::Store);
    let starting = listed.wait_for(|listed| !*listed);
    // Never fails: the senders live as long as the process.
    tokio::select! {
        waited = reading => drop(waited),
        waited = starting => drop(waited),
    }
}

/// Returns the pause before the next health check, after one that was sent at `sent_us`.
///
/// In an outage a node that may follow a peer checks more rarely: the readers, from which other
/// nodes receive the store's changes, detect the end first.
fn check_pause(shared: &NodeState, unavailable: bool, sent_us: u64) -> Duration {
    let outage = unavailable || shared.feed.is_store_outage_suspected();
    let times = shared.recovery_times();
    if outage && shared.feed.may_follow.get() {
        let elapsed_ms = (shared.clock.now_us() - sent_us) / 1_000;
        Duration::from_millis(times.follower_check_pause_ms(elapsed_ms))
    } else if outage {
        Duration::from_millis(times.check_pause_ms())
    } else if shared.feed.has_followers() {
        feed_server::silence_limit(shared) / CHECKS_PER_SILENCE_LIMIT
    } else {
        CHECK_INTERVAL
    }
}

fn log_store_state(shared: &NodeState, reason: &str, state: &str) {
    shared.log(&Event::Dependency {
        name: "store",
        reason,
        state,
    });
}
