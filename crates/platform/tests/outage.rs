//! Calls during an outage of the store, and whether they may have taken effect.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use wigeonhall_platform::ChangeOutcome;
use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::PlatformError;
use wigeonhall_platform::VmListClient;
use wigeonhall_standins::Availability;
use wigeonhall_standins::ObjectStore;
use wigeonhall_standins::VmListServer;
use wigeonhall_types::Verdict;
use wigeonhall_types::VmState;
use wigeonhall_types::VmStatus;

fn start(timeout_ms: u64) -> (ObjectStore, ObjectApi) {
    let store = ObjectStore::start(([127, 0, 0, 1], 0).into()).unwrap();
    let api = ObjectApi::new(store.address(), timeout_ms);
    (store, api)
}

/// Waits until `arrived` watches were started and one of them is pending.
fn wait_for_watch(store: &ObjectStore, arrived: u64) {
    while store.counts().watches < arrived || store.counts().watches_pending == 0 {
        thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against a write that is reported as not run although it took effect.
#[test]
fn lost_reply_may_have_taken_effect() {
    let (store, api) = start(10_000);
    store.lose_write_replies(1);
    let error = api.put("claims/1/a", 0, "token").unwrap_err();
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    let read = api.get("claims/1/a").unwrap().unwrap();
    assert_eq!((&*read.value, read.version), ("token", 1));
    assert_eq!(store.counts().lost_replies, 1);
    assert_eq!(api.calls().errors, 1);
}

/// Guards against a write that is reported as not run after a timeout: a slow store may apply
/// it later.
#[test]
fn slow_write_takes_effect_after_its_timeout() {
    let (store, api) = start(500);
    store.set_delay_ms(1_500);
    let error = api.put("a", 0, "b").unwrap_err();
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    while store.object("a").is_none() {
        thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against a call to an address without a listener that is reported as possibly
/// executed.
#[test]
fn refused_connection_has_no_effect() {
    // Nothing listens on this port, and no ephemeral port is that low.
    let address = SocketAddr::from(([127, 0, 0, 9], 1));
    let error = ObjectApi::new(address, 10_000)
        .put("a", 0, "b")
        .unwrap_err();
    assert!(matches!(error, PlatformError::NotSent { .. }), "{error}");
    assert_eq!(error.verdict(), Verdict::NotRun);
}

/// Guards against a wrong verdict for a kind of outage.
#[test]
fn each_kind_of_outage_has_its_verdict() {
    let (store, api) = start(10_000);
    let short_timeout = ObjectApi::new(store.address(), 500);
    for (availability, api, verdict) in [
        (Availability::Rejecting, &api, Verdict::NotRun),
        (Availability::Closing, &api, Verdict::MayHaveRun),
        (Availability::Hanging, &short_timeout, Verdict::MayHaveRun),
    ] {
        store.set_availability(availability);
        let error = api.put("a", 0, "b").unwrap_err();
        assert_eq!(error.verdict(), verdict, "{availability:?}: {error}");
        assert_eq!(store.object("a"), None);
    }
    store.set_availability(Availability::Up);
    assert_eq!(
        api.put("a", 0, "b"),
        Ok(ChangeOutcome::Stored { version: 1 })
    );
}

/// Guards against a watcher that misses a change made after an outage broke its watch.
#[test]
fn watch_finds_a_change_made_after_it_broke() {
    let (store, api) = start(10_000);
    api.put("config/current", 0, "a").unwrap();
    assert_eq!(api.watch("config/current", 1, 1), Ok(None));
    assert_eq!(api.watch("absent", 0, 1), Ok(None));
    let watcher = thread::spawn({
        let api = api.clone();
        move || api.watch("config/current", 1, 60_000)
    });
    wait_for_watch(&store, 3);
    store.set_availability(Availability::Closing);
    assert!(watcher.join().unwrap().is_err());
    store.set_availability(Availability::Up);
    api.put("config/current", 1, "b").unwrap();
    let seen = api.watch("config/current", 1, 60_000).unwrap().unwrap();
    assert_eq!((&*seen.value, seen.version), ("b", 2));
}

/// Guards against a pending watch that does not return when its object changes.
#[test]
fn change_wakes_a_pending_watch() {
    let (store, api) = start(10_000);
    let watcher = thread::spawn({
        let api = api.clone();
        move || api.watch("owners/a", 0, 60_000)
    });
    wait_for_watch(&store, 1);
    api.put("other", 0, "x").unwrap();
    api.put("owners/a", 0, "table").unwrap();
    let seen = watcher.join().unwrap().unwrap().unwrap();
    assert_eq!((&*seen.value, seen.version), ("table", 2));
}

/// Guards against a VM list stand-in that shows changes without the platform's lag, which
/// would hide faults in code that uses the list.
#[test]
fn vm_list_lags() {
    let vm = |name: &str, state| VmStatus {
        name: name.into(),
        state,
    };
    let before = vec![vm("entry-1", VmState::Live), vm("entry-2", VmState::Live)];
    let after = vec![vm("entry-1", VmState::Leaving)];
    let server =
        VmListServer::start(([127, 0, 0, 1], 0).into(), 3_600_000, before.clone()).unwrap();
    let list = VmListClient::new(server.address(), 10_000);
    server.set_vms(after.clone());
    assert_eq!(list.read(), Ok(before));
    server.set_lag_ms(0);
    assert_eq!(list.read(), Ok(after));
    server.set_down(true);
    assert!(list.read().is_err());
}
