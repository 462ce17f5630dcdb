//! The ownership tables that this node knows and what it is granted.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::Fleet;
use crate::FleetAction;
use crate::TableRecord;
use crate::dissemination::Item;
use crate::limits;
use crate::step::Step;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::HandOverState;
use wigeonhall_types::NodeKey;
use wigeonhall_types::OwnershipTable;
use wigeonhall_types::ReplicaKey;

/// The newest known table of a data centre.
#[derive(Debug)]
pub(crate) struct KnownTable {
    /// The last proof came from the store, directly or through others.
    pub(crate) from_store: bool,
    /// Latest local time at which this table is known to have been the newest.
    pub(crate) proof_us: Option<u64>,
    pub(crate) record: Arc<TableRecord>,
    pub(crate) table: Arc<OwnershipTable>,
}

/// A replica that this node owns by the table but may not use yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    due_us: u64,
    /// First epoch of this node's unbroken ownership.
    since: u64,
}

#[derive(Debug)]
pub(crate) struct Ownership {
    /// The wanted table may differ from the one in force.
    pub(crate) check: bool,
    /// Hand-overs for tables that are not known yet.
    early: BTreeMap<ReplicaKey, (u64, HandOverState)>,
    /// Granted replicas.
    pub(crate) grants: BTreeSet<ReplicaKey>,
    pending: BTreeMap<ReplicaKey, Pending>,
    pending_due_us: u64,
    /// When the next grant falls due, if the lease allows it then.
    pub(crate) grants_wake_us: u64,
    pub(crate) tables: BTreeMap<DataCentreKey, KnownTable>,
}

impl Ownership {
    pub(crate) fn new() -> Self {
        Self {
            check: true,
            early: BTreeMap::new(),
            grants: BTreeSet::new(),
            pending: BTreeMap::new(),
            pending_due_us: u64::MAX,
            grants_wake_us: u64::MAX,
            tables: BTreeMap::new(),
        }
    }
}

impl Fleet {
    /// The table of this node's data centre.
    pub(crate) fn own_table(&self) -> Option<&KnownTable> {
        self.ownership.tables.get(&self.config.data_centre)
    }

    pub(crate) fn own_epoch(&self) -> u64 {
        self.own_table().map_or(0, |it| it.table.epoch)
    }

    /// Takes a table from the store or a peer; only a larger epoch counts.
    ///
    /// `proof_us` is a local time at which the store held this very table.
    pub(crate) fn learn_table(
        &mut self,
        step: &mut Step<'_>,
        record: TableRecord,
        proof_us: Option<u64>,
    ) {
        let key = step.catalog.data_centre(&record.data_centre);
        let epoch = record.epoch;
        let known = self
            .ownership
            .tables
            .get(&key)
            .map_or(0, |it| it.table.epoch);
        if epoch > known {
            let table = Arc::new(resolve(step, key, &record));
            let known = KnownTable {
                from_store: false,
                proof_us: None,
                record: Arc::new(record),
                table: Arc::clone(&table),
            };
            let old = self.ownership.tables.insert(key, known);
            for &member in &table.members {
                self.know_member(step, member);
            }
            step.push(FleetAction::Owners(Arc::clone(&table)));
            self.stop_wanting(&Item::Table(key), epoch);
            if key == self.config.data_centre {
                self.take_own_table(step, old.as_ref().map(|it| &*it.table), &table);
            }
            self.announce_table(step, proof_us.is_some());
        }
        if let Some(at_us) = proof_us {
            self.prove(step, key, epoch, at_us, true);
        }
    }

