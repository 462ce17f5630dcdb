//! Ownership leases: how a node proves that its ownership table is still the newest.
//!
//! A lease is the right to start requests to the replicas that the table assigns to the node. The
//! epoch is the version of the table.
//! A proof is evidence that the table was the newest at a certain time. It comes from a
//! store read, from a peer's proof or from acknowledgements by a majority of the table's
//! members. A member that acknowledges the table states that it has not consented to a
//! replacement. A replacement needs the consent of a majority, so if a majority
//! acknowledges, no replacement was written before the acknowledgements were requested. In
//! every case the proof counts from the time the request was sent or earlier, never from the
//! arrival of the reply. During the quarantine after its start, a node neither consents nor
//! acknowledges.
//!
//! The nodes of a data centre are ranked by a hash of their names and form a tree: the parent of
//! rank n is rank (n - 1) / `LEASE_FAN_OUT`. Each requests proofs from its parent, so that in
//! normal operation only the node of rank 0 reads the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::Fleet;
use crate::FleetAction;
use crate::GossipMessage;
use crate::event_context::EventContext;
use crate::limits;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::NodeKey;

/// Number of latest requests to peers whose replies are still accepted.
const PENDING_REQUESTS_MAX: usize = 16;
/// Number of nodes at the head of the ranking that renew a stale proof without their parent in
/// the tree; each node behind them does so with a probability that falls with its rank.
const RANKS_ALWAYS_RENEWING: usize = 4;
/// Smallest advance of the proof time of which subscribers are notified. A smaller one may
/// come from differing clock rates alone.
const HINT_THRESHOLD_US: u64 = 200_000;
/// Delay before a node renews without its parent, for each node that ranks before it.
const RENEW_RANK_DELAY_US: u64 = 200_000;
/// Time after a peer's latest request during which it is notified of newer proofs.
const SUBSCRIPTION_US: u64 = 2_500_000;

/// Lease state of this node for the table of its data centre.
#[derive(Debug)]
pub(crate) struct Lease {
    /// Members that acknowledged the table in the latest round.
    acks: BTreeSet<NodeKey>,
    /// Epoch, sequence number and sending time of the latest round of acknowledgements.
    ack_round: Option<(u64, u64, u64)>,
    /// Sequence numbers and sending times of the latest requests to peers.
    pending_requests: VecDeque<(u64, u64)>,
    /// Local time of the first event, at which the quarantine begins.
    pub(crate) started_us: u64,
    /// Whether a proof from after the quarantine has arrived. Without one, this node does
    /// not acknowledge: its previous run may have consented to a replacement. By the end of the
    /// quarantine, that replacement either was written or never will be.
    proved_after_quarantine: bool,
    /// Tables up to this epoch are no longer acknowledged, since this node consented to
    /// their replacement.
    pub(crate) consented_epoch: u64,
    /// This node does not consent before this time, as it promised with an acknowledgement.
    consent_blocked_until_us: u64,
    /// Earliest time of the next read of the own table.
    read_due_us: u64,
    /// Time of the outstanding read of the own table.
    read_pending_us: Option<u64>,
    /// Sequence number of the latest request to peers.
    sequence: u64,
    /// Time of the next attempt to renew the lease.
    renew_due_us: u64,
    /// Local time of the latest successful store call.
    pub(crate) store_answered_us: Option<u64>,
    /// Latest proof time that came from the store, read by this node or by a peer.
    store_proof_us: Option<u64>,
    /// Peers that requested a proof, with the time of their latest request.
    subscribers: BTreeMap<NodeKey, u64>,
    /// End of the lease: requests may start before this local time.
    pub(crate) until_us: u64,
}

impl Lease {
    pub(crate) fn new() -> Self {
        Self {
            acks: BTreeSet::new(),
            ack_round: None,
            pending_requests: VecDeque::new(),
            started_us: 0,
            proved_after_quarantine: false,
            consented_epoch: 0,
            consent_blocked_until_us: 0,
            read_due_us: 0,
            read_pending_us: None,
            sequence: 0,
            renew_due_us: 0,
            store_answered_us: None,
            store_proof_us: None,
            subscribers: BTreeMap::new(),
            until_us: 0,
        }
    }

    pub(crate) fn wake_us(&self) -> u64 {
        self.renew_due_us
    }

