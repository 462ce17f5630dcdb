use std::collections::VecDeque;
use std::sync::Arc;

use crate::Decision;
use crate::Explanation;
use crate::Subject;

/// Longest text of a decision, in bytes; longer texts are truncated.
const MAX_TEXT_BYTES: usize = 200;

/// The latest decisions of one node, in bounded memory.
///
/// Decisions on requests and decisions on replicas alone are kept in separate buffers, so that
/// a burst of requests does not evict the reasons for a replica's change of state. An entry
/// takes at most about 1 kB.
#[derive(Clone, Debug)]
pub struct DecisionTrace {
    replicas: RingBuffer,
    requests: RingBuffer,
}

#[derive(Clone, Debug)]
struct RingBuffer {
    capacity: usize,
    /// Entries in order of time, at most `capacity`.
    entries: VecDeque<Entry>,
    /// Number of entries that were evicted because the buffer was full.
    forgotten: u64,
}

/// A decision on a request, a replica or both.
#[derive(Clone, Debug)]
struct Entry {
    at_us: u64,
    reason: Arc<str>,
    replica: Option<Arc<str>>,
    request: Option<Arc<str>>,
    /// Decision in words.
    what: Arc<str>,
}

impl DecisionTrace {
    /// Creates a trace that keeps up to `request_capacity` decisions on requests and up to
    /// `replica_capacity` decisions on replicas.
    #[must_use]
    pub const fn new(request_capacity: usize, replica_capacity: usize) -> Self {
        Self {
            replicas: RingBuffer::new(replica_capacity),
            requests: RingBuffer::new(request_capacity),
        }
    }

    /// Records a decision on a request, and on a replica if it concerns one.
    pub fn record_request(
        &mut self,
        now_us: u64,
        request: &Arc<str>,
        replica: Option<&Arc<str>>,
        what: &str,
        reason: &str,
    ) {
        self.requests.push(Entry {
            at_us: now_us,
            reason: truncate(reason),
            replica: replica.cloned(),
            request: Some(truncate_shared(request)),
            what: truncate(what),
        });
    }

    /// Records a decision on a replica that does not result from a single request.
    pub fn record_replica(&mut self, now_us: u64, replica: &Arc<str>, what: &str, reason: &str) {
        self.replicas.push(Entry {
            at_us: now_us,
            reason: truncate(reason),
            replica: Some(Arc::clone(replica)),
            request: None,
            what: truncate(what),
        });
    }

    /// Returns the recorded decisions on `subject`. For a replica, these include decisions on
    /// requests, but `forgotten` counts only evicted decisions on replicas alone.
    #[must_use]
    pub fn explain(&self, now_us: u64, node: &Arc<str>, subject: &Subject) -> Explanation {
        let (mut entries, forgotten) = match subject {
            Subject::Replica(name) => (
                matching_entries(&self.replicas, |it| it.replica.as_ref() == Some(name))
                    .chain(matching_entries(&self.requests, |it| {
                        it.replica.as_ref() == Some(name)
                    }))
                    .collect::<Vec<_>>(),
                self.replicas.forgotten,
            ),
            Subject::Request(id) => {
                let id = truncate_shared(id);
                let found = matching_entries(&self.requests, |it| it.request.as_ref() == Some(&id));
                (found.collect(), self.requests.forgotten)
            }
        };
        entries.sort_by_key(|entry| entry.at_us);
        Explanation {
            decisions: entries.iter().map(|it| it.decision(now_us)).collect(),
            forgotten,
            node: Arc::clone(node),
        }
    }
}

impl RingBuffer {
    const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: VecDeque::new(),
            forgotten: 0,
        }
    }

    fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
        if self.entries.len() > self.capacity {
            self.entries.pop_front();
            self.forgotten += 1;
        }
    }
}

impl Entry {
    fn decision(&self, now_us: u64) -> Decision {
        Decision {
            age_us: now_us.saturating_sub(self.at_us),
            reason: Arc::clone(&self.reason),
            replica: self.replica.clone(),
            request: self.request.clone(),
            what: Arc::clone(&self.what),
        }
    }
}

fn matching_entries(
    ring: &RingBuffer,
    wanted: impl Fn(&Entry) -> bool,
) -> impl Iterator<Item = &Entry> {
    ring.entries.iter().filter(move |entry| wanted(entry))
}

fn truncate(text: &str) -> Arc<str> {
    Arc::from(&text[..text.floor_char_boundary(MAX_TEXT_BYTES)])
}

fn truncate_shared(text: &Arc<str>) -> Arc<str> {
    if text.len() <= MAX_TEXT_BYTES {
        return Arc::clone(text);
    }
    truncate(text)
}
