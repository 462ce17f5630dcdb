//! Tests how a single member handles records, tables, hand-overs and requests.
//!
//! An ownership table assigns replicas to nodes; its version is the epoch. A lease is the right of
//! an owner to start requests, and a proof is evidence that the table was the newest at a certain
//! time. A member that consents to the replacement of a table may no longer acknowledge the table.
//! In the quarantine, 1.1 times the length of a lease after its start, it does neither.

use std::collections::BTreeMap;
use std::sync::Arc;

use wigeonhall_fleet::ConfigManifest;
use wigeonhall_fleet::Fleet;
use wigeonhall_fleet::FleetAction;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::FleetSettings;
use wigeonhall_fleet::GossipMessage;
use wigeonhall_fleet::LEASE_MS;
use wigeonhall_fleet::TableRecord;
use wigeonhall_types::DataCentre;
use wigeonhall_types::Deployment;
use wigeonhall_types::HandOverState;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::Vm;
use wigeonhall_types::VmState;
use wigeonhall_types::VmStatus;

/// Microseconds in a second.
const SECOND: u64 = 1_000_000;
/// Time of the first event of a member.
const START: u64 = 100 * SECOND;

struct Member {
    catalog: NameCatalog,
    fleet: Fleet,
}

impl Member {
    /// Creates a node that starts at `START`.
    fn new() -> Self {
        let mut catalog = NameCatalog::default();
        let config = FleetSettings {
            boot: 1,
            data_centre: catalog.data_centre("dc-a"),
            node: catalog.node("vm-a"),
            region: "south".into(),
            seeds: Vec::new(),
        };
        let fleet = Fleet::new(config, 1);
        let mut member = Self { catalog, fleet };
        member.handle(START, FleetEvent::Tick);
        member
    }

    fn handle(&mut self, now_us: u64, event: FleetEvent) -> Vec<FleetAction> {
        let mut actions = Vec::new();
        self.fleet
            .handle(now_us, event, &mut self.catalog, &mut actions);
        actions
    }

    /// Delivers a message from `vm-b` and returns the consents and `LeaseAnswer` replies to it.
    fn deliver_gossip(&mut self, now_us: u64, message: GossipMessage) -> Vec<GossipMessage> {
        let from = self.catalog.node("vm-b");
        let actions = self.handle(now_us, FleetEvent::Gossip { from, message });
        let sent = actions.into_iter().filter_map(|action| match action {
            FleetAction::Send { message, to } if to == from => Some(message),
            _ => None,
        });
        let wanted = |it: &GossipMessage| {
            matches!(
                it,
                GossipMessage::Consent { .. } | GossipMessage::LeaseAnswer { .. }
            )
        };
        sent.filter(wanted).collect()
    }

    /// Delivers a store read of the table `epoch`, in which this node owns the replica.
    fn read_table(&mut self, now_us: u64, epoch: u64) -> Vec<FleetAction> {
        self.read_table_sent_at(now_us, now_us, epoch)
    }

    fn read_table_sent_at(&mut self, sent_us: u64, now_us: u64, epoch: u64) -> Vec<FleetAction> {
        let names = ["vm-a", "vm-b", "vm-c"].map(Arc::<str>::from);
        let table = TableRecord {
            data_centre: "dc-a".into(),
            epoch,
            members: names.to_vec(),
            owners: BTreeMap::from([("replica".into(), "vm-a".into())]),
            write_id: epoch,
        };
        let data_centre = self.catalog.data_centre("dc-a");
        let table = Some(table);
        self.handle(
            now_us,
            FleetEvent::TableRead {
                data_centre,
                sent_us,
                table,
            },
        )
    }

    /// Ticks until the member requests acknowledgements; returns the time and the sequence
    /// number.
    fn await_ack_request(&mut self, mut now_us: u64) -> (u64, u64) {
        loop {
            for action in self.handle(now_us, FleetEvent::Tick) {
                if let FleetAction::Send { message, .. } = action
                    && let GossipMessage::LeaseAsk {
                        acknowledge,
                        sequence,
                        ..
                    } = message
                    && acknowledge
                {
                    return (now_us, sequence);
                }
            }
            now_us += SECOND / 100;
        }
    }

    /// Replies to a request as `name` and returns the end of the lease if it was extended.
    fn reply_to_lease_request(
        &mut self,
        now_us: u64,
        name: &str,
        sequence: u64,
        proof_age_us: Option<u64>,
    ) -> Option<u64> {
        let from = self.catalog.node(name);
        let message = GossipMessage::LeaseAnswer {
            acknowledged: proof_age_us.is_none(),
            epoch: 5,
            from_store: proof_age_us.is_some(),
            proof_age_us,
            sequence,
        };
        lease_end(&self.handle(now_us, FleetEvent::Gossip { from, message }))
    }

    fn hand_over(&mut self, now_us: u64, epoch: u64) -> Vec<FleetAction> {
        let replica = self.catalog.replica("replica");
        let state = HandOverState::warm();
        let event = FleetEvent::HandOver {
            epoch,
            replica,
            state,
        };
        self.handle(now_us, event)
    }

