//! The lease: how this node proves that the table it knows is still the newest.
//!
//! A proof is a time at which the table was the newest. It is read from the store,
//! told by a peer, or gathered from a majority of the table's members: a
//! replacement needs the consent of a majority, so if a majority has not consented
//! yet, no replacement was written before they were asked. In every case its time
//! is that of sending the request that brought it, or earlier.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::Fleet;
use crate::FleetAction;
use crate::GossipMessage;
use crate::limits;
use crate::step::Step;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::NodeKey;

/// Requests to peers whose answers are still taken.
const ASKS_MAX: usize = 16;
/// Ranks that need no chance to read the store or to ask for acknowledgements.
const FIRST_RANKS: usize = 4;
/// Progress of a proof that is worth a hint; less may be an error of clock rates.
const HINT_US: u64 = 200_000;
/// Delay of a node's own efforts for each node that ranks before it.
const RANK_STEP_US: u64 = 200_000;
/// Time for which a peer that asked is told of newer proofs.
const SUBSCRIPTION_US: u64 = 2_500_000;

#[derive(Debug)]
pub(crate) struct Lease {
    /// Members that acknowledged the last round.
    acks: BTreeSet<NodeKey>,
    /// Epoch, number and sending time of the last round of acknowledgements.
    ack_round: Option<(u64, u64, u64)>,
    /// Numbers and sending times of requests.
    asks: VecDeque<(u64, u64)>,
    /// Local time of the first event.
    pub(crate) born_us: u64,
    /// A proof from after the quarantine was seen. A previous run of this node may
    /// have consented to a replacement; that was written by then or never will be.
    cleared: bool,
    /// Tables up to this epoch are not acknowledged any more.
    pub(crate) consented: u64,
    /// No consent before this time, as promised with an acknowledgement.
    promised_us: u64,
    read_due_us: u64,
    /// When the own table was asked for, if there is no answer yet.
    read_pending_us: Option<u64>,
    sequence: u64,
    step_due_us: u64,
    pub(crate) store_ok_us: Option<u64>,
    /// Latest sign that this node or a peer reaches the store.
    store_seen_us: Option<u64>,
    /// Peers that asked, with the time of the last request.
    subscribers: BTreeMap<NodeKey, u64>,
    /// Work may start before this time.
    pub(crate) until_us: u64,
}

impl Lease {
    pub(crate) fn new() -> Self {
        Self {
            acks: BTreeSet::new(),
            ack_round: None,
            asks: VecDeque::new(),
            born_us: 0,
            cleared: false,
            consented: 0,
            promised_us: 0,
            read_due_us: 0,
            read_pending_us: None,
            sequence: 0,
            step_due_us: 0,
            store_ok_us: None,
            store_seen_us: None,
            subscribers: BTreeMap::new(),
            until_us: 0,
        }
    }

    pub(crate) fn wake_us(&self) -> u64 {
        self.step_due_us
    }

    /// Renews at the next opportunity.
    pub(crate) fn hurry(&mut self, now_us: u64) {
        self.step_due_us = now_us;
    }

    pub(crate) fn quarantined(&self, now_us: u64) -> bool {
        now_us < self.born_us + limits::QUARANTINE_US
    }

    /// Whether this node may agree to a replacement now.
    fn may_consent(&self, now_us: u64) -> bool {
        !self.quarantined(now_us) && now_us >= self.promised_us
    }

    /// Stops acknowledging `epoch`; false if that is not allowed now.
    pub(crate) fn consent(&mut self, now_us: u64, epoch: u64) -> bool {
        let may = self.may_consent(now_us);
        if may {
            self.consented = self.consented.max(epoch);
        }
        may
    }

    /// Whether this node may acknowledge `epoch`; the store must be out of sight.
    fn may_acknowledge(&self, now_us: u64, epoch: u64) -> bool {
        let seen = self.store_seen_us;
        let unseen = seen.is_none_or(|at| now_us >= at + limits::STALE_US);
        self.cleared && epoch > self.consented && unseen
    }
}

