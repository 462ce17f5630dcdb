//! Replaces the ownership table of the own data centre, which assigns replicas to nodes: computes
//! the desired table, collects consents and writes it. A member that consents no longer
//! acknowledges the old table, so that leases under it (rights to start requests) end. The epoch
//! is the version of the table.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::Fleet;
use crate::FleetAction;
use crate::GossipMessage;
use crate::ListedState;
use crate::Member;
use crate::MemberState;
use crate::TableRecord;
use crate::event_context::EventContext;
use crate::limits;
use crate::rendezvous;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::NodeKey;

/// Failed rounds after which the backoff stops growing.
const BACK_OFF_FAILURES_MAX: u32 = 3;
/// Time after which the outcome of an unanswered write counts as unknown.
const WRITE_TIMEOUT_US: u64 = 10_000_000;

/// Names of the members of a table, sorted.
type MemberNames = Vec<Arc<str>>;
/// Name of each replica's owner, by name of the replica.
type OwnerNames = BTreeMap<Arc<str>, Arc<str>>;

/// State of this node's rounds to replace the table. A round reads the table, collects consents
/// of a majority of its members and writes the new table.
#[derive(Debug)]
pub(crate) struct Proposal {
    /// When the desired table first differed from the newest known one.
    differs_since_us: Option<u64>,
    /// When the next round starts.
    due_us: u64,
    /// Consecutive failed rounds.
    failures: u32,
    /// Earliest start of the next round, after a failed one.
    not_before_us: u64,
    stage: Stage,
}

/// Stage of the current round.
#[derive(Debug)]
enum Stage {
    /// No round has started.
    Idle,
    /// Waits for a read of the table that was sent at `since_us` or later.
    Reading { retry_us: u64, since_us: u64 },
    /// Collects consents to replace the table `epoch`.
    Consent {
        consents: BTreeSet<NodeKey>,
        epoch: u64,
        retry_us: u64,
        sent_us: u64,
        sequence: u64,
    },
    /// Waits for the outcome of the write.
    Writing {
        expected_epoch: u64,
        record: Box<TableRecord>,
        sent_us: u64,
    },
    /// The outcome of the write is unknown; reads the table back.
    Unknown {
        expected_epoch: u64,
        retry_us: u64,
        since_us: u64,
        write_id: u64,
    },
}

impl Proposal {
    pub(crate) fn new() -> Self {
        Self {
            differs_since_us: None,
            due_us: u64::MAX,
            failures: 0,
            not_before_us: 0,
            stage: Stage::Idle,
        }
    }

    /// Resets the round when a newer table arrives; consents to replace the previous one
    /// are void.
    pub(crate) fn table_changed(&mut self) {
        self.differs_since_us = None;
        self.due_us = u64::MAX;
        self.failures = 0;
        self.not_before_us = 0;
        if !matches!(self.stage, Stage::Writing { .. } | Stage::Unknown { .. }) {
            self.stage = Stage::Idle;
        }
    }

    /// Ends a failed round and schedules the next one with exponential backoff.
    fn back_off(&mut self, now_us: u64) {
        self.stage = Stage::Idle;
        self.failures = (self.failures + 1).min(BACK_OFF_FAILURES_MAX);
        self.not_before_us = now_us + (limits::STORE_RETRY_INTERVAL_US << (self.failures - 1));
    }

    pub(crate) fn wake_us(&self) -> u64 {
        match &self.stage {
            Stage::Idle => self.due_us,
            Stage::Consent { retry_us, .. }
            | Stage::Reading { retry_us, .. }
            | Stage::Unknown { retry_us, .. } => *retry_us,
            Stage::Writing { sent_us, .. } => sent_us + WRITE_TIMEOUT_US,
        }
    }
}

