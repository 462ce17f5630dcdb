//! Conditional updates, deletes and lists against the stand-in store.

use wigeonhall_platform::ChangeOutcome;
use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::ObjectHead;
use wigeonhall_platform::PlatformError;
use wigeonhall_platform::StoredObject;
use wigeonhall_standins::ObjectStore;
use wigeonhall_types::Verdict;

fn start() -> (ObjectStore, ObjectApi) {
    let store = ObjectStore::start(([127, 0, 0, 1], 0).into()).unwrap();
    let api = ObjectApi::new(store.address(), 10_000);
    (store, api)
}

fn object(value: &str, version: u64) -> StoredObject {
    StoredObject {
        value: value.into(),
        version,
    }
}

/// Guards against an update that overwrites a change its writer has not seen.
#[test]
fn conflicting_update_changes_nothing() {
    let (store, api) = start();
    let stored = |version| Ok(ChangeOutcome::Stored { version });
    assert_eq!(api.put("config/current", 0, "a"), stored(1));
    let conflict = ChangeOutcome::Conflict(Some(object("a", 1)));
    assert_eq!(api.put("config/current", 0, "b"), Ok(conflict.clone()));
    assert_eq!(api.put("config/current", 7, "b"), Ok(conflict));
    assert_eq!(api.put("absent", 3, "b"), Ok(ChangeOutcome::Conflict(None)));
    assert_eq!(api.get("config/current"), Ok(Some(object("a", 1))));
    assert_eq!(api.put("config/current", 1, "b"), stored(2));
    assert_eq!(store.counts().conflicts, 3);
    assert_eq!(api.calls().puts, 5);
}

/// Guards against a version that repeats after an object was deleted, which would
/// let a stale writer succeed.
#[test]
fn recreated_object_has_a_new_version() {
    let (_store, api) = start();
    api.put("claims/1/x", 0, "a").unwrap();
    let conflict = ChangeOutcome::Conflict(Some(object("a", 1)));
    assert_eq!(api.delete("claims/1/x", 2), Ok(conflict));
    let deleted = ChangeOutcome::Stored { version: 2 };
    assert_eq!(api.delete("claims/1/x", 1), Ok(deleted));
    assert_eq!(
        api.delete("claims/1/x", 0),
        Ok(ChangeOutcome::Conflict(None))
    );
    assert_eq!(api.get("claims/1/x"), Ok(None));
    let recreated = ChangeOutcome::Stored { version: 3 };
    assert_eq!(api.put("claims/1/x", 0, "a"), Ok(recreated));
}

/// Guards against characters in a path that have a meaning in a URL and would change the path.
#[test]
fn any_text_is_valid_in_a_path() {
    let (_store, api) = start();
    let paths = ["c/../b?x=1&y#z", "c/%2e%2e/é ü+", "c/../../../d"];
    for (path, version) in paths.iter().zip(1..) {
        assert_eq!(
            api.put(path, 0, path),
            Ok(ChangeOutcome::Stored { version })
        );
    }
    for (path, version) in paths.iter().zip(1..) {
        assert_eq!(api.get(path), Ok(Some(object(path, version))));
    }
    let mut heads = paths
        .iter()
        .zip(1..)
        .map(|(&path, version)| ObjectHead {
            path: path.into(),
            version,
        })
        .collect::<Vec<_>>();
    heads.sort();
    assert_eq!(api.list("c/"), Ok(heads));
    assert_eq!(api.list("d/"), Ok(Vec::new()));
}

/// Guards against sending a value that is larger than the store accepts.
#[test]
fn oversized_value_is_not_sent() {
    let (store, api) = start();
    // The largest value, of a character that takes six bytes in a JSON string.
    let largest = "\u{1}".repeat(1_000_000);
    api.put("large", 0, &largest).unwrap();
    assert_eq!(&*api.get("large").unwrap().unwrap().value, largest);
    let error = api.put("larger", 0, &(largest + "x")).unwrap_err();
    assert_eq!(
        error,
        PlatformError::TooLarge {
            size_bytes: 1_000_001
        }
    );
    assert_eq!(error.verdict(), Verdict::NotRun);
    assert_eq!(store.counts().puts, 1);
}
