//! Ownership tables known to this node, and the replicas granted to it.
//!
//! The table of a data centre assigns each replica to its owner, the one node through which all
//! requests to it go; the version of the table is the epoch. An owner may use a replica once it
//! is granted, that is, once no previous owner can use it any more.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::Fleet;
use crate::FleetAction;
use crate::TableRecord;
use crate::dissemination::RecordKey;
use crate::event_context::EventContext;
use crate::limits;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::HandOverState;
use wigeonhall_types::NodeKey;
use wigeonhall_types::OwnershipTable;
use wigeonhall_types::ReplicaKey;

/// Newest known ownership table of a data centre.
#[derive(Debug)]
pub(crate) struct KnownTable {
    /// Whether the latest proof came from the store, directly or through peers.
    pub(crate) from_store: bool,
    /// Latest local time at which this table is known to have been the newest.
    pub(crate) proof_us: Option<u64>,
    pub(crate) record: Arc<TableRecord>,
    pub(crate) table: Arc<OwnershipTable>,
}

/// A replica that the table assigns to this node but that it may not use yet.
#[derive(Clone, Copy, Debug)]
struct PendingGrant {
    /// When the replica is granted without a hand-over.
    due_us: u64,
    /// First epoch of this node's uninterrupted ownership.
    first_epoch: u64,
}

/// Known tables, grants and hand-overs.
#[derive(Debug)]
pub(crate) struct Ownership {
    /// Whether the table that the configuration and the membership call for may have changed
    /// since it was last compared with the newest known one.
    pub(crate) recheck_table: bool,
    /// Hand-overs, with their epochs, for tables that have not arrived yet.
    early_hand_overs: BTreeMap<ReplicaKey, (u64, HandOverState)>,
    /// Replicas granted to this node.
    pub(crate) grants: BTreeSet<ReplicaKey>,
    pending_grants: BTreeMap<ReplicaKey, PendingGrant>,
    /// When the earliest pending grant falls due.
    pending_due_us: u64,
    /// When `run_grants` next has something to do; `u64::MAX` while it waits for a lease.
    pub(crate) grants_wake_us: u64,
    pub(crate) tables: BTreeMap<DataCentreKey, KnownTable>,
}

impl Ownership {
    pub(crate) fn new() -> Self {
        Self {
            recheck_table: true,
            early_hand_overs: BTreeMap::new(),
            grants: BTreeSet::new(),
            pending_grants: BTreeMap::new(),
            pending_due_us: u64::MAX,
            grants_wake_us: u64::MAX,
            tables: BTreeMap::new(),
        }
    }
}

impl Fleet {
    /// Returns the newest known table of this node's data centre.
    pub(crate) fn own_table(&self) -> Option<&KnownTable> {
        self.ownership.tables.get(&self.settings.data_centre)
    }

    pub(crate) fn own_epoch(&self) -> u64 {
        self.own_table().map_or(0, |it| it.table.epoch)
    }

    /// Stores a table from the store or a peer if its epoch is larger than the known one.
    ///
    /// `proof_us` is a local time at which the store held this epoch.
    pub(crate) fn receive_table(
        &mut self,
        cx: &mut EventContext<'_>,
        record: TableRecord,
        proof_us: Option<u64>,
    ) {
        let key = cx.catalog.data_centre(&record.data_centre);
        let epoch = record.epoch;
        let known = self
            .ownership
            .tables
            .get(&key)
            .map_or(0, |it| it.table.epoch);
        if epoch > known {
            let table = Arc::new(resolve_names(cx, key, &record));
            let known = KnownTable {
                from_store: false,
                proof_us: None,
                record: Arc::new(record),
                table: Arc::clone(&table),
            };
            let old = self.ownership.tables.insert(key, known);
            for &member in &table.members {
                self.add_member(cx, member);
            }
            cx.push(FleetAction::Owners(Arc::clone(&table)));
            self.cancel_request(&RecordKey::Table(key), epoch);
            if key == self.settings.data_centre {
                self.apply_own_table(cx, old.as_ref().map(|it| &*it.table), &table);
            }
            self.announce_table(cx, proof_us.is_some());
        }
        if let Some(at_us) = proof_us {
            self.record_proof(cx, key, epoch, at_us, true);
        }
    }