    /// Puts a configuration in force that contains this node only.
    fn configure(&mut self, now_us: u64) {
        let event = FleetEvent::ConfigRead {
            manifest: Some(manifest(1)),
            parts: Vec::new(),
        };
        self.handle(now_us, event);
        let data_centre = self.catalog.data_centre("dc-a");
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let vm = Vm {
            caller_address: address,
            data_centre,
            node_address: address,
            out: false,
        };
        let dc = DataCentre {
            out: false,
            region: "south".into(),
        };
        let deployment = Deployment {
            data_centres: BTreeMap::from([(data_centre, dc)]),
            generation: 1,
            vms: BTreeMap::from([(self.catalog.node("vm-a"), vm)]),
            ..Deployment::default()
        };
        self.handle(now_us, FleetEvent::Deployment(Arc::new(deployment)));
    }

    /// Ticks and answers all table reads, and VM list reads if `answer_list` is set.
    fn tick_and_answer_reads(&mut self, now_us: u64, answer_list: bool) -> Vec<FleetAction> {
        let mut actions = self.handle(now_us, FleetEvent::Tick);
        let mut next = 0;
        while let Some(action) = actions.get(next) {
            let more = match action {
                FleetAction::ReadTable(_) => self.read_table(now_us, 5),
                FleetAction::ReadVmList if answer_list => self.deliver_vm_list(now_us),
                _ => Vec::new(),
            };
            actions.extend(more);
            next += 1;
        }
        actions
    }

    /// Delivers a VM list that contains this node only.
    fn deliver_vm_list(&mut self, now_us: u64) -> Vec<FleetAction> {
        let own = VmStatus {
            name: "vm-a".into(),
            state: VmState::Live,
        };
        self.handle(now_us, FleetEvent::VmList(vec![own]))
    }

    fn consents(&mut self, now_us: u64, epoch: u64) -> bool {
        let sequence = now_us;
        let message = GossipMessage::ConsentAsk { epoch, sequence };
        self.deliver_gossip(now_us, message) == [GossipMessage::Consent { epoch, sequence }]
    }

    fn acknowledges(&mut self, now_us: u64, epoch: u64) -> bool {
        let request = GossipMessage::LeaseAsk {
            acknowledge: true,
            epoch,
            sequence: now_us,
        };
        let yes = |it: GossipMessage| {
            matches!(
                it,
                GossipMessage::LeaseAnswer {
                    acknowledged: true,
                    ..
                }
            )
        };
        self.deliver_gossip(now_us, request).into_iter().any(yes)
    }
}

fn manifest(generation: u64) -> ConfigManifest {
    ConfigManifest {
        author: "operator".into(),
        change_id: "change".into(),
        contains: Vec::new(),
        generation,
        parts: Vec::new(),
    }
}

fn lease_end(actions: &[FleetAction]) -> Option<u64> {
    actions.iter().find_map(|it| match it {
        FleetAction::LeaseUntil(until_us) => Some(*until_us),
        _ => None,
    })
}

/// Guards against a lease that counts from the arrival of a late reply: the table may have
/// been replaced while the reply was in flight.
#[test]
fn a_lease_counts_from_sending_the_request() {
    let lease_us = LEASE_MS * 1000;
    let mut member = Member::new();
    let read = member.read_table_sent_at(START + 10 * SECOND, START + 12 * SECOND, 5);
    assert_eq!(lease_end(&read), Some(START + 10 * SECOND + lease_us));
    // The peer's proof was half a second old when it replied.
    let (sent_us, sequence) = member.await_ack_request(START + 13 * SECOND);
    let until_us =
        member.reply_to_lease_request(sent_us + SECOND, "vm-b", sequence, Some(SECOND / 2));
    assert_eq!(until_us, Some(sent_us - SECOND / 2 + lease_us));
    // The member itself and one acknowledgement are a majority of three.
    let (sent_us, sequence) = member.await_ack_request(START + 30 * SECOND);
    let until_us = member.reply_to_lease_request(sent_us + SECOND, "vm-c", sequence, None);
    assert_eq!(until_us, Some(sent_us + lease_us));
}

/// Guards against a restarted member that consents while an acknowledgement of its previous
/// run still counts.
#[test]
fn no_consent_in_quarantine() {
    let mut member = Member::new();
    member.read_table(START + SECOND, 5);
    assert!(!member.consents(START + LEASE_MS * 1000 - 1, 5));
    assert!(member.consents(START + LEASE_MS * 1100 + 1, 5));
}

/// Guards against a restarted member that acknowledges a table whose replacement its
/// previous run consented to.
#[test]
fn no_acknowledgement_without_a_proof_after_quarantine() {
    let mut member = Member::new();
    member.read_table(START + SECOND, 5);
    assert!(!member.acknowledges(START + 60 * SECOND, 5));
    member.read_table(START + 70 * SECOND, 5);
    assert!(member.acknowledges(START + 80 * SECOND, 5));
}

/// Guards against acknowledgements while the store is reachable, which would delay consent
/// needlessly.
#[test]
fn no_acknowledgement_while_the_store_answers() {
    let mut member = Member::new();
    member.read_table(START + 10 * SECOND, 5);
    assert!(!member.acknowledges(START + 11 * SECOND, 5));
}

