//! Tests of texts that are stored in parts, one object each, and of the removal of unused parts.

mod fake;

use std::fmt::Write;

use crate::fake::FakeCluster;
use crate::fake::PutFault;
use crate::fake::TEXT;
use wigeonhall_ctl::Context;
use wigeonhall_ctl::CtlError;
use wigeonhall_ctl::Store;
use wigeonhall_ctl::apply;
use wigeonhall_ctl::diff;
use wigeonhall_ctl::history;
use wigeonhall_ctl::show;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::split_text;
use wigeonhall_node::PartChange;
use wigeonhall_node::remove_unused_parts;
use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::PlatformError;
use wigeonhall_protocol::HISTORY_PREFIX;
use wigeonhall_protocol::PARTS_PREFIX;
use wigeonhall_protocol::StoredPart;
use wigeonhall_standins::ObjectStore;

const HOUR_MS: u64 = 3_600_000;

/// Returns a text with `services` additional services of 8 replicas each, and with this
/// deadline of the class `search`.
fn large_text(services: u32, deadline_ms: u32) -> String {
    let mut text = TEXT.replace("depends_on: [shard]", "depends_on: [shard, s-0]");
    let mut entries = String::new();
    for it in 0..services {
        write!(entries, "  s-{it}:\n    replicas:\n").unwrap();
        for replica in 0..8 {
            let at = it * 8 + replica;
            let (a, b, port) = (at >> 16, at >> 8 & 255, 1000 + (at & 255));
            writeln!(entries, "      r{at}: north 127.{}.{b}.2:{port}", a + 1).unwrap();
        }
    }
    text = text.replace("vms:\n", &format!("{entries}vms:\n"));
    text.replace("deadline_ms: 100", &format!("deadline_ms: {deadline_ms}"))
}

/// Returns the number of objects with a prefix and the size of the largest.
fn stored_count_and_max_size(fake: &FakeCluster, prefix: &str) -> (usize, usize) {
    let state = fake.state();
    let found = state.objects.iter().filter(|it| it.0.starts_with(prefix));
    let sizes: Vec<_> = found.map(|it| it.1.value.len()).collect();
    (sizes.len(), sizes.into_iter().max().unwrap_or(0))
}

/// Guards against a text that grows with the fleet until the store rejects it, and against
/// a change that writes parts which the store holds already.
#[test]
fn change_of_large_text_writes_few_parts() {
    let fake = FakeCluster::default();
    apply(&fake.operator("ada"), &large_text(500, 100), None).unwrap();
    assert_eq!(fake.text(), large_text(500, 100));
    let before = stored_count_and_max_size(&fake, PARTS_PREFIX).0;
    // Enough parts that a change which rewrites all of them is noticed.
    assert!(before > 20, "{before}");
    apply(&fake.operator("ada"), &large_text(500, 200), None).unwrap();
    assert_eq!(fake.text(), large_text(500, 200));
    let after = stored_count_and_max_size(&fake, PARTS_PREFIX);
    assert!(after.0 <= before + 3, "{before} and {after:?}");
    // Objects must stay far below the store's limit of 1 MB.
    assert!(after.1 < 20_000 && stored_count_and_max_size(&fake, "config/").1 < 100_000);
    let first_generation = fake.state().effects[0].0;
    assert_eq!(
        show(&fake.operator("ada"), first_generation).unwrap().text,
        large_text(500, 100)
    );
    let changes = diff(&fake.operator("ada"), &large_text(500, 100), None).unwrap();
    assert_eq!(changes.text, "~ class search: deadline_ms 200 -> 100\n");
}

/// Guards against a stored configuration with an unsplit text, as older releases wrote it, that
/// cannot be read or changed.
#[test]
fn unsplit_text_is_read_and_converted() {
    let fake = FakeCluster::default();
    let old = fake.store_unsplit_text(TEXT);
    let operator = fake.operator("ada");
    assert_eq!(show(&operator, old).unwrap().text, TEXT);
    // 441 is the length of `TEXT` in bytes, and `old` the author.
    assert!(history(&operator, 9).unwrap().text.contains("  441  old "));
    assert_eq!(diff(&operator, TEXT, None).unwrap().text, "no difference\n");
    let applied = apply(&operator, TEXT, None).unwrap();
    assert!(applied.generation > old && applied.changes.is_empty());
    assert_eq!(fake.text(), TEXT);
    assert!(!fake.current().unwrap().0.has_unsplit_text());
    assert_eq!(show(&operator, old).unwrap().text, TEXT);
    assert_eq!(apply(&operator, TEXT, None).unwrap().change_id, None);
}

