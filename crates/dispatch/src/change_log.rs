use std::collections::VecDeque;

use bytes::Bytes;

use crate::StoreRevision;

/// Maximum number of batches in a log.
const BATCHES_MAX: usize = 64;

/// Maximum size of all batches in a log.
const BYTES_MAX: usize = 512 * 1024;

/// Changes of one collection between two revisions of the store in one era.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeBatch {
    /// The changes as the store sent them, without API keys; empty if there are none.
    pub body: Bytes,
    /// Store revision before the changes.
    pub from: StoreRevision,
    /// Store revision after the changes, in the era of `from` and not below it. The same as `from` if
    /// the body adds entries that had been left out.
    pub to: StoreRevision,
}

/// How a batch relates to the revision that a node has applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchFit {
    /// Changes before the batch are missing, so it must not be applied.
    Gap,
    /// All of its changes have been applied.
    Applied,
    /// It begins at or before the applied revision and ends after it, or adds entries that were left
    /// out as of the applied revision.
    Next,
}

impl ChangeBatch {
    /// Returns how the batch relates to a node that has applied all changes up to `revision`;
    /// `None` means that the node has not read a list yet.
    #[must_use]
    pub fn fit(&self, revision: Option<StoreRevision>) -> BatchFit {
        let adds_left_out = self.from == self.to && !self.body.is_empty();
        match revision {
            Some(applied) if self.to == applied && adds_left_out => BatchFit::Next,
            Some(applied) if self.to <= applied => BatchFit::Applied,
            Some(applied) if self.from <= applied => BatchFit::Next,
            Some(_) | None => BatchFit::Gap,
        }
    }
}

/// The latest changes of a collection, without gaps.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Each batch begins at the revision at which the previous one ends.
    batches: VecDeque<ChangeBatch>,
    bytes: usize,
    /// Revision after which all changes are held; `None` before the collection was first listed.
    from: Option<StoreRevision>,
}

impl ChangeLog {
    /// Drops all changes; the next batch is expected to begin at `revision`.
    pub fn reset(&mut self, revision: StoreRevision) {
        self.batches.clear();
        self.bytes = 0;
        self.from = Some(revision);
    }

    /// Adds a batch. Drops all earlier batches if changes are missing between them and this one,
    /// and the oldest ones if the log exceeds a limit.
    pub fn push(&mut self, batch: ChangeBatch) {
        let end = self.batches.back().map(|last| last.to).or(self.from);
        if end != Some(batch.from) {
            // Changes may be missing before this batch.
            self.reset(batch.from);
        }
        self.bytes += batch.body.len();
        self.batches.push_back(batch);
        while self.batches.len() > BATCHES_MAX || self.bytes > BYTES_MAX {
            let Some(oldest) = self.batches.pop_front() else {
                return;
            };
            self.bytes -= oldest.body.len();
            self.from = Some(oldest.to);
        }
    }

    /// Returns the size of all batches.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns all changes after `revision`; `None` if some of them are no longer held.
    ///
    /// The first batch may also contain changes up to `revision`. Applying those again in
    /// order leads to the same state.
    #[must_use]
    pub fn since(&self, revision: StoreRevision) -> Option<Vec<ChangeBatch>> {
        if self.from? > revision {
            return None;
        }
        let newer = self.batches.iter().filter(|batch| batch.to > revision);
        Some(newer.cloned().collect())
    }
}