impl Fleet {
    /// Returns whether `node` should be a member of the own data centre's table.
    ///
    /// A data centre that is out of service keeps its members: it receives no work anyway, and
    /// its owners keep the state of the replicas for its return.
    fn eligible(&self, node: NodeKey) -> bool {
        let deployment = self.configuration.in_force.as_ref();
        let vm = deployment.and_then(|it| it.vms.get(&node));
        if vm.is_none_or(|it| it.out || it.data_centre != self.settings.data_centre) {
            return false;
        }
        if node == self.settings.node {
            let listing = self.membership.self_listing;
            let in_vm_list = !matches!(listing, ListedState::Gone | ListedState::Leaving);
            return in_vm_list && !self.membership.leaving;
        }
        let Some(member) = self.membership.members.get(&node) else {
            return false;
        };
        // A member of the current table about which no update has arrived stays in it until
        // probes find the member dead.
        let known_member = member.boot_known()
            || self
                .own_table()
                .is_some_and(|it| it.table.members.contains(&node));
        known_member
            && member.state != MemberState::Dead
            && !member.leaving
            && !matches!(member.listing, ListedState::Gone | ListedState::Leaving)
    }

    /// Returns the members and owners that the own data centre's table should have.
    fn desired_table(&self, cx: &EventContext<'_>) -> (MemberNames, OwnerNames) {
        let Some(deployment) = &self.configuration.in_force else {
            return (Vec::new(), BTreeMap::new());
        };
        let nodes = deployment.vms.keys().filter(|it| self.eligible(**it));
        let mut members: Vec<_> = nodes.map(|&it| cx.catalog.node_name(it)).collect();
        members.sort_unstable();
        let hashes: Vec<_> = members.iter().map(|it| rendezvous::name_hash(it)).collect();
        let own_dc = self.settings.data_centre;
        let replicas = deployment.replicas.iter();
        let replicas = replicas.filter(|it| it.1.data_centre == own_dc);
        let owner = |replica: &str| {
            let key = rendezvous::name_hash(replica);
            let candidates = hashes.iter().zip(&members);
            let first = candidates.min_by_key(|it| rendezvous::rank(key, *it.0));
            first.map(|it| Arc::clone(it.1))
        };
        let owners = replicas.filter_map(|(&key, _)| {
            let name = cx.catalog.replica_name(key);
            owner(&name).map(|it| (name, it))
        });
        let owners = owners.collect();
        (members, owners)
    }

    /// Compares the desired table with the newest known one and schedules the next round.
    fn schedule_round(&mut self, cx: &EventContext<'_>) {
        if !std::mem::take(&mut self.ownership.recheck_table) {
            return;
        }
        let (members, owners) = self.desired_table(cx);
        let record = self.own_table().map(|it| &it.record);
        let differs = record.is_none_or(|it| it.members != members || it.owners != owners);
        let known = record.is_some();
        // An empty table is useful only to remove a stopping node.
        let useful = !members.is_empty() || (self.membership.leaving && known);
        let proposal_needed = differs && useful && self.has_newest_config();
        // If this node has consented to a replacement, it no longer acknowledges the table. So
        // a new one is written even if the desired table no longer differs.
        let consent_outstanding = known && self.lease.consented_epoch >= self.own_epoch();
        if !proposal_needed && !consent_outstanding {
            self.proposal.differs_since_us = None;
            self.proposal.due_us = u64::MAX;
            return;
        }
        if self.proposal.differs_since_us.is_none() {
            // Most nodes read the platform's VM list rarely, and an outdated list suggests
            // changes that have not happened.
            self.membership.expedite_vm_list_read(cx.now_us);
        }
        let since = *self.proposal.differs_since_us.get_or_insert(cx.now_us);
        let rank = if self.membership.leaving {
            0
        } else {
            // Bounds the delay in large data centres.
            self.groups.own_rank().min(8) as u64
        };
        let first_table_delay_us = if known {
            0
        } else {
            limits::FIRST_TABLE_DELAY_US
        };
        // The node that requested the consent has this time to write a table itself.
        let consent_only_delay_us = if proposal_needed {
            0
        } else {
            limits::STOP_TIMEOUT_US
        };
        let base = since
            + limits::COALESCE_DELAY_US
            + first_table_delay_us
            + consent_only_delay_us
            + rank * limits::PROPOSAL_RANK_DELAY_US;
        self.proposal.due_us = base.max(self.proposal.not_before_us);
    }

