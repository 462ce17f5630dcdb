use std::collections::BTreeSet;

use futures::Stream;
use futures::stream;

use wigeonhall_dispatch::LegState;
use wigeonhall_dispatch::Outcome;

use crate::answer;
use crate::group_parts::GroupHead;
use crate::group_parts::GroupParts;
use crate::query::Query;

/// Some legs of a gather on one node.
struct Group {
    /// Whether the parts of the first answer were handed over.
    begun: bool,
    /// The legs, numbered as in the route.
    legs: Vec<usize>,
    query: Query,
    sent: BTreeSet<usize>,
}

/// Collects the parts of some legs: first those that are in when the gather is due, then
/// each later one as it comes.
///
/// Dropping the stream before its first item ends the work.
pub(crate) fn collect(query: Query, legs: Vec<usize>) -> impl Stream<Item = GroupParts> {
    let group = Group {
        begun: false,
        legs,
        query,
        sent: BTreeSet::new(),
    };
    stream::unfold(group, |mut group| async move {
        let parts = group.next().await?;
        Some((parts, group))
    })
}

impl Group {
    async fn next(&mut self) -> Option<GroupParts> {
        if !self.begun {
            self.begun = true;
            self.query.run().await;
            self.query.answered();
            return Some(self.take_parts());
        }
        if !self.query.exchange.require_one_more_part() {
            return None;
        }
        let outcome = self.query.drive().await;
        matches!(outcome, Outcome::Gather { .. }).then(|| self.take_parts())
    }

    fn take_parts(&mut self) -> GroupParts {
        let legs = &self.legs;
        let new = self.query.take_parts();
        let leaving = self.query.leaving(&new);
        let new: Vec<_> = new
            .into_iter()
            .map(|(index, part)| (legs[index], part))
            .filter(|(leg, _)| !self.sent.contains(leg))
            .collect();
        self.sent.extend(new.iter().map(|(leg, _)| *leg));
        let exchange = &self.query.exchange;
        let top_records = answer::top_records(exchange.route());
        let last = exchange.legs().all(|leg| leg != LegState::Open);
        let head = GroupHead {
            extra_sends: exchange.extra_sends(),
            last,
            leaving,
            ..GroupHead::default()
        };
        GroupParts::merge(head, &new, top_records)
    }
}
