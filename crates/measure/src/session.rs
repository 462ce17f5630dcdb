use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use fastrand::Rng;

use crate::FakeStore;
use crate::MeasuredDeployment;
use crate::MessageFaults;
use crate::Step;
use crate::TraceEvent;
use crate::World;
use crate::shards;
use crate::transcript;
use crate::world::Event;
use wigeonhall_types::AttemptId;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::NodeKey;
use wigeonhall_types::OwnershipTable;
use wigeonhall_types::ReplicaKey;
use wigeonhall_types::Row;

/// A world in which callers, operators and faults follow a script, with a trace of the messages
/// between callers, nodes, targets and the store.
///
/// Unlike a measured run, a session has leases (without one, a node starts no requests), changes
/// of ownership, and writes with their claims (records in the store, each of which lets one
/// attempt run the write). Leases and ownership follow fixed rules in place of
/// the fleet core, the decision logic for both.
#[derive(Debug)]
pub struct Session {
    catalog: NameCatalog,
    world: World,
}

/// Additional state of a world that runs a session.
#[derive(Debug, Default)]
pub(crate) struct SessionState {
    /// Deadlines of all requests so far; no two are equal.
    pub deadlines: BTreeSet<u64>,
    /// Generation (version number) of the deployment in force at each node.
    pub generations: BTreeMap<NodeKey, u64>,
    /// Epoch (version number) of the latest ownership table of its data centre that each node
    /// has received.
    pub known_epochs: BTreeMap<NodeKey, u64>,
    /// Time before which a node gets no lease.
    pub no_lease_before_us: BTreeMap<NodeKey, u64>,
    /// Faults of messages between nodes, and the time at which they end.
    pub message_faults: (MessageFaults, u64),
    /// Targets whose next reply is lost.
    pub lose_replies: BTreeSet<ReplicaKey>,
    /// Nodes that crashed.
    pub lost: BTreeSet<NodeKey>,
    /// Replicas whose hand-over is lost, each with the epoch of the table.
    pub lost_hand_overs: BTreeSet<(ReplicaKey, u64)>,
    /// Replicas that each node owns by the latest table it has received.
    pub owned: BTreeSet<(NodeKey, ReplicaKey)>,
    /// Time before which a paused node handles no events.
    pub paused_until_us: BTreeMap<NodeKey, u64>,
    /// Replica of each sub-request that was sent to a target.
    pub replica_of_attempt: BTreeMap<AttemptId, ReplicaKey>,
    pub rng: Rng,
    pub store: FakeStore,
    /// Newest ownership table of each data centre and the time at which it was written.
    pub tables: BTreeMap<DataCentreKey, (Arc<OwnershipTable>, u64)>,
    pub trace: Vec<(u64, TraceEvent)>,
}

impl Session {
    /// Creates a session at time zero, in which all targets are warm and their owners have
    /// their state.
    #[must_use]
    pub fn new(site: MeasuredDeployment, seed: u64) -> Self {
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

    /// Schedules a step.
    pub fn at(&mut self, at_us: u64, step: Step) {
        self.world.events.push(at_us, Event::Step(step));
    }

    /// Handles all events that are due before `until_us`.
    pub fn run_until(&mut self, until_us: u64) {
        while self.world.events.next_us().is_some_and(|it| it < until_us) {
            if let Some((now_us, event)) = self.world.events.pop() {
                self.world.handle_event(now_us, event);
            }
        }
    }

    /// Returns the names of the deployment's keys.
    #[must_use]
    pub const fn catalog(&self) -> &NameCatalog {
        &self.catalog
    }

    /// Returns the events recorded so far, ordered by time, in microseconds.
    #[must_use]
    pub fn trace(&self) -> &[(u64, TraceEvent)] {
        self.world.session.as_ref().map_or(&[], |it| &it.trace)
    }

    /// Returns the trace from `from_us` on as text, with one line per message and times relative
    /// to `from_us`.
    #[must_use]
    pub fn transcript(&self, from_us: u64) -> String {
        transcript::render(&self.catalog, self.trace(), from_us)
    }

    /// Returns the number of requests that arrived at a target above its slots, and above its
    /// connection limit.
    #[must_use]
    pub fn limit_violations(&self) -> (u64, u64) {
        let violations = || self.world.targets.values().map(|it| it.violations);
        (
            violations().map(|it| it.slots).sum(),
            violations().map(|it| it.connections).sum(),
        )
    }

    /// Returns the rows that the fake targets hold in a range at a version.
    #[must_use]
    pub fn rows(range: KeyRange, version: IndexVersion) -> Vec<Row> {
        shards::rows(range, version)
    }
}