    pub(crate) fn run_round(&mut self, cx: &mut EventContext<'_>) {
        self.schedule_round(cx);
        let now = cx.now_us;
        let due = self.proposal.wake_us() <= now;
        match &mut self.proposal.stage {
            _ if !due => {}
            Stage::Idle => {
                self.proposal.stage = Stage::Reading {
                    retry_us: now + limits::STORE_RETRY_INTERVAL_US,
                    since_us: now,
                };
                self.expedite_table_read(cx);
            }
            Stage::Reading { retry_us, .. } | Stage::Unknown { retry_us, .. } => {
                *retry_us = now + limits::STORE_RETRY_INTERVAL_US;
                self.expedite_table_read(cx);
            }
            Stage::Consent { .. } => self.ask_consent(cx),
            Stage::Writing { .. } => self.on_table_written(cx, self.settings.data_centre, None),
        }
    }

    /// Continues the round after a read of the own table, sent at `sent_us`, succeeded.
    pub(crate) fn on_own_table_read(
        &mut self,
        cx: &mut EventContext<'_>,
        sent_us: u64,
        exists: bool,
    ) {
        match &self.proposal.stage {
            Stage::Reading { since_us, .. } if sent_us >= *since_us => {
                self.proposal.stage = Stage::Idle;
                self.ownership.recheck_table = true;
                self.schedule_round(cx);
                if self.proposal.due_us > cx.now_us {
                    return;
                }
                match (exists, self.own_table().is_some()) {
                    (true, _) => self.begin_consent_round(cx),
                    (false, false) => self.write_table(cx, 0),
                    // The object was deleted; nothing can be replaced safely.
                    (false, true) => self.proposal.back_off(cx.now_us),
                }
            }
            &Stage::Unknown {
                expected_epoch,
                since_us,
                write_id,
                ..
            } if sent_us >= since_us => {
                let found = self.own_table().map(|it| it.record.write_id);
                self.proposal.stage = Stage::Idle;
                self.ownership.recheck_table = true;
                if found == Some(write_id) {
                    self.counters.writes_found += 1;
                    return;
                }
                self.counters.writes_lost += 1;
                if self.own_epoch() == expected_epoch {
                    self.proposal.back_off(cx.now_us);
                }
            }
            _ => {}
        }
    }

    fn begin_consent_round(&mut self, cx: &mut EventContext<'_>) {
        self.proposal_sequence += 1;
        let members = self.own_table().map(|it| it.table.members.clone());
        let gone = |it: &NodeKey| self.membership.members.get(it).is_some_and(Member::gone);
        if members.iter().flatten().any(gone) {
            self.read_vm_list(cx);
        }
        self.proposal.stage = Stage::Consent {
            consents: BTreeSet::new(),
            epoch: self.own_epoch(),
            retry_us: cx.now_us,
            sent_us: cx.now_us,
            sequence: self.proposal_sequence,
        };
        self.ask_consent(cx);
    }

    /// Asks the members that have not consented yet; abandons a round that is too old.
    fn ask_consent(&mut self, cx: &mut EventContext<'_>) {
        let now = cx.now_us;
        let Some(known) = self.ownership.tables.get(&self.settings.data_centre) else {
            return;
        };
        let mut members = known.table.members.clone();
        let Stage::Consent {
            consents,
            epoch,
            retry_us,
            sent_us,
            sequence,
        } = &mut self.proposal.stage
        else {
            return;
        };
        if now > *sent_us + limits::CONSENT_ROUND_MAX_US {
            self.proposal.back_off(now);
            self.ownership.recheck_table = true;
            self.membership.expedite_vm_list_read(now);
            return;
        }
        *retry_us = now + limits::CONSENT_RETRY_INTERVAL_US;
        let message = GossipMessage::ConsentAsk {
            epoch: *epoch,
            sequence: *sequence,
        };
        if members.contains(&self.settings.node) && self.lease.consent(now, *epoch) {
            consents.insert(self.settings.node);
        }
        let gone = |it: &NodeKey| self.membership.members.get(it).is_some_and(Member::gone);
        members.retain(|it| !consents.contains(it) && *it != self.settings.node && !gone(it));
        for member in members {
            self.send(cx, member, message.clone());
        }
        self.check_consent_majority(cx);
    }