/// Guards against a member that acknowledges a table after it consented to replace it, or
/// that consents during the promise given with an acknowledgement.
#[test]
fn consent_and_acknowledgement_exclude_each_other() {
    // Every event may renew the promise not to consent that the member gives to itself, so each
    // checked time uses a new member.
    let promised = || {
        let mut member = Member::new();
        member.read_table(START + 10 * SECOND, 5);
        assert!(member.acknowledges(START + 20 * SECOND, 5));
        member
    };
    let end = START + 20 * SECOND + LEASE_MS * 1000;
    assert!(!promised().consents(end - 1, 5));
    let mut member = promised();
    assert!(member.consents(end, 5));
    assert!(!member.acknowledges(START + 40 * SECOND, 5));
    member.read_table(START + 41 * SECOND, 6);
    assert!(member.acknowledges(START + 50 * SECOND, 6));
}

/// Guards against a grant by a timer that expired while the node was paused.
#[test]
fn an_expired_timer_grants_nothing_without_a_proof() {
    let mut member = Member::new();
    member.read_table(START + SECOND, 5);
    let granted = |it: &FleetAction| matches!(it, FleetAction::Grant { .. });
    let late_tick = member.handle(START + 60 * SECOND, FleetEvent::Tick);
    assert!(!late_tick.iter().any(granted));
    let proved = member.read_table(START + 61 * SECOND, 5);
    assert!(proved.iter().any(granted));
}

fn has_grant(actions: &[FleetAction]) -> bool {
    actions
        .iter()
        .any(|it| matches!(it, FleetAction::Grant { .. }))
}

/// Guards against a node that keeps a replica although a skipped epoch may have assigned it
/// to another node, or that accepts a hand-over of a skipped epoch.
#[test]
fn skipped_epochs_revoke_grants() {
    let mut member = Member::new();
    member.read_table(START + SECOND, 5);
    assert!(has_grant(&member.read_table(START + 5 * SECOND, 5)));
    let next = member.read_table(START + 6 * SECOND, 6);
    assert!(
        !next
            .iter()
            .any(|it| matches!(it, FleetAction::Revoke { .. }))
    );
    let gap = member.read_table(START + 7 * SECOND, 8);
    let revoked = |it: &FleetAction| {
        matches!(
            it,
            FleetAction::Revoke {
                successor: None,
                ..
            }
        )
    };
    assert!(gap.iter().any(revoked) && !has_grant(&gap));
    assert!(!has_grant(&member.hand_over(START + 7 * SECOND, 6)));
    assert!(!has_grant(&member.hand_over(START + 7 * SECOND, 7)));
    assert!(has_grant(&member.hand_over(START + 7 * SECOND, 8)));
}

/// Guards against the loss of a hand-over that arrives before its table.
#[test]
fn an_early_hand_over_waits_for_its_table() {
    let mut member = Member::new();
    assert!(!has_grant(&member.hand_over(START + SECOND, 5)));
    assert!(has_grant(&member.read_table(START + 2 * SECOND, 5)));
}

/// Guards against an older record or deployment that replaces a newer one.
#[test]
fn only_larger_generations_are_adopted() {
    let mut member = Member::new();
    let from = member.catalog.node("vm-b");
    let mut adopts = |generation| {
        let message = GossipMessage::Config(manifest(generation));
        let actions = member.handle(START + SECOND, FleetEvent::Gossip { from, message });
        actions
            .iter()
            .any(|it| matches!(it, FleetAction::AdoptConfig(_)))
    };
    assert!(adopts(5));
    assert!(!adopts(3));
    assert!(!adopts(5));
    assert!(adopts(6));
    let mut puts_in_force = |generation| {
        let deployment = Arc::new(Deployment {
            generation,
            ..Deployment::default()
        });
        let actions = member.handle(START + SECOND, FleetEvent::Deployment(deployment));
        actions
            .iter()
            .any(|it| matches!(it, FleetAction::Deployment(_)))
    };
    assert!(puts_in_force(6));
    assert!(!puts_in_force(5));
}

/// Guards against counting a member as gone by an outdated VM list although it has returned
/// and acknowledges the table, and against a failed read of the VM list after which every later
/// list counts as outdated.
#[test]
fn gone_members_count_only_by_a_vm_list_of_the_same_round() {
    let mut member = Member::new();
    member.read_table(START, 5);
    member.configure(START + SECOND);
    member.deliver_vm_list(START + SECOND);
    let writes = |it: &FleetAction| matches!(it, FleetAction::WriteTable { .. });
    let mut now_us = START + SECOND;
    while now_us < START + 20 * SECOND {
        now_us += SECOND / 100;
        assert!(
            !member
                .tick_and_answer_reads(now_us, false)
                .iter()
                .any(writes)
        );
    }
    let mut written = false;
    while now_us < START + 60 * SECOND && !written {
        now_us += SECOND / 100;
        written = member
            .tick_and_answer_reads(now_us, true)
            .iter()
            .any(writes);
    }
    assert!(written);
}