    /// Makes the next renewal due now.
    pub(crate) fn renew_now(&mut self, now_us: u64) {
        self.renew_due_us = now_us;
    }

    /// Returns whether this node started so recently that promises of its previous run may
    /// still hold.
    pub(crate) fn quarantined(&self, now_us: u64) -> bool {
        now_us < self.started_us + limits::QUARANTINE_US
    }

    /// Returns whether this node may consent to a replacement now.
    fn may_consent(&self, now_us: u64) -> bool {
        !self.quarantined(now_us) && now_us >= self.consent_blocked_until_us
    }

    /// Consents to the replacement of the table `epoch`, which this node then no longer
    /// acknowledges. Returns false if that is not allowed now.
    pub(crate) fn consent(&mut self, now_us: u64, epoch: u64) -> bool {
        let allowed = self.may_consent(now_us);
        if allowed {
            self.consented_epoch = self.consented_epoch.max(epoch);
        }
        allowed
    }

    /// Returns whether this node may acknowledge the table `epoch`. It may only while no recent
    /// proof came from the store: otherwise acknowledgements are not needed, and they would
    /// delay consent.
    fn may_acknowledge(&self, now_us: u64, epoch: u64) -> bool {
        let store_proof_us = self.store_proof_us;
        let store_proof_stale =
            store_proof_us.is_none_or(|at| now_us >= at + limits::STALE_PROOF_US);
        self.proved_after_quarantine && epoch > self.consented_epoch && store_proof_stale
    }
}

impl Fleet {
    /// Records a proof that the table `epoch` was the newest at `at_us`, and extends the lease.
    pub(crate) fn record_proof(
        &mut self,
        cx: &mut EventContext<'_>,
        key: DataCentreKey,
        epoch: u64,
        at_us: u64,
        from_store: bool,
    ) {
        let at_us = at_us.min(cx.now_us);
        let Some(known) = self.ownership.tables.get_mut(&key) else {
            return;
        };
        if known.table.epoch != epoch || known.proof_us.is_some_and(|it| it >= at_us) {
            return;
        }
        let before = known.proof_us.replace(at_us);
        known.from_store = from_store;
        if key != self.settings.data_centre {
            return;
        }
        if from_store {
            let store_proof_us = self.lease.store_proof_us.unwrap_or(0);
            self.lease.store_proof_us = Some(store_proof_us.max(at_us));
        }
        if at_us >= self.lease.started_us + limits::QUARANTINE_US {
            self.lease.proved_after_quarantine = true;
        }
        let until_us = at_us + limits::LEASE_US;
        if until_us > self.lease.until_us {
            self.lease.until_us = until_us;
            cx.push(FleetAction::LeaseUntil(until_us));
        }
        if before.is_none_or(|it| at_us >= it + HINT_THRESHOLD_US) {
            self.notify_subscribers(cx);
        }
    }

    /// Notifies the peers that requested a proof lately that they can request a newer one.
    fn notify_subscribers(&mut self, cx: &mut EventContext<'_>) {
        let oldest = cx.now_us.saturating_sub(SUBSCRIPTION_US);
        self.lease
            .subscribers
            .retain(|_, requested_us| *requested_us >= oldest);
        let subscribers: Vec<_> = self.lease.subscribers.keys().copied().collect();
        for peer in subscribers {
            self.send(cx, peer, GossipMessage::LeaseHint);
        }
    }

    /// Requests a proof from a peer that announced a newer one.
    pub(crate) fn on_lease_hint(&mut self, cx: &mut EventContext<'_>, from: NodeKey) {
        let proof_us = self.own_table().and_then(|it| it.proof_us);
        if proof_us.is_none_or(|at| cx.now_us >= at + HINT_THRESHOLD_US) {
            self.request_lease_proof(cx, &[from], false);
        }
    }

    /// Acknowledges the table `epoch` if that is allowed, and promises not to consent for the
    /// length of a lease.
    fn acknowledge(&mut self, now_us: u64, epoch: u64) -> bool {
        let allowed = self.lease.may_acknowledge(now_us, epoch);
        if allowed {
            self.lease.consent_blocked_until_us = now_us + limits::LEASE_US;
        }
        allowed
    }