impl Fleet {
    /// Takes a proof that `epoch` was the newest table at `at_us`.
    pub(crate) fn prove(
        &mut self,
        step: &mut Step<'_>,
        key: DataCentreKey,
        epoch: u64,
        at_us: u64,
        from_store: bool,
    ) {
        let at_us = at_us.min(step.now_us);
        let Some(known) = self.ownership.tables.get_mut(&key) else {
            return;
        };
        if known.table.epoch != epoch || known.proof_us.is_some_and(|it| it >= at_us) {
            return;
        }
        let before = known.proof_us.replace(at_us);
        known.from_store = from_store;
        if key != self.config.data_centre {
            return;
        }
        if from_store {
            let seen = self.lease.store_seen_us.unwrap_or(0);
            self.lease.store_seen_us = Some(seen.max(at_us));
        }
        if at_us >= self.lease.born_us + limits::QUARANTINE_US {
            self.lease.cleared = true;
        }
        let until_us = at_us + limits::LEASE_US;
        if until_us > self.lease.until_us {
            self.lease.until_us = until_us;
            step.push(FleetAction::LeaseUntil(until_us));
        }
        if before.is_none_or(|it| at_us >= it + HINT_US) {
            self.hint_subscribers(step);
        }
    }

    /// Lets the peers that asked lately ask again for the new proof.
    fn hint_subscribers(&mut self, step: &mut Step<'_>) {
        let oldest = step.now_us.saturating_sub(SUBSCRIPTION_US);
        self.lease.subscribers.retain(|_, asked| *asked >= oldest);
        let subscribers: Vec<_> = self.lease.subscribers.keys().copied().collect();
        for peer in subscribers {
            self.send(step, peer, GossipMessage::LeaseHint);
        }
    }

    pub(crate) fn on_lease_hint(&mut self, step: &mut Step<'_>, from: NodeKey) {
        let age_us = self.own_table().and_then(|it| it.proof_us);
        if age_us.is_none_or(|at| step.now_us >= at + HINT_US) {
            self.ask_lease(step, &[from], false);
        }
    }

    /// Acknowledges `epoch` if that is allowed, with the promise not to consent.
    fn acknowledge(&mut self, now_us: u64, epoch: u64) -> bool {
        let may = self.lease.may_acknowledge(now_us, epoch);
        if may {
            self.lease.promised_us = now_us + limits::LEASE_US;
        }
        may
    }

    pub(crate) fn on_lease_ask(
        &mut self,
        step: &mut Step<'_>,
        from: NodeKey,
        epoch: u64,
        sequence: u64,
        acknowledge: bool,
    ) {
        if epoch != self.own_epoch() {
            self.settle_epoch(step, from, epoch);
            return;
        }
        let Some(known) = self.own_table() else {
            return;
        };
        let from_store = known.from_store;
        let age = known.proof_us.map(|at| step.now_us.saturating_sub(at));
        let acknowledged = acknowledge && self.acknowledge(step.now_us, epoch);
        self.lease.subscribers.insert(from, step.now_us);
        let message = GossipMessage::LeaseAnswer {
            acknowledged,
            epoch,
            from_store,
            proof_age_us: age.filter(|&age| age < limits::LEASE_US),
            sequence,
        };
        self.send(step, from, message);
    }

    /// Sends or pulls the newer table when a peer of the data centre has another.
    pub(crate) fn settle_epoch(&mut self, step: &mut Step<'_>, from: NodeKey, epoch: u64) {
        let own = self.own_epoch();
        let key = self.config.data_centre;
        if epoch > own {
            self.want(step, &crate::dissemination::Item::Table(key), epoch, from);
        } else if epoch < own
            && let Some(message) = self.table_message(key)
        {
            self.send(step, from, message);
        }
    }

    pub(crate) fn on_lease_answer(
        &mut self,
        step: &mut Step<'_>,
        from: NodeKey,
        answer: &LeaseAnswer,
    ) {
        let asked = self.lease.asks.iter().find(|it| it.0 == answer.sequence);
        let Some(&(_, sent_us)) = asked else {
            return;
        };
        if answer.epoch != self.own_epoch() {
            self.settle_epoch(step, from, answer.epoch);
            return;
        }
        let key = self.config.data_centre;
        if let Some(age_us) = answer.proof_age_us {
            self.counters.peer_proofs += 1;
            let at_us = sent_us.saturating_sub(age_us);
            self.prove(step, key, answer.epoch, at_us, answer.from_store);
        }
        let round = (answer.epoch, answer.sequence, sent_us);
        if answer.acknowledged && self.lease.ack_round == Some(round) {
            self.lease.acks.insert(from);
            self.count_acks(step);
        }
    }

    /// A majority that has not consented proves the table as of the request.
    fn count_acks(&mut self, step: &mut Step<'_>) {
        let Some((epoch, _, sent_us)) = self.lease.ack_round else {
            return;
        };
        let Some(known) = self.own_table() else {
            return;
        };
        let members = &known.table.members;
        let acks = self.lease.acks.iter();
        let count = acks.filter(|it| members.contains(it)).count();
        if epoch == known.table.epoch && count * 2 > members.len() {
            self.counters.majority_proofs += 1;
            self.prove(step, self.config.data_centre, epoch, sent_us, false);
        }
    }