/// Guards against accepting a part whose content does not match its hash.
#[test]
fn part_with_wrong_hash_is_rejected() {
    let fake = FakeCluster::default();
    apply(&fake.operator("ada"), &large_text(500, 100), None).unwrap();
    let path = {
        let state = fake.state();
        let mut parts = state
            .objects
            .keys()
            .filter(|it| it.starts_with(PARTS_PREFIX));
        parts.next().unwrap().clone()
    };
    let value = serde_json::to_string(&StoredPart::new("vms:\n".into())).unwrap();
    fake.state().objects.get_mut(&path).unwrap().value = value.into();
    let error = diff(&fake.operator("ada"), TEXT, None).unwrap_err();
    assert!(matches!(error, CtlError::InvalidObject { path: at, .. } if at == path));
}

/// Guards against a change that names parts which may have been deleted, because the
/// command paused between writing the parts and sending the update.
#[test]
fn change_with_expired_parts_is_not_written() {
    for step in [1, 2] {
        let fake = FakeCluster::default();
        apply(&fake.operator("ada"), TEXT, None).unwrap();
        let operator = pausing_operator(&fake, step);
        let error = apply(&operator, &large_text(1, 200), None).unwrap_err();
        // 5: nothing was changed; 6: it is not known whether the change was accepted.
        let expected = if step == 1 { 5 } else { 6 };
        assert_eq!(error.exit_code(), expected, "{error}");
        assert_eq!(fake.current().unwrap().0.change_id.as_ref(), "ada-1");
    }
}

/// Returns an operator whose command pauses after writing the parts if `step` is 1, or after an
/// update that was lost if `step` is 2. The pause of 25 h is longer than unused parts are kept (24
/// h).
fn pausing_operator(fake: &FakeCluster, step: u32) -> Context {
    if step == 2 {
        let pause = |fake: &FakeCluster| {
            fake.state().unix_ms += 25 * HOUR_MS;
        };
        fake.state()
            .put_faults
            .push_back(PutFault::RequestLostThen(Box::new(pause)));
        return fake.operator("eve");
    }
    let mut operator = fake.operator("eve");
    let Store {
        delete,
        get,
        get_many,
        list,
        put,
    } = operator.store.take().unwrap();
    let fake = fake.clone();
    let put = Box::new(move |path: &str, version, value: &str| {
        if path.starts_with(PARTS_PREFIX) {
            fake.state().unix_ms += 25 * HOUR_MS;
        }
        put(path, version, value)
    });
    operator.store = Some(Store {
        delete,
        get,
        get_many,
        list,
        put,
    });
    operator
}

/// A store over HTTP from which unused parts can be removed at a given hour.
struct PartsStore {
    api: ObjectApi,
    fake: FakeCluster,
    server: ObjectStore,
}

impl PartsStore {
    fn new() -> Self {
        let server = ObjectStore::start(([127, 0, 0, 1], 0).into()).unwrap();
        let api = ObjectApi::new(server.address(), 5_000);
        let fake = FakeCluster::default();
        Self { api, fake, server }
    }

    fn operator(&self) -> Context {
        let mut operator = self.fake.operator("ada");
        operator.store = Some(Store::from_api(&self.api));
        operator
    }

    /// Deletes the history, as `HISTORY_KEPT` later changes would.
    fn delete_history(&self) {
        for head in self.api.list(HISTORY_PREFIX).unwrap() {
            self.api.delete(&head.path, head.version).unwrap();
        }
    }

    /// Removes unused parts as of this hour since the Unix epoch. Nothing is called before a
    /// change.
    fn remove(&self, hour: u64) -> Vec<PartChange> {
        remove_unused_parts(&self.api, hour * HOUR_MS, drop).unwrap()
    }

    /// Returns whether the store holds all parts of a text.
    fn holds(&self, text: &str) -> bool {
        let parts = split_text(text);
        let path = |it: &std::sync::Arc<str>| StoredPart::path(PartHash::of(it));
        parts
            .iter()
            .all(|it| self.server.object(&path(it)).is_some())
    }
}

