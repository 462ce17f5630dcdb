//! What a member answers when it is asked to confirm or to give up a table.

use std::collections::BTreeMap;
use std::sync::Arc;
use wigeonhall_fleet::Fleet;
use wigeonhall_fleet::FleetAction;
use wigeonhall_fleet::FleetConfig;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::GossipMessage;
use wigeonhall_fleet::LEASE_MS;
use wigeonhall_fleet::TableRecord;
use wigeonhall_types::Catalog;

const S: u64 = 1_000_000;
const START: u64 = 100 * S;

struct Member {
    catalog: Catalog,
    fleet: Fleet,
}

impl Member {
    /// A node that started at `START`.
    fn new() -> Self {
        let mut catalog = Catalog::default();
        let config = FleetConfig {
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

    /// Answers of the kinds asked for, sent on a message from `vm-b`.
    fn ask(&mut self, now_us: u64, message: GossipMessage) -> Vec<GossipMessage> {
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

    fn read_table(&mut self, now_us: u64, epoch: u64) -> Vec<FleetAction> {
        let names = ["vm-a", "vm-b", "vm-c"].map(Arc::<str>::from);
        let table = TableRecord {
            data_centre: "dc-a".into(),
            epoch,
            members: names.to_vec(),
            owners: BTreeMap::from([("replica".into(), "vm-a".into())]),
            write_id: epoch,
        };
        let data_centre = self.catalog.data_centre("dc-a");
        let sent_us = now_us;
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

    fn consents(&mut self, now_us: u64, epoch: u64) -> bool {
        let sequence = now_us;
        let message = GossipMessage::ConsentAsk { epoch, sequence };
        self.ask(now_us, message) == [GossipMessage::Consent { epoch, sequence }]
    }

    fn acknowledges(&mut self, now_us: u64, epoch: u64) -> bool {
        let ask = GossipMessage::LeaseAsk {
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
        self.ask(now_us, ask).into_iter().any(yes)
    }
}

/// Guards against a restarted member that consents while an acknowledgement of its
/// previous run still counts.
#[test]
fn no_consent_in_quarantine() {
    let mut member = Member::new();
    member.read_table(START + S, 5);
    assert!(!member.consents(START + LEASE_MS * 1000 - 1, 5));
    assert!(member.consents(START + LEASE_MS * 1100 + 1, 5));
}

/// Guards against a restarted member that acknowledges a table which its previous
/// run consented to replace.
#[test]
fn no_acknowledgement_without_a_proof_after_quarantine() {
    let mut member = Member::new();
    member.read_table(START + S, 5);
    assert!(!member.acknowledges(START + 60 * S, 5));
    member.read_table(START + 70 * S, 5);
    assert!(member.acknowledges(START + 80 * S, 5));
}

/// Guards against acknowledgements while the store is in reach, which would hold up
/// consent without need.
#[test]
fn no_acknowledgement_while_the_store_answers() {
    let mut member = Member::new();
    member.read_table(START + 10 * S, 5);
    assert!(!member.acknowledges(START + 11 * S, 5));
}

/// Guards against a member that acknowledges a table after it consented to replace
/// it, or consents right after it promised not to.
#[test]
fn consent_and_acknowledgement_exclude_each_other() {
    // Every event may renew the member's own promise, so each time has its own member.
    let promised = || {
        let mut member = Member::new();
        member.read_table(START + 10 * S, 5);
        assert!(member.acknowledges(START + 20 * S, 5));
        member
    };
    let end = START + 20 * S + LEASE_MS * 1000;
    assert!(!promised().consents(end - 1, 5));
    let mut member = promised();
    assert!(member.consents(end, 5));
    assert!(!member.acknowledges(START + 40 * S, 5));
    member.read_table(START + 41 * S, 6);
    assert!(member.acknowledges(START + 50 * S, 6));
}

/// Guards against a grant from a timer that ran out while the node was paused.
#[test]
fn a_late_timer_grants_nothing_before_a_proof() {
    let mut member = Member::new();
    member.read_table(START + S, 5);
    let granted = |it: &FleetAction| matches!(it, FleetAction::Grant { .. });
    let late = member.handle(START + 60 * S, FleetEvent::Tick);
    assert!(!late.iter().any(granted));
    let proved = member.read_table(START + 61 * S, 5);
    assert!(proved.iter().any(granted));
}