    /// Adjusts the grants to a new table of the own data centre.
    ///
    /// Only a table that directly follows the known one shows that no other node owned a
    /// kept replica in between; epochs are versions of one object and grow by one. After a
    /// skipped epoch all grants are revoked and must be granted anew.
    fn apply_own_table(
        &mut self,
        cx: &mut EventContext<'_>,
        old: Option<&OwnershipTable>,
        table: &OwnershipTable,
    ) {
        let own = self.settings.node;
        let consecutive = old.is_some_and(|it| it.epoch + 1 == table.epoch);
        let owner = |replica: &ReplicaKey| table.owners.get(replica).copied();
        let keeps = |replica: &ReplicaKey| consecutive && owner(replica) == Some(own);
        let grants = std::mem::take(&mut self.ownership.grants);
        let (kept, lost) = grants.into_iter().partition(keeps);
        self.ownership.grants = kept;
        self.ownership
            .pending_grants
            .retain(|replica, _| keeps(replica));
        for replica in lost as BTreeSet<_> {
            let successor = owner(&replica).filter(|&it| consecutive && it != own);
            cx.push(FleetAction::Revoke {
                epoch: table.epoch,
                replica,
                successor,
            });
        }
        for (&replica, _) in table.owners.iter().filter(|it| *it.1 == own) {
            if !self.ownership.grants.contains(&replica) {
                self.ownership
                    .pending_grants
                    .entry(replica)
                    .or_insert(PendingGrant {
                        due_us: cx.now_us + limits::TAKE_OVER_DELAY_US,
                        first_epoch: table.epoch,
                    });
            }
        }
        self.ownership
            .early_hand_overs
            .retain(|_, it| it.0 >= table.epoch);
        for (replica, (epoch, state)) in std::mem::take(&mut self.ownership.early_hand_overs) {
            self.on_hand_over(cx, replica, epoch, state);
        }
        self.proposal.table_changed();
        self.ownership.recheck_table = true;
        self.lease.renew_now(cx.now_us);
        self.schedule_grants();
    }

    /// Grants a replica that its previous owner handed over, if the hand-over belongs to the
    /// table with which the ownership of this node began. A hand-over for a later table is kept
    /// until that table arrives.
    pub(crate) fn on_hand_over(
        &mut self,
        cx: &mut EventContext<'_>,
        replica: ReplicaKey,
        epoch: u64,
        state: HandOverState,
    ) {
        if epoch > self.own_epoch() {
            let early_hand_overs = &mut self.ownership.early_hand_overs;
            if early_hand_overs.len() < limits::EARLY_HAND_OVERS_MAX
                || early_hand_overs.contains_key(&replica)
            {
                early_hand_overs.insert(replica, (epoch, state));
            }
            return;
        }
        let pending = self.ownership.pending_grants.get(&replica);
        if pending.is_some_and(|it| it.first_epoch == epoch) {
            self.grant(cx, replica, Some(state));
            self.schedule_grants();
        }
    }

    fn grant(
        &mut self,
        cx: &mut EventContext<'_>,
        replica: ReplicaKey,
        state: Option<HandOverState>,
    ) {
        self.ownership.pending_grants.remove(&replica);
        self.ownership.grants.insert(replica);
        cx.push(FleetAction::Grant {
            epoch: self.own_epoch(),
            replica,
            state,
        });
    }

    /// Updates `pending_due_us`.
    fn schedule_grants(&mut self) {
        let due = self
            .ownership
            .pending_grants
            .values()
            .map(|it| it.due_us)
            .min();
        self.ownership.pending_due_us = due.unwrap_or(u64::MAX);
    }

    /// Grants replicas for which the wait for a hand-over has ended, but only under a valid
    /// lease: a node that was paused first needs a proof that its table is still the newest.
    pub(crate) fn run_grants(&mut self, cx: &mut EventContext<'_>) {
        let now = cx.now_us;
        let due_us = self.ownership.pending_due_us;
        // Without a lease the next proof triggers the next attempt.
        let blocked = due_us <= now && self.lease.until_us <= now;
        self.ownership.grants_wake_us = if blocked { u64::MAX } else { due_us };
        if due_us > now || blocked {
            return;
        }
        let due =
            |(&replica, it): (&ReplicaKey, &PendingGrant)| (it.due_us <= now).then_some(replica);
        let due: Vec<_> = self
            .ownership
            .pending_grants
            .iter()
            .filter_map(due)
            .collect();
        for replica in due {
            self.grant(cx, replica, None);
        }
        self.schedule_grants();
        self.ownership.grants_wake_us = self.ownership.pending_due_us;
    }

    /// Revokes every grant; no hand-over follows.
    pub(crate) fn revoke_all(&mut self, cx: &mut EventContext<'_>) {
        let epoch = self.own_epoch();
        self.ownership.pending_grants.clear();
        for replica in std::mem::take(&mut self.ownership.grants) {
            cx.push(FleetAction::Revoke {
                epoch,
                replica,
                successor: None,
            });
        }
        self.schedule_grants();
    }
}

/// Converts the names of a stored table to keys; owners that are not members are dropped.
fn resolve_names(
    cx: &mut EventContext<'_>,
    key: DataCentreKey,
    record: &TableRecord,
) -> OwnershipTable {
    let catalog = &mut *cx.catalog;
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