/// Guards against unused parts that fill the store, and against the deletion of a part
/// that the accepted generation or the history names.
#[test]
fn unused_parts_are_deleted_after_a_day() {
    let parts = PartsStore::new();
    let (first, second) = (large_text(1, 100), large_text(1, 200));
    apply(&parts.operator(), &first, None).unwrap();
    apply(&parts.operator(), &second, None).unwrap();
    assert_eq!(parts.remove(1), []);
    assert_eq!(parts.remove(1_000), []);
    parts.delete_history();
    assert_eq!(parts.remove(1_001), [PartChange::Marked]);
    assert_eq!(parts.remove(1_024), []);
    // The change writes the part again, which removes the mark.
    apply(&parts.operator(), &first, None).unwrap();
    assert_eq!(parts.remove(1_025), []);
    apply(&parts.operator(), &second, None).unwrap();
    parts.delete_history();
    assert_eq!(parts.remove(1_026), [PartChange::Marked]);
    assert!(parts.holds(&first));
    assert_eq!(parts.remove(1_050), [PartChange::Deleted]);
    assert!(!parts.holds(&first) && parts.holds(&second));
}

/// Guards against the deletion of a part marked as unused while a change relies on it. In each
/// round, a removal runs before another write of the change, 24 h after the mark, which is as late
/// as the command may still be running. A change has fewer than 8 writes.
#[test]
fn part_in_use_by_a_change_is_not_deleted() {
    let (old, new) = (large_text(1, 100), large_text(1, 200));
    for step in 0..8 {
        let parts = PartsStore::new();
        apply(&parts.operator(), &old, None).unwrap();
        apply(&parts.operator(), &new, None).unwrap();
        parts.delete_history();
        assert_eq!(parts.remove(1), [PartChange::Marked]);
        let mut operator = parts.operator();
        let Store {
            delete,
            get,
            get_many,
            list,
            put,
        } = operator.store.take().unwrap();
        let api = parts.api.clone();
        let calls = std::cell::Cell::new(0);
        let put = Box::new(move |path: &str, version, value: &str| {
            if calls.replace(calls.get() + 1) == step {
                remove_unused_parts(&api, 25 * HOUR_MS, drop).unwrap();
            }
            put(path, version, value)
        });
        operator.store = Some(Store {
            delete,
            get,
            get_many,
            list,
            put,
        });
        apply(&operator, &old, None).unwrap();
        assert!(parts.holds(&old), "removal before write {step}");
        parts.delete_history();
        parts.remove(25);
        parts.remove(50);
        assert!(parts.holds(&old), "removal before write {step}");
    }
}

/// Guards against a removal that deletes or marks a part which a change writes again
/// between the decision and the deletion or the mark.
#[test]
fn rewritten_part_is_not_deleted_at_old_version() {
    let (old, new) = (large_text(1, 100), large_text(1, 200));
    // At hour 1 the part is marked, at hour 25 it is deleted.
    for hour in [1, 25] {
        let parts = PartsStore::new();
        apply(&parts.operator(), &old, None).unwrap();
        apply(&parts.operator(), &new, None).unwrap();
        parts.delete_history();
        if hour == 25 {
            assert_eq!(parts.remove(1), [PartChange::Marked]);
        }
        let mut rewrites = 0;
        let changes = remove_unused_parts(&parts.api, hour * HOUR_MS, |_| {
            rewrites += 1;
            apply(&parts.operator(), &old, None).unwrap();
        });
        assert_eq!((changes, rewrites), (Ok(Vec::new()), 1));
        assert!(parts.holds(&old));
    }
}

/// Guards against a part that is deleted as soon as the last generation that names it is
/// gone, because it was marked as unused while a change began to rely on it.
#[test]
fn unused_mark_is_removed_from_a_named_part() {
    let parts = PartsStore::new();
    apply(&parts.operator(), TEXT, None).unwrap();
    let head = parts.api.list(PARTS_PREFIX).unwrap().remove(0);
    let marked = StoredPart {
        text: TEXT.into(),
        unused_since_ms: Some(HOUR_MS),
    };
    let value = serde_json::to_string(&marked).unwrap();
    parts.api.put(&head.path, head.version, &value).unwrap();
    assert_eq!(parts.remove(2), [PartChange::Unmarked]);
    assert_eq!(parts.remove(100), []);
}

/// Guards against a change that fails, or that is accepted without one of its parts, when
/// replies of the store are lost.
#[test]
fn part_writes_are_retried_after_lost_replies() {
    let parts = PartsStore::new();
    parts.server.lose_write_replies(2);
    apply(&parts.operator(), &large_text(1, 100), None).unwrap();
    assert!(parts.holds(&large_text(1, 100)));
    let error = PlatformError::NotSent {
        reason: "down".into(),
    };
    let mut operator = parts.operator();
    let store = operator.store.as_mut().unwrap();
    store.put = Box::new(move |_, _, _| Err(error.clone()));
    assert!(apply(&operator, TEXT, None).is_err());
}
