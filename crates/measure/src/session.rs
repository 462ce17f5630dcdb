use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use fastrand::Rng;

use crate::FakeStore;
use crate::MessageFaults;
use crate::Site;
use crate::Step;
use crate::TraceEvent;
use crate::World;
use crate::shards;
use crate::transcript;
use crate::world::Event;
use wigeonhall_types::AttemptId;
use wigeonhall_types::Catalog;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NodeKey;
use wigeonhall_types::OwnershipTable;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::Row;

/// A world whose callers, operators and faults follow a script, with a trace of what
/// callers, nodes, targets and the store say to each other.
///
/// Unlike a measured run it has leases, ownership that changes hands, and writes with
/// their claims. These follow fixed rules in place of the fleet core.
#[derive(Debug)]
pub struct Session {
    catalog: Catalog,
    world: World,
}

/// What a world holds only while it runs a session.
#[derive(Debug, Default)]
pub(crate) struct SessionState {
    /// Deadlines of all requests so far.
    pub deadlines: BTreeSet<u64>,
    /// Configuration generation in force at each node.
    pub generations: BTreeMap<NodeKey, u64>,
    /// Epoch of the table that each node knows of its data centre.
    pub known: BTreeMap<NodeKey, u64>,
    /// Nodes that get no lease before this time.
    pub lapsed: BTreeMap<NodeKey, u64>,
    /// Faults of messages, until this time.
    pub links: (MessageFaults, u64),
    /// Targets whose next reply is lost.
    pub lose_replies: BTreeSet<ReplicaKey>,
    /// Nodes that ended.
    pub lost: BTreeSet<NodeKey>,
    /// Replicas whose hand-over at an epoch is lost.
    pub lost_hand_overs: BTreeSet<(ReplicaKey, u64)>,
    /// Replicas that each node owns, by what it was told.
    pub owned: BTreeSet<(NodeKey, ReplicaKey)>,
    /// Nodes that handle nothing before this time.
    pub paused: BTreeMap<NodeKey, u64>,
    /// Replica of each sub-request that was sent to a target.
    pub replicas: BTreeMap<AttemptId, ReplicaKey>,
    pub rng: Rng,
    pub store: FakeStore,
    /// Newest table of each data centre and the time at which it was written.
    pub tables: BTreeMap<DataCentreKey, (Arc<OwnershipTable>, u64)>,
    pub trace: Vec<(u64, TraceEvent)>,
}

impl Session {
    /// A session at time zero: targets warm and known to their owners.
    #[must_use]
    pub fn new(site: Site, seed: u64) -> Self {
        let state = SessionState {
            rng: Rng::with_seed(seed),
            ..SessionState::default()
        };
        let world = World::with_session(site.deployment, site.network, seed, state);
        Self {
            catalog: site.catalog,
            world,
        }
    }

    /// Plans a step.
    pub fn at(&mut self, at_us: u64, step: Step) {
        self.world.events.push(at_us, Event::Step(step));
    }

    /// Runs everything that is due before `until_us`.
    pub fn run_until(&mut self, until_us: u64) {
        while self.world.events.next_us().is_some_and(|it| it < until_us) {
            if let Some((now_us, event)) = self.world.events.pop() {
                self.world.step(now_us, event);
            }
        }
    }

    /// Names of the keys.
    #[must_use]
    pub const fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// What was seen so far, by rising time in microseconds.
    #[must_use]
    pub fn trace(&self) -> &[(u64, TraceEvent)] {
        self.world.session.as_ref().map_or(&[], |it| &it.trace)
    }

    /// The trace from `from_us` on as text, one line a message, with times counted from
    /// there.
    #[must_use]
    pub fn transcript(&self, from_us: u64) -> String {
        transcript::render(&self.catalog, self.trace(), from_us)
    }

    /// Requests that arrived at a target over its slots, and over its connections.
    #[must_use]
    pub fn limit_violations(&self) -> (u64, u64) {
        let over = || self.world.targets.values().map(|it| it.over);
        (
            over().map(|it| it.slots).sum(),
            over().map(|it| it.connections).sum(),
        )
    }

    /// Rows of the index in a range at a version.
    #[must_use]
    pub fn rows(range: KeyRange, version: IndexVersion) -> Vec<Row> {
        shards::rows(range, version)
    }
}