    fn ask_lease(&mut self, step: &mut Step<'_>, peers: &[NodeKey], acknowledge: bool) {
        self.lease.sequence += 1;
        let sequence = self.lease.sequence;
        let epoch = self.own_epoch();
        self.lease.asks.push_back((sequence, step.now_us));
        if self.lease.asks.len() > ASKS_MAX {
            self.lease.asks.pop_front();
        }
        if acknowledge {
            self.lease.acks.clear();
            self.lease.ack_round = Some((epoch, sequence, step.now_us));
            if self.acknowledge(step.now_us, epoch) {
                self.lease.acks.insert(self.config.node);
            }
            self.count_acks(step);
        }
        for &peer in peers {
            let message = GossipMessage::LeaseAsk {
                acknowledge,
                epoch,
                sequence,
            };
            self.send(step, peer, message);
        }
    }

    pub(crate) fn run_lease(&mut self, step: &mut Step<'_>) {
        let now = step.now_us;
        if self.lease.step_due_us > now {
            return;
        }
        self.lease.step_due_us = now + limits::LEASE_STEP_US;
        let rank = self.views.own_rank();
        let Some(known) = self.own_table() else {
            self.read_own_table(step, limits::STORE_RETRY_US * (1 + rank.min(3) as u64));
            return;
        };
        let age = known.proof_us.map_or(u64::MAX, |at| now - at.min(now));
        let from_store = known.from_store;
        let stale = age > limits::STALE_US;
        // Behind the first ranks only a few nodes act by themselves, so that a large
        // data centre does not turn to the store and to all members at once.
        let alone = now >= self.membership.contact_us + limits::STALE_US;
        let acts = rank < FIRST_RANKS || alone || self.rng.usize(..rank) < FIRST_RANKS;
        if rank == 0 {
            self.read_own_table(step, limits::STORE_RETRY_US);
        } else if acts && age > limits::STALE_US + rank.min(FIRST_RANKS) as u64 * RANK_STEP_US {
            self.read_own_table(step, limits::STALE_READ_US);
        }
        let mut peers = Vec::new();
        if rank > 0 && age > limits::STORE_RETRY_US {
            peers.push(self.views.ranked[(rank - 1) / limits::LEASE_FAN_OUT]);
        }
        if stale {
            for peer in crate::views::choose(&mut self.rng, &self.views.near, 2) {
                if !peers.contains(&peer) {
                    peers.push(peer);
                }
            }
        }
        // The reader keeps asking for acknowledgements once they are all there is;
        // other nodes ask only if nothing reaches them through the tree.
        let wait = if rank == 0 && !from_store {
            limits::LEASE_STEP_US
        } else {
            limits::STALE_US + rank.min(FIRST_RANKS) as u64 * RANK_STEP_US
        };
        if acts && age > wait {
            let members = self.own_table().map(|it| it.table.members.clone());
            peers = members.unwrap_or_default();
            peers.retain(|&it| it != self.config.node);
            self.ask_lease(step, &peers, true);
        } else if !peers.is_empty() {
            self.ask_lease(step, &peers, false);
        }
    }

    pub(crate) fn read_own_table(&mut self, step: &mut Step<'_>, period_us: u64) {
        let pending = self.lease.read_pending_us;
        let pending = pending.is_some_and(|at| step.now_us < at + limits::READ_TIMEOUT_US);
        if pending || self.lease.read_due_us > step.now_us {
            return;
        }
        // A small allowance keeps a period that is a multiple of the step whole.
        self.lease.read_due_us = step.now_us + period_us - limits::LEASE_STEP_US / 4;
        self.lease.read_pending_us = Some(step.now_us);
        self.counters.store_reads += 1;
        step.push(FleetAction::ReadTable(self.config.data_centre));
    }

    /// Reads the own table now unless a read is under way.
    pub(crate) fn hurry_table_read(&mut self, step: &mut Step<'_>) {
        self.lease.read_due_us = self.lease.read_due_us.min(step.now_us);
        self.read_own_table(step, limits::STORE_RETRY_US);
    }

    pub(crate) fn end_table_read(&mut self, key: DataCentreKey) {
        if key == self.config.data_centre {
            self.lease.read_pending_us = None;
        }
    }
}

/// The parts of an answer to a request for confirmation.
pub(crate) struct LeaseAnswer {
    pub(crate) acknowledged: bool,
    pub(crate) epoch: u64,
    pub(crate) from_store: bool,
    pub(crate) proof_age_us: Option<u64>,
    pub(crate) sequence: u64,
}