    /// Adjusts grants to a new table of the own data centre.
    ///
    /// Only a table that directly follows the known one shows that nobody else
    /// owned a kept replica in between; epochs are versions of one object and
    /// grow by one. After a gap everything is granted anew.
    fn take_own_table(
        &mut self,
        step: &mut Step<'_>,
        old: Option<&OwnershipTable>,
        table: &OwnershipTable,
    ) {
        let own = self.config.node;
        let next = old.is_some_and(|it| it.epoch + 1 == table.epoch);
        let owner = |replica: &ReplicaKey| table.owners.get(replica).copied();
        let keeps = |replica: &ReplicaKey| next && owner(replica) == Some(own);
        let grants = std::mem::take(&mut self.ownership.grants);
        let (kept, lost) = grants.into_iter().partition(keeps);
        self.ownership.grants = kept;
        self.ownership.pending.retain(|replica, _| keeps(replica));
        for replica in lost as BTreeSet<_> {
            let successor = owner(&replica).filter(|&it| next && it != own);
            step.push(FleetAction::Revoke {
                epoch: table.epoch,
                replica,
                successor,
            });
        }
        for (&replica, _) in table.owners.iter().filter(|it| *it.1 == own) {
            if !self.ownership.grants.contains(&replica) {
                self.ownership.pending.entry(replica).or_insert(Pending {
                    due_us: step.now_us + limits::TAKE_OVER_US,
                    since: table.epoch,
                });
            }
        }
        self.ownership.early.retain(|_, it| it.0 >= table.epoch);
        for (replica, (epoch, state)) in std::mem::take(&mut self.ownership.early) {
            self.on_hand_over(step, replica, epoch, state);
        }
        self.proposal.table_changed();
        self.ownership.check = true;
        self.lease.hurry(step.now_us);
        self.schedule_grants();
    }

    /// Grants a replica that its old owner handed over with exactly the table that
    /// names this node; a hand-over for a later table is kept until that is known.
    pub(crate) fn on_hand_over(
        &mut self,
        step: &mut Step<'_>,
        replica: ReplicaKey,
        epoch: u64,
        state: HandOverState,
    ) {
        if epoch > self.own_epoch() {
            let early = &mut self.ownership.early;
            if early.len() < limits::EARLY_HAND_OVERS_MAX || early.contains_key(&replica) {
                early.insert(replica, (epoch, state));
            }
            return;
        }
        let pending = self.ownership.pending.get(&replica);
        if pending.is_some_and(|it| it.since == epoch) {
            self.grant(step, replica, Some(state));
            self.schedule_grants();
        }
    }

    fn grant(&mut self, step: &mut Step<'_>, replica: ReplicaKey, state: Option<HandOverState>) {
        self.ownership.pending.remove(&replica);
        self.ownership.grants.insert(replica);
        step.push(FleetAction::Grant {
            epoch: self.own_epoch(),
            replica,
            state,
        });
    }

    fn schedule_grants(&mut self) {
        let due = self.ownership.pending.values().map(|it| it.due_us).min();
        self.ownership.pending_due_us = due.unwrap_or(u64::MAX);
    }

    /// Grants what waited long enough, but only under a lease that is valid now: a
    /// node that was paused first needs proof that its table is still the newest.
    pub(crate) fn run_grants(&mut self, step: &mut Step<'_>) {
        let now = step.now_us;
        let due_us = self.ownership.pending_due_us;
        // Without a lease the next proof brings the next try.
        let blocked = due_us <= now && self.lease.until_us <= now;
        self.ownership.grants_wake_us = if blocked { u64::MAX } else { due_us };
        if due_us > now || blocked {
            return;
        }
        let due = |(&replica, it): (&ReplicaKey, &Pending)| (it.due_us <= now).then_some(replica);
        let due: Vec<_> = self.ownership.pending.iter().filter_map(due).collect();
        for replica in due {
            self.grant(step, replica, None);
        }
        self.schedule_grants();
        self.ownership.grants_wake_us = self.ownership.pending_due_us;
    }

    /// Gives up every grant without a successor.
    pub(crate) fn revoke_all(&mut self, step: &mut Step<'_>) {
        let epoch = self.own_epoch();
        self.ownership.pending.clear();
        for replica in std::mem::take(&mut self.ownership.grants) {
            step.push(FleetAction::Revoke {
                epoch,
                replica,
                successor: None,
            });
        }
        self.schedule_grants();
    }
}

fn resolve(step: &mut Step<'_>, key: DataCentreKey, record: &TableRecord) -> OwnershipTable {
    let catalog = &mut *step.catalog;
    let mut members: Vec<NodeKey> = record.members.iter().map(|it| catalog.node(it)).collect();
    members.sort_unstable();
    members.dedup();
    let owners = record.owners.iter();
    let mut owners: BTreeMap<_, _> = owners
        .map(|(replica, owner)| (catalog.replica(replica), catalog.node(owner)))
        .collect();
    owners.retain(|_, owner| members.contains(owner));
    OwnershipTable {
        data_centre: key,
        epoch: record.epoch,
        members,
        owners,
    }
}