    /// Replies to a request with this node's proof and, if requested and allowed, an
    /// acknowledgement.
    pub(crate) fn on_lease_ask(
        &mut self,
        cx: &mut EventContext<'_>,
        from: NodeKey,
        epoch: u64,
        sequence: u64,
        acknowledge: bool,
    ) {
        if epoch != self.own_epoch() {
            self.reconcile_epoch(cx, from, epoch);
            return;
        }
        let Some(known) = self.own_table() else {
            return;
        };
        let from_store = known.from_store;
        let age = known.proof_us.map(|at| cx.now_us.saturating_sub(at));
        let acknowledged = acknowledge && self.acknowledge(cx.now_us, epoch);
        self.lease.subscribers.insert(from, cx.now_us);
        let message = GossipMessage::LeaseAnswer {
            acknowledged,
            epoch,
            from_store,
            proof_age_us: age.filter(|&age| age < limits::LEASE_US),
            sequence,
        };
        self.send(cx, from, message);
    }

    /// Sends the own table to a peer of the data centre that has an older one, or pulls the
    /// peer's newer one.
    pub(crate) fn reconcile_epoch(&mut self, cx: &mut EventContext<'_>, from: NodeKey, epoch: u64) {
        let own = self.own_epoch();
        let key = self.settings.data_centre;
        if epoch > own {
            self.request_record(
                cx,
                &crate::dissemination::RecordKey::Table(key),
                epoch,
                from,
            );
        } else if epoch < own
            && let Some(message) = self.table_message(key)
        {
            self.send(cx, from, message);
        }
    }

    pub(crate) fn on_lease_answer(
        &mut self,
        cx: &mut EventContext<'_>,
        from: NodeKey,
        answer: &LeaseAnswerFields,
    ) {
        let request = self
            .lease
            .pending_requests
            .iter()
            .find(|it| it.0 == answer.sequence);
        let Some(&(_, sent_us)) = request else {
            return;
        };
        if answer.epoch != self.own_epoch() {
            self.reconcile_epoch(cx, from, answer.epoch);
            return;
        }
        let key = self.settings.data_centre;
        if let Some(age_us) = answer.proof_age_us {
            self.counters.peer_proofs += 1;
            let at_us = sent_us.saturating_sub(age_us);
            self.record_proof(cx, key, answer.epoch, at_us, answer.from_store);
        }
        let round = (answer.epoch, answer.sequence, sent_us);
        if answer.acknowledged && self.lease.ack_round == Some(round) {
            self.lease.acks.insert(from);
            self.check_ack_majority(cx);
        }
    }

