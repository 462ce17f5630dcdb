//! Guards against followers (nodes that receive the store's changes from a peer, their reader)
//! that miss a change, and against logs that grow without limit.

use bytes::Bytes;

use wigeonhall_dispatch::BatchFit;
use wigeonhall_dispatch::ChangeBatch;
use wigeonhall_dispatch::ChangeLog;
use wigeonhall_dispatch::StoreRevision;

const fn at(number: u64) -> StoreRevision {
    StoreRevision { era: 1, number }
}

fn batch(from: u64, to: u64, bytes: usize) -> ChangeBatch {
    ChangeBatch {
        body: Bytes::from(vec![0; bytes]),
        from: at(from),
        to: at(to),
    }
}

fn ends_since(log: &ChangeLog, revision: u64) -> Option<Vec<u64>> {
    let batches = log.since(at(revision))?;
    Some(batches.iter().map(|batch| batch.to.number).collect())
}

#[test]
fn follower_gets_all_changes_after_its_revision() {
    let mut log = ChangeLog::default();
    assert_eq!(ends_since(&log, 100), None);
    log.reset(at(10));
    log.push(batch(10, 14, 5));
    log.push(batch(14, 14, 0));
    log.push(batch(14, 20, 5));
    assert_eq!(ends_since(&log, 9), None);
    assert_eq!(ends_since(&log, 10), Some(vec![14, 14, 20]));
    // A batch that begins before the revision may contain changes after it.
    assert_eq!(ends_since(&log, 12), Some(vec![14, 14, 20]));
    assert_eq!(ends_since(&log, 14), Some(vec![20]));
    assert_eq!(ends_since(&log, 99), Some(Vec::new()));
}

/// A reader whose store compacted its history lists again and continues from there. A follower
/// that applied the next batch would miss the changes in the gap and consider itself up to date.
#[test]
fn batch_after_a_gap_is_not_applied() {
    assert_eq!(batch(14, 20, 5).fit(Some(at(12))), BatchFit::Gap);
    assert_eq!(batch(14, 20, 5).fit(None), BatchFit::Gap);
    assert_eq!(batch(14, 14, 0).fit(Some(at(12))), BatchFit::Gap);
    assert_eq!(batch(14, 20, 5).fit(Some(at(14))), BatchFit::Next);
    assert_eq!(batch(14, 20, 5).fit(Some(at(19))), BatchFit::Next);
    assert_eq!(batch(14, 20, 5).fit(Some(at(20))), BatchFit::Applied);
}

#[test]
fn log_restarts_after_a_gap() {
    let mut log = ChangeLog::default();
    log.reset(at(10));
    log.push(batch(10, 14, 5));
    log.push(batch(16, 20, 5));
    assert_eq!(ends_since(&log, 15), None);
    assert_eq!(ends_since(&log, 16), Some(vec![20]));
}

#[test]
fn log_drops_its_oldest_changes_and_reports_them_as_missing() {
    let mut log = ChangeLog::default();
    log.reset(at(0));
    for revision in 0..1_000 {
        log.push(batch(revision, revision + 1, 1));
    }
    assert_eq!(ends_since(&log, 0), None);
    // The log holds at most 64 batches, and 512 KiB.
    let held = ends_since(&log, 990).unwrap();
    assert_eq!(held, (991..=1_000).collect::<Vec<u64>>());
    log.push(batch(1_000, 1_001, 10_000_000));
    assert_eq!(ends_since(&log, 1_000), None);
    assert_eq!(ends_since(&log, 1_001), Some(Vec::new()));
}

/// A store that was restored from a copy gives revisions out again: a batch with a known number may
/// hold other changes.
#[test]
fn batch_of_another_era_is_not_applied() {
    let later = StoreRevision { era: 2, number: 12 };
    assert_eq!(batch(10, 20, 5).fit(Some(later)), BatchFit::Applied);
    let restored = ChangeBatch {
        from: later,
        to: StoreRevision { era: 2, number: 20 },
        ..batch(0, 0, 5)
    };
    assert_eq!(restored.fit(Some(at(12))), BatchFit::Gap);
    assert_eq!(restored.fit(Some(at(30))), BatchFit::Gap);
    assert_eq!(restored.fit(Some(later)), BatchFit::Next);
    let mut log = ChangeLog::default();
    log.reset(at(10));
    log.push(batch(10, 14, 5));
    log.push(restored);
    assert_eq!(ends_since(&log, 14), None);
    assert_eq!(log.since(later).unwrap().len(), 1);
}
