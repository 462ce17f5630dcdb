//! Collects the parts of a gather's legs on this node, as a stream of messages. A leg is the
//! request to one shard, and its part is what a replica returned for it.

use std::collections::BTreeSet;

use futures::Stream;
use futures::stream;

use wigeonhall_dispatch::LegState;
use wigeonhall_dispatch::Outcome;

use crate::requests::group_parts::GroupHead;
use crate::requests::group_parts::GroupParts;
use crate::requests::query::Query;

/// The legs of a gather that this node collects.
struct Group {
    /// Whether the first message was produced.
    first_sent: bool,
    /// For each leg of `query`, its index in the route.
    legs: Vec<usize>,
    query: Query,
    sent_legs: BTreeSet<usize>,
    /// Number of records in the answer to the caller.
    top_records: usize,
}

/// Collects the parts of the given legs: first those available at the soft deadline, from which
/// an incomplete answer is enough, or when no more can arrive, then each later one as it arrives.
///
/// The records of the parts are merged to the `top_records` greatest.
///
/// Dropping the stream before its first item cancels its sub-requests.
pub(crate) fn collect(
    query: Query,
    legs: Vec<usize>,
    top_records: usize,
) -> impl Stream<Item = GroupParts> {
    let group = Group {
        first_sent: false,
        legs,
        query,
        sent_legs: BTreeSet::new(),
        top_records,
    };
    stream::unfold(group, |mut group| async move {
        let parts = group.next().await?;
        Some((parts, group))
    })
}

impl Group {
    async fn next(&mut self) -> Option<GroupParts> {
        if !self.first_sent {
            self.first_sent = true;
            self.query.run().await;
            self.query.mark_answered();
            return Some(self.take_parts());
        }
        // Continues until one more part has arrived, or ends if none can.
        if !self.query.exchange.require_one_more_part() {
            return None;
        }
        let outcome = self.query.drive().await;
        matches!(outcome, Outcome::Gather { .. }).then(|| self.take_parts())
    }

    fn take_parts(&mut self) -> GroupParts {
        let legs = &self.legs;
        let new = self.query.take_parts();
        let leaving = self.query.draining_replicas(&new);
        let limits = self.query.named_limits(&new);
        let new: Vec<_> = new
            .into_iter()
            .map(|(index, part)| (legs[index], part))
            .filter(|(leg, _)| !self.sent_legs.contains(leg))
            .collect();
        self.sent_legs.extend(new.iter().map(|(leg, _)| *leg));
        let exchange = &self.query.exchange;
        let last = exchange.legs().all(|leg| leg != LegState::Open);
        let head = GroupHead {
            extra_sends: exchange.extra_sends(),
            last,
            leaving,
            limits,
            ..GroupHead::default()
        };
        GroupParts::merge(head, &new, self.top_records)
    }
}