    /// Once a majority of the members has acknowledged the table, records a proof as of the time
    /// of the request.
    fn check_ack_majority(&mut self, cx: &mut EventContext<'_>) {
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
            self.record_proof(cx, self.settings.data_centre, epoch, sent_us, false);
        }
    }

    /// Requests a proof from each of `peers`; with `acknowledge`, starts a round of
    /// acknowledgements.
    fn request_lease_proof(
        &mut self,
        cx: &mut EventContext<'_>,
        peers: &[NodeKey],
        acknowledge: bool,
    ) {
        self.lease.sequence += 1;
        let sequence = self.lease.sequence;
        let epoch = self.own_epoch();
        self.lease.pending_requests.push_back((sequence, cx.now_us));
        if self.lease.pending_requests.len() > PENDING_REQUESTS_MAX {
            self.lease.pending_requests.pop_front();
        }
        if acknowledge {
            self.lease.acks.clear();
            self.lease.ack_round = Some((epoch, sequence, cx.now_us));
            if self.acknowledge(cx.now_us, epoch) {
                self.lease.acks.insert(self.settings.node);
            }
            self.check_ack_majority(cx);
        }
        for &peer in peers {
            let message = GossipMessage::LeaseAsk {
                acknowledge,
                epoch,
                sequence,
            };
            self.send(cx, peer, message);
        }
    }

    /// Renews the proof once in each renewal interval, by a store read, by a request to the
    /// parent in the tree or by a round of acknowledgements.
    pub(crate) fn run_lease(&mut self, cx: &mut EventContext<'_>) {
        let now = cx.now_us;
        if self.lease.renew_due_us > now {
            return;
        }
        self.lease.renew_due_us = now + limits::LEASE_RENEW_INTERVAL_US;
        let rank = self.groups.own_rank();
        let Some(known) = self.own_table() else {
            // Without a table, a node reads less often the higher its rank is, down to a quarter
            // of the reads of rank 0.
            self.read_own_table(
                cx,
                limits::STORE_RETRY_INTERVAL_US * (1 + rank.min(3) as u64),
            );
            return;
        };
        let age = known.proof_us.map_or(u64::MAX, |at| now - at.min(now));
        let from_store = known.from_store;
        let stale = age > limits::STALE_PROOF_US;
        // Behind the first ranks only a few nodes renew without their parent, so that a large
        // data centre does not load the store and all members at once.
        let isolated = now >= self.membership.last_contact_us + limits::STALE_PROOF_US;
        let renews_itself = rank < RANKS_ALWAYS_RENEWING
            || isolated
            || self.rng.usize(..rank) < RANKS_ALWAYS_RENEWING;
        if rank == 0 {
            self.read_own_table(cx, limits::STORE_RETRY_INTERVAL_US);
        } else if renews_itself
            && age
                > limits::STALE_PROOF_US
                    + rank.min(RANKS_ALWAYS_RENEWING) as u64 * RENEW_RANK_DELAY_US
        {
            self.read_own_table(cx, limits::LOWER_RANK_READ_INTERVAL_US);
        }
        let mut peers = Vec::new();
        if rank > 0 && age > limits::STORE_RETRY_INTERVAL_US {
            peers.push(self.groups.ranked_nodes[(rank - 1) / limits::LEASE_FAN_OUT]);
        }
        if stale {
            // The parent may be unreachable or lack a proof itself.
            for peer in crate::member_groups::sample(&mut self.rng, &self.groups.dc_peers, 2) {
                if !peers.contains(&peer) {
                    peers.push(peer);
                }
            }
        }
        // The node of rank 0 repeats the round of acknowledgements in every interval while
        // its proof does not come from the store. Other nodes start one only if no proof
        // reaches them through the tree.
        let ack_round_after_us = if rank == 0 && !from_store {
            limits::LEASE_RENEW_INTERVAL_US
        } else {
            limits::STALE_PROOF_US + rank.min(RANKS_ALWAYS_RENEWING) as u64 * RENEW_RANK_DELAY_US
        };
        if renews_itself && age > ack_round_after_us {
            let members = self.own_table().map(|it| it.table.members.clone());
            peers = members.unwrap_or_default();
            peers.retain(|&it| it != self.settings.node);
            self.request_lease_proof(cx, &peers, true);
        } else if !peers.is_empty() {
            self.request_lease_proof(cx, &peers, false);
        }
    }

    pub(crate) fn read_own_table(&mut self, cx: &mut EventContext<'_>, period_us: u64) {
        let pending = self.lease.read_pending_us;
        let pending = pending.is_some_and(|at| cx.now_us < at + limits::READ_TIMEOUT_US);
        if pending || self.lease.read_due_us > cx.now_us {
            return;
        }
        // Reads start only with a renewal. The quarter of a renewal interval lets a period
        // that is a multiple of this interval fall due on time, not one interval later.
        self.lease.read_due_us = cx.now_us + period_us - limits::LEASE_RENEW_INTERVAL_US / 4;
        self.lease.read_pending_us = Some(cx.now_us);
        self.counters.store_reads += 1;
        cx.push(FleetAction::ReadTable(self.settings.data_centre));
    }

    /// Reads the own table now unless a read is outstanding.
    pub(crate) fn expedite_table_read(&mut self, cx: &mut EventContext<'_>) {
        self.lease.read_due_us = self.lease.read_due_us.min(cx.now_us);
        self.read_own_table(cx, limits::STORE_RETRY_INTERVAL_US);
    }

    pub(crate) fn end_table_read(&mut self, key: DataCentreKey) {
        if key == self.settings.data_centre {
            self.lease.read_pending_us = None;
        }
    }
}

/// Fields of a `LeaseAnswer` message.
pub(crate) struct LeaseAnswerFields {
    pub(crate) acknowledged: bool,
    pub(crate) epoch: u64,
    pub(crate) from_store: bool,
    pub(crate) proof_age_us: Option<u64>,
    pub(crate) sequence: u64,
}