    pub(crate) fn on_consent_ask(
        &mut self,
        cx: &mut EventContext<'_>,
        from: NodeKey,
        epoch: u64,
        sequence: u64,
    ) {
        if epoch < self.own_epoch() {
            self.reconcile_epoch(cx, from, epoch);
        } else if self.lease.consent(cx.now_us, epoch) {
            self.counters.consents_given += 1;
            self.ownership.recheck_table = true;
            self.send(cx, from, GossipMessage::Consent { epoch, sequence });
        }
    }

    pub(crate) fn on_consent(
        &mut self,
        cx: &mut EventContext<'_>,
        from: NodeKey,
        epoch: u64,
        sequence: u64,
    ) {
        if let Stage::Consent {
            consents,
            epoch: own_epoch,
            sequence: own_sequence,
            ..
        } = &mut self.proposal.stage
            && (*own_epoch, *own_sequence) == (epoch, sequence)
        {
            consents.insert(from);
            self.check_consent_majority(cx);
        }
    }

    pub(crate) fn check_consent_majority(&mut self, cx: &mut EventContext<'_>) {
        let Stage::Consent {
            consents,
            epoch,
            sent_us,
            ..
        } = &self.proposal.stage
        else {
            return;
        };
        let Some(known) = self.own_table() else {
            return;
        };
        let members = &known.table.members;
        // A node that an older VM list shows as gone may have returned. A list requested in
        // this round is as recent as the consents. A node that returned after it may not
        // acknowledge until the write takes effect, as it is in the quarantine after its start.
        let list_is_fresh = self
            .membership
            .vm_list_as_of_us
            .is_some_and(|at| at >= *sent_us);
        let gone = |it: &NodeKey| self.membership.members.get(it).is_some_and(Member::gone);
        let gone = |it: &NodeKey| list_is_fresh && gone(it);
        let agree = |it: &&NodeKey| consents.contains(it) || gone(it);
        let count = members.iter().filter(agree).count();
        let in_time = cx.now_us <= sent_us + limits::CONSENT_ROUND_MAX_US;
        let majority = members.is_empty() || count * 2 > members.len();
        if majority && in_time && *epoch == known.table.epoch {
            let epoch = *epoch;
            self.write_table(cx, epoch);
        }
    }

    fn write_table(&mut self, cx: &mut EventContext<'_>, expected_epoch: u64) {
        let (members, owners) = self.desired_table(cx);
        let data_centre = self.settings.data_centre;
        let table = TableRecord {
            data_centre: cx.catalog.data_centre_name(data_centre),
            // Known once the write succeeds; see `on_table_written`.
            epoch: 0,
            members,
            owners,
            write_id: self.rng.u64(..),
        };
        self.proposal.stage = Stage::Writing {
            expected_epoch,
            record: Box::new(table.clone()),
            sent_us: cx.now_us,
        };
        self.counters.store_writes += 1;
        cx.push(FleetAction::WriteTable {
            data_centre,
            expected_epoch,
            table,
        });
    }

    pub(crate) fn on_table_written(
        &mut self,
        cx: &mut EventContext<'_>,
        data_centre: DataCentreKey,
        epoch: Option<u64>,
    ) {
        if data_centre != self.settings.data_centre {
            return;
        }
        let Stage::Writing {
            expected_epoch,
            record,
            sent_us,
        } = std::mem::replace(&mut self.proposal.stage, Stage::Idle)
        else {
            return;
        };
        self.ownership.recheck_table = true;
        if let Some(epoch) = epoch {
            let mut record = *record;
            record.epoch = epoch;
            self.lease.store_answered_us = Some(cx.now_us);
            self.receive_table(cx, record, Some(sent_us));
            return;
        }
        self.proposal.stage = Stage::Unknown {
            expected_epoch,
            retry_us: cx.now_us + limits::STORE_RETRY_INTERVAL_US,
            since_us: cx.now_us,
            write_id: record.write_id,
        };
        self.expedite_table_read(cx);
    }

    /// Returns whether, since this node started, its configuration was confirmed to be the
    /// newest.
    fn has_newest_config(&self) -> bool {
        self.ready_generation().is_some()
    }
}
