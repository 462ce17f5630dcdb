//! Replacing the table of the own data centre: wanted table, consent, write.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::Fleet;
use crate::FleetAction;
use crate::GossipMessage;
use crate::Listing;
use crate::Member;
use crate::MemberState;
use crate::TableRecord;
use crate::limits;
use crate::rendezvous;
use crate::step::Step;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::NodeKey;

/// Failed rounds after which the wait between rounds stops growing.
const BACK_OFF_MAX: u32 = 3;
/// Time after which a write without an answer counts as unknown.
const WRITE_TIMEOUT_US: u64 = 10_000_000;

type Members = Vec<Arc<str>>;
type Owners = BTreeMap<Arc<str>, Arc<str>>;

#[derive(Debug)]
pub(crate) struct Proposal {
    /// When the wanted table first differed from the one in force.
    changed_us: Option<u64>,
    due_us: u64,
    failures: u32,
    /// Earliest next round after a failed one.
    not_before_us: u64,
    stage: Stage,
}

#[derive(Debug)]
enum Stage {
    Idle,
    /// Waits for a read of the table that was sent at this time or later.
    Reading {
        retry_us: u64,
        since_us: u64,
    },
    /// Collects consents to replace `epoch`.
    Consent {
        consents: BTreeSet<NodeKey>,
        epoch: u64,
        retry_us: u64,
        sent_us: u64,
        sequence: u64,
    },
    Writing {
        expected_epoch: u64,
        record: Box<TableRecord>,
        sent_us: u64,
    },
    /// The outcome of the write is not known; reads the table back.
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
            changed_us: None,
            due_us: u64::MAX,
            failures: 0,
            not_before_us: 0,
            stage: Stage::Idle,
        }
    }

    /// A newer table is known; consents to replace the old one are void.
    pub(crate) fn table_changed(&mut self) {
        self.changed_us = None;
        self.due_us = u64::MAX;
        self.failures = 0;
        self.not_before_us = 0;
        if !matches!(self.stage, Stage::Writing { .. } | Stage::Unknown { .. }) {
            self.stage = Stage::Idle;
        }
    }

    /// Waits longer after each failed round.
    fn back_off(&mut self, now_us: u64) {
        self.stage = Stage::Idle;
        self.failures = (self.failures + 1).min(BACK_OFF_MAX);
        self.not_before_us = now_us + (limits::STORE_RETRY_US << (self.failures - 1));
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
    /// Whether `node` should be a member of the own data centre's table.
    ///
    /// Taking out a whole data centre changes no table: it gets no work anyway, and
    /// keeps its owners and their state for its return.
    fn eligible(&self, node: NodeKey) -> bool {
        let deployment = self.configuration.in_force.as_ref();
        let vm = deployment.and_then(|it| it.vms.get(&node));
        if vm.is_none_or(|it| it.out || it.data_centre != self.config.data_centre) {
            return false;
        }
        if node == self.config.node {
            let listing = self.membership.self_listing;
            let listed = !matches!(listing, Listing::Gone | Listing::Leaving);
            return listed && !self.membership.leaving;
        }
        let Some(member) = self.membership.members.get(&node) else {
            return false;
        };
        // A member that was never heard of stays until probes find it dead.
        let heard = member.heard()
            || self
                .own_table()
                .is_some_and(|it| it.table.members.contains(&node));
        heard
            && member.state != MemberState::Dead
            && !member.leaving
            && !matches!(member.listing, Listing::Gone | Listing::Leaving)
    }

    /// Members and owners that the own data centre's table should have.
    fn wanted_table(&self, step: &Step<'_>) -> (Members, Owners) {
        let Some(deployment) = &self.configuration.in_force else {
            return (Vec::new(), BTreeMap::new());
        };
        let nodes = deployment.vms.keys().filter(|it| self.eligible(**it));
        let mut members: Vec<_> = nodes.map(|&it| step.catalog.node_name(it)).collect();
        members.sort_unstable();
        let hashes: Vec<_> = members.iter().map(|it| rendezvous::name_hash(it)).collect();
        let own_dc = self.config.data_centre;
        let replicas = deployment.replicas.iter();
        let replicas = replicas.filter(|it| it.1.data_centre == own_dc);
        let owner = |replica: &str| {
            let key = rendezvous::name_hash(replica);
            let ranked = hashes.iter().zip(&members);
            let first = ranked.min_by_key(|it| rendezvous::rank(key, *it.0));
            first.map(|it| Arc::clone(it.1))
        };
        let owners = replicas.filter_map(|(&key, _)| {
            let name = step.catalog.replica_name(key);
            owner(&name).map(|it| (name, it))
        });
        let owners = owners.collect();
        (members, owners)
    }

    /// Notes whether the wanted table differs and when this node should act.
    fn check_table(&mut self, step: &Step<'_>) {
        if !std::mem::take(&mut self.ownership.check) {
            return;
        }
        let (members, owners) = self.wanted_table(step);
        let record = self.own_table().map(|it| &it.record);
        let differs = record.is_none_or(|it| it.members != members || it.owners != owners);
        let known = record.is_some();
        // An empty table is written only to take a stopping node out.
        let useful = !members.is_empty() || (self.membership.leaving && known);
        let wanted = differs && useful && self.has_newest_config();
        // Members that consented acknowledge no more until a table is written.
        let held = known && self.lease.consented >= self.own_epoch();
        if !wanted && !held {
            self.proposal.changed_us = None;
            self.proposal.due_us = u64::MAX;
            return;
        }
        if self.proposal.changed_us.is_none() {
            // Most nodes read the list rarely; an old one shows changes that are none.
            self.membership.hurry_vm_list(step.now_us);
        }
        let since = *self.proposal.changed_us.get_or_insert(step.now_us);
        let rank = if self.membership.leaving {
            0
        } else {
            self.views.own_rank().min(8) as u64
        };
        let first = if known { 0 } else { limits::FIRST_TABLE_US };
        let only_held = if wanted { 0 } else { limits::STOP_US };
        let base = since + limits::COALESCE_US + first + only_held + rank * limits::RANK_DELAY_US;
        self.proposal.due_us = base.max(self.proposal.not_before_us);
    }

    pub(crate) fn run_proposal(&mut self, step: &mut Step<'_>) {
        self.check_table(step);
        let now = step.now_us;
        let due = self.proposal.wake_us() <= now;
        match &mut self.proposal.stage {
            _ if !due => {}
            Stage::Idle => {
                self.proposal.stage = Stage::Reading {
                    retry_us: now + limits::STORE_RETRY_US,
                    since_us: now,
                };
                self.hurry_table_read(step);
            }
            Stage::Reading { retry_us, .. } | Stage::Unknown { retry_us, .. } => {
                *retry_us = now + limits::STORE_RETRY_US;
                self.hurry_table_read(step);
            }
            Stage::Consent { .. } => self.ask_consent(step),
            Stage::Writing { .. } => self.on_table_written(step, self.config.data_centre, None),
        }
    }

    /// Follows a successful read of the own table that was sent at `sent_us`.
    pub(crate) fn after_own_read(&mut self, step: &mut Step<'_>, sent_us: u64, exists: bool) {
        match &self.proposal.stage {
            Stage::Reading { since_us, .. } if sent_us >= *since_us => {
                self.proposal.stage = Stage::Idle;
                self.ownership.check = true;
                self.check_table(step);
                if self.proposal.due_us > step.now_us {
                    return;
                }
                match (exists, self.own_table().is_some()) {
                    (true, _) => self.begin_consent(step),
                    (false, false) => self.write_table(step, 0),
                    // The object vanished; there is nothing safe to replace.
                    (false, true) => self.proposal.back_off(step.now_us),
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
                self.ownership.check = true;
                if found == Some(write_id) {
                    self.counters.writes_found += 1;
                    return;
                }
                self.counters.writes_lost += 1;
                if self.own_epoch() == expected_epoch {
                    self.proposal.back_off(step.now_us);
                }
            }
            _ => {}
        }
    }

    fn begin_consent(&mut self, step: &mut Step<'_>) {
        self.proposal_sequence += 1;
        let members = self.own_table().map(|it| it.table.members.clone());
        let gone = |it: &NodeKey| self.membership.members.get(it).is_some_and(Member::gone);
        if members.iter().flatten().any(gone) {
            self.read_vm_list(step);
        }
        self.proposal.stage = Stage::Consent {
            consents: BTreeSet::new(),
            epoch: self.own_epoch(),
            retry_us: step.now_us,
            sent_us: step.now_us,
            sequence: self.proposal_sequence,
        };
        self.ask_consent(step);
    }

    /// Asks the members that have not consented yet; gives up a round that is old.
    fn ask_consent(&mut self, step: &mut Step<'_>) {
        let now = step.now_us;
        let Some(known) = self.ownership.tables.get(&self.config.data_centre) else {
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
        if now > *sent_us + limits::CONSENT_US {
            self.proposal.back_off(now);
            self.ownership.check = true;
            self.membership.hurry_vm_list(now);
            return;
        }
        *retry_us = now + limits::CONSENT_RETRY_US;
        let message = GossipMessage::ConsentAsk {
            epoch: *epoch,
            sequence: *sequence,
        };
        if members.contains(&self.config.node) && self.lease.consent(now, *epoch) {
            consents.insert(self.config.node);
        }
        let gone = |it: &NodeKey| self.membership.members.get(it).is_some_and(Member::gone);
        members.retain(|it| !consents.contains(it) && *it != self.config.node && !gone(it));
        for member in members {
            self.send(step, member, message.clone());
        }
        self.count_consents(step);
    }

    pub(crate) fn on_consent_ask(
        &mut self,
        step: &mut Step<'_>,
        from: NodeKey,
        epoch: u64,
        sequence: u64,
    ) {
        if epoch < self.own_epoch() {
            self.settle_epoch(step, from, epoch);
        } else if self.lease.consent(step.now_us, epoch) {
            self.counters.consents_given += 1;
            self.ownership.check = true;
            self.send(step, from, GossipMessage::Consent { epoch, sequence });
        }
    }

    pub(crate) fn on_consent(
        &mut self,
        step: &mut Step<'_>,
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
            self.count_consents(step);
        }
    }

    pub(crate) fn count_consents(&mut self, step: &mut Step<'_>) {
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
        // A gone node may have come back since an older list; a list asked for in
        // this round is as recent as the consents, and a node that came back later
        // is in quarantine until the write landed.
        let listed = self.membership.vm_list_us.is_some_and(|at| at >= *sent_us);
        let gone = |it: &NodeKey| self.membership.members.get(it).is_some_and(Member::gone);
        let gone = |it: &NodeKey| listed && gone(it);
        let agree = |it: &&NodeKey| consents.contains(it) || gone(it);
        let count = members.iter().filter(agree).count();
        let fresh = step.now_us <= sent_us + limits::CONSENT_US;
        let majority = members.is_empty() || count * 2 > members.len();
        if majority && fresh && *epoch == known.table.epoch {
            let epoch = *epoch;
            self.write_table(step, epoch);
        }
    }

    fn write_table(&mut self, step: &mut Step<'_>, expected_epoch: u64) {
        let (members, owners) = self.wanted_table(step);
        let data_centre = self.config.data_centre;
        let table = TableRecord {
            data_centre: step.catalog.data_centre_name(data_centre),
            epoch: 0,
            members,
            owners,
            write_id: self.rng.u64(..),
        };
        self.proposal.stage = Stage::Writing {
            expected_epoch,
            record: Box::new(table.clone()),
            sent_us: step.now_us,
        };
        self.counters.store_writes += 1;
        step.push(FleetAction::WriteTable {
            data_centre,
            expected_epoch,
            table,
        });
    }

    pub(crate) fn on_table_written(
        &mut self,
        step: &mut Step<'_>,
        data_centre: DataCentreKey,
        epoch: Option<u64>,
    ) {
        if data_centre != self.config.data_centre {
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
        self.ownership.check = true;
        if let Some(epoch) = epoch {
            let mut record = *record;
            record.epoch = epoch;
            self.lease.store_ok_us = Some(step.now_us);
            self.learn_table(step, record, Some(sent_us));
            return;
        }
        self.proposal.stage = Stage::Unknown {
            expected_epoch,
            retry_us: step.now_us + limits::STORE_RETRY_US,
            since_us: step.now_us,
            write_id: record.write_id,
        };
        self.hurry_table_read(step);
    }

    /// Whether the configuration in force is known to be the newest since the start.
    fn has_newest_config(&self) -> bool {
        self.ready_generation().is_some()
    }
}
