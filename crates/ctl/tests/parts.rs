//! Texts that are stored in parts.

mod fake;

use std::fmt::Write;

use crate::fake::Fake;
use crate::fake::PutFate;
use crate::fake::TEXT;
use wigeonhall_ctl::Context;
use wigeonhall_ctl::CtlError;
use wigeonhall_ctl::Store;
use wigeonhall_ctl::apply;
use wigeonhall_ctl::diff;
use wigeonhall_ctl::history;
use wigeonhall_ctl::show;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::cut;
use wigeonhall_node::PartChange;
use wigeonhall_node::remove_unused_parts;
use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::PlatformError;
use wigeonhall_protocol::HISTORY_PREFIX;
use wigeonhall_protocol::PARTS_PREFIX;
use wigeonhall_protocol::StoredPart;
use wigeonhall_standins::ObjectStore;

const HOUR_MS: u64 = 3_600_000;

/// A text with many services and VMs; `changed` is the deadline of one service.
fn large(services: u32, changed: u32) -> String {
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
    text.replace("deadline_ms: 100", &format!("deadline_ms: {changed}"))
}

/// Objects with a prefix and the length of the largest.
fn stored(fake: &Fake, prefix: &str) -> (usize, usize) {
    let state = fake.state();
    let found = state.objects.iter().filter(|it| it.0.starts_with(prefix));
    let sizes: Vec<_> = found.map(|it| it.1.value.len()).collect();
    (sizes.len(), sizes.into_iter().max().unwrap_or(0))
}

/// Guards against a text that grows with the fleet until the store does not take it,
/// and a change that writes what the store holds.
#[test]
fn a_change_writes_few_parts_of_a_large_text() {
    let fake = Fake::default();
    apply(&fake.operator("ada"), &large(500, 100), None).unwrap();
    assert_eq!(fake.text(), large(500, 100));
    let before = stored(&fake, PARTS_PREFIX).0;
    assert!(before > 20, "{before}");
    apply(&fake.operator("ada"), &large(500, 200), None).unwrap();
    assert_eq!(fake.text(), large(500, 200));
    let after = stored(&fake, PARTS_PREFIX);
    assert!(after.0 <= before + 3, "{before} and {after:?}");
    assert!(after.1 < 20_000 && stored(&fake, "config/").1 < 100_000);
    let first = fake.state().effects[0].0;
    assert_eq!(
        show(&fake.operator("ada"), first).unwrap().text,
        large(500, 100)
    );
    let changes = diff(&fake.operator("ada"), &large(500, 100), None).unwrap();
    assert_eq!(changes.text, "~ class search: deadline_ms 200 -> 100\n");
}

/// Guards against a fleet that cannot be changed or looked at after the upgrade from a
/// release that stored the text in one object.
#[test]
fn the_old_form_is_read_and_converted() {
    let fake = Fake::default();
    let old = fake.set_old_form(TEXT);
    let operator = fake.operator("ada");
    assert_eq!(show(&operator, old).unwrap().text, TEXT);
    assert!(history(&operator, 9).unwrap().text.contains("  441  old "));
    assert_eq!(diff(&operator, TEXT, None).unwrap().text, "no difference\n");
    let applied = apply(&operator, TEXT, None).unwrap();
    assert!(applied.generation > old && applied.changes.is_empty());
    assert_eq!(fake.text(), TEXT);
    assert!(!fake.current().unwrap().0.has_unsplit_text());
    assert_eq!(show(&operator, old).unwrap().text, TEXT);
    assert_eq!(apply(&operator, TEXT, None).unwrap().change_id, None);
}

/// Guards against a part with another content that is taken for the accepted text.
#[test]
fn a_part_with_another_hash_is_not_accepted() {
    let fake = Fake::default();
    apply(&fake.operator("ada"), &large(500, 100), None).unwrap();
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

/// Guards against a change that names parts which may be gone, since its author paused
/// between writing them and having it accepted.
#[test]
fn a_change_that_took_too_long_is_not_written() {
    for later in [1, 2] {
        let fake = Fake::default();
        apply(&fake.operator("ada"), TEXT, None).unwrap();
        let operator = pausing(&fake, later);
        let error = apply(&operator, &large(1, 200), None).unwrap_err();
        let expected = if later == 1 { 5 } else { 6 };
        assert_eq!(error.exit_code(), expected, "{error}");
        assert_eq!(fake.current().unwrap().0.change_id.as_ref(), "ada-1");
    }
}

/// An operator who pauses after writing the parts, or after an update that was lost.
fn pausing(fake: &Fake, later: u32) -> Context {
    if later == 2 {
        let pause = |fake: &Fake| {
            fake.state().unix_ms += 25 * HOUR_MS;
        };
        fake.state()
            .fates
            .push_back(PutFate::Paused(Box::new(pause)));
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

/// A store over HTTP with the removal of parts, at a time in hours.
struct Parts {
    api: ObjectApi,
    fake: Fake,
    server: ObjectStore,
}

impl Parts {
    fn new() -> Self {
        let server = ObjectStore::start(([127, 0, 0, 1], 0).into()).unwrap();
        let api = ObjectApi::new(server.address(), 5_000);
        let fake = Fake::default();
        Self { api, fake, server }
    }

    fn operator(&self) -> Context {
        let mut operator = self.fake.operator("ada");
        operator.store = Some(Store::from_api(&self.api));
        operator
    }

    /// Forgets the history, as 200 later changes would.
    fn forget(&self) {
        for head in self.api.list(HISTORY_PREFIX).unwrap() {
            self.api.delete(&head.path, head.version).unwrap();
        }
    }

    fn remove(&self, hour: u64) -> Vec<PartChange> {
        remove_unused_parts(&self.api, hour * HOUR_MS, drop).unwrap()
    }

    /// Whether the store holds all parts of a text.
    fn holds(&self, text: &str) -> bool {
        let parts = cut(text);
        let path = |it: &std::sync::Arc<str>| StoredPart::path(PartHash::of(it));
        parts
            .iter()
            .all(|it| self.server.object(&path(it)).is_some())
    }
}

/// Guards against parts that fill the store, and against the deletion of a part that
/// the accepted generation or the history names.
#[test]
fn unused_parts_are_deleted_after_a_day() {
    let parts = Parts::new();
    let (first, second) = (large(1, 100), large(1, 200));
    apply(&parts.operator(), &first, None).unwrap();
    apply(&parts.operator(), &second, None).unwrap();
    assert_eq!(parts.remove(1), []);
    assert_eq!(parts.remove(1_000), []);
    parts.forget();
    assert_eq!(parts.remove(1_001), [PartChange::Marked]);
    assert_eq!(parts.remove(1_024), []);
    // Named again: the mark does not count any more.
    apply(&parts.operator(), &first, None).unwrap();
    assert_eq!(parts.remove(1_025), []);
    apply(&parts.operator(), &second, None).unwrap();
    parts.forget();
    assert_eq!(parts.remove(1_026), [PartChange::Marked]);
    assert!(parts.holds(&first));
    assert_eq!(parts.remove(1_050), [PartChange::Deleted]);
    assert!(!parts.holds(&first) && parts.holds(&second));
}

/// Guards against the deletion of an old part while a change relies on it: a removal
/// runs at every step of the change, as late as its author may be.
#[test]
fn an_old_part_survives_a_change_that_relies_on_it() {
    let (old, new) = (large(1, 100), large(1, 200));
    for step in 0..8 {
        let parts = Parts::new();
        apply(&parts.operator(), &old, None).unwrap();
        apply(&parts.operator(), &new, None).unwrap();
        parts.forget();
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
        parts.forget();
        parts.remove(25);
        parts.remove(50);
        assert!(parts.holds(&old), "removal before write {step}");
    }
}

/// Guards against a removal that deletes a part which a change writes again between the
/// decision and the deletion, and a part that is marked at that moment for good.
#[test]
fn a_rewritten_part_is_not_deleted_at_its_old_version() {
    let (old, new) = (large(1, 100), large(1, 200));
    for hour in [1, 25] {
        let parts = Parts::new();
        apply(&parts.operator(), &old, None).unwrap();
        apply(&parts.operator(), &new, None).unwrap();
        parts.forget();
        if hour == 25 {
            assert_eq!(parts.remove(1), [PartChange::Marked]);
        }
        let mut steps = 0;
        let changes = remove_unused_parts(&parts.api, hour * HOUR_MS, |_| {
            steps += 1;
            apply(&parts.operator(), &old, None).unwrap();
        });
        assert_eq!((changes, steps), (Ok(Vec::new()), 1));
        assert!(parts.holds(&old));
    }
}

/// Guards against a part that is deleted as soon as the last generation that names it
/// is gone, because of a mark that it got while a change began to rely on it.
#[test]
fn a_mark_on_a_named_part_is_taken_off() {
    let parts = Parts::new();
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

/// Guards against a change that fails, or is accepted without one of its parts, when
/// replies of the store are lost.
#[test]
fn lost_replies_to_parts_are_repeated() {
    let parts = Parts::new();
    parts.server.lose_write_replies(2);
    apply(&parts.operator(), &large(1, 100), None).unwrap();
    assert!(parts.holds(&large(1, 100)));
    let error = PlatformError::NotSent {
        reason: "down".into(),
    };
    let mut operator = parts.operator();
    let store = operator.store.as_mut().unwrap();
    store.put = Box::new(move |_, _, _| Err(error.clone()));
    assert!(apply(&operator, TEXT, None).is_err());
}
