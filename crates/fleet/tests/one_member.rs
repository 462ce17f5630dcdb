//! What a single member does with records, tables, hand-overs and requests.

use std::collections::BTreeMap;
use std::sync::Arc;

use wigeonhall_fleet::ConfigManifest;
use wigeonhall_fleet::Fleet;
use wigeonhall_fleet::FleetAction;
use wigeonhall_fleet::FleetConfig;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::GossipMessage;
use wigeonhall_fleet::LEASE_MS;
use wigeonhall_fleet::TableRecord;
use wigeonhall_types::Catalog;
use wigeonhall_types::DataCentre;
use wigeonhall_types::Deployment;
use wigeonhall_types::HandOverState;
use wigeonhall_types::Vm;
use wigeonhall_types::VmState;
use wigeonhall_types::VmStatus;

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
        self.read_table_late(now_us, now_us, epoch)
    }

    fn read_table_late(&mut self, sent_us: u64, now_us: u64, epoch: u64) -> Vec<FleetAction> {
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

    /// Ticks until the member asks for acknowledgements; returns the time and number.
    fn asks(&mut self, mut now_us: u64) -> (u64, u64) {
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
            now_us += S / 100;
        }
    }

    /// Answers from `name` and returns the lease that follows.
    fn answer(
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
        lease(&self.handle(now_us, FleetEvent::Gossip { from, message }))
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

    /// Puts a configuration in force that names this node only.
    fn configure(&mut self, now_us: u64) {
        let event = FleetEvent::ConfigRead {
            list: Some(record(1)),
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
        let place = DataCentre {
            out: false,
            region: "south".into(),
        };
        let deployment = Deployment {
            data_centres: BTreeMap::from([(data_centre, place)]),
            generation: 1,
            vms: BTreeMap::from([(self.catalog.node("vm-a"), vm)]),
            ..Deployment::default()
        };
        self.handle(now_us, FleetEvent::Deployment(Arc::new(deployment)));
    }

    /// Ticks and answers all reads of the store; those of the VM list on demand.
    fn run(&mut self, now_us: u64, answer_list: bool) -> Vec<FleetAction> {
        let mut actions = self.handle(now_us, FleetEvent::Tick);
        let mut next = 0;
        while let Some(action) = actions.get(next) {
            let more = match action {
                FleetAction::ReadTable(_) => self.read_table(now_us, 5),
                FleetAction::ReadVmList if answer_list => self.list(now_us),
                _ => Vec::new(),
            };
            actions.extend(more);
            next += 1;
        }
        actions
    }

    /// A list of VMs that holds this node only.
    fn list(&mut self, now_us: u64) -> Vec<FleetAction> {
        let own = VmStatus {
            name: "vm-a".into(),
            state: VmState::Live,
        };
        self.handle(now_us, FleetEvent::VmList(vec![own]))
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

fn record(generation: u64) -> ConfigManifest {
    ConfigManifest {
        author: "operator".into(),
        change_id: "change".into(),
        contains: Vec::new(),
        generation,
        parts: Vec::new(),
    }
}

fn lease(actions: &[FleetAction]) -> Option<u64> {
    actions.iter().find_map(|it| match it {
        FleetAction::LeaseUntil(until_us) => Some(*until_us),
        _ => None,
    })
}

/// Guards against a lease that counts from the arrival of a late reply: the table
/// may have been replaced while the reply was under way.
#[test]
fn a_lease_counts_from_sending_the_request() {
    let lease_us = LEASE_MS * 1000;
    let mut member = Member::new();
    let read = member.read_table_late(START + 10 * S, START + 12 * S, 5);
    assert_eq!(lease(&read), Some(START + 10 * S + lease_us));
    // The proof of a peer was half a second old when it answered.
    let (sent_us, sequence) = member.asks(START + 13 * S);
    let until_us = member.answer(sent_us + S, "vm-b", sequence, Some(S / 2));
    assert_eq!(until_us, Some(sent_us - S / 2 + lease_us));
    // A majority of three is the member itself and one acknowledgement.
    let (sent_us, sequence) = member.asks(START + 30 * S);
    let until_us = member.answer(sent_us + S, "vm-c", sequence, None);
    assert_eq!(until_us, Some(sent_us + lease_us));
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

fn grants(actions: &[FleetAction]) -> bool {
    actions
        .iter()
        .any(|it| matches!(it, FleetAction::Grant { .. }))
}

/// Guards against a node that keeps a replica although an epoch that it missed may
/// have given it to another node, or that takes a hand-over of such an epoch.
#[test]
fn a_gap_of_epochs_renews_grants() {
    let mut member = Member::new();
    member.read_table(START + S, 5);
    assert!(grants(&member.read_table(START + 5 * S, 5)));
    let next = member.read_table(START + 6 * S, 6);
    assert!(
        !next
            .iter()
            .any(|it| matches!(it, FleetAction::Revoke { .. }))
    );
    let gap = member.read_table(START + 7 * S, 8);
    let revoked = |it: &FleetAction| {
        matches!(
            it,
            FleetAction::Revoke {
                successor: None,
                ..
            }
        )
    };
    assert!(gap.iter().any(revoked) && !grants(&gap));
    assert!(!grants(&member.hand_over(START + 7 * S, 6)));
    assert!(!grants(&member.hand_over(START + 7 * S, 7)));
    assert!(grants(&member.hand_over(START + 7 * S, 8)));
}

/// Guards against a hand-over that is lost because it comes before its table.
#[test]
fn an_early_hand_over_waits_for_its_table() {
    let mut member = Member::new();
    assert!(!grants(&member.hand_over(START + S, 5)));
    assert!(grants(&member.read_table(START + 2 * S, 5)));
}

/// Guards against an old record or deployment that replaces a newer one.
#[test]
fn only_larger_generations_are_adopted() {
    let mut member = Member::new();
    let from = member.catalog.node("vm-b");
    let mut adopts = |generation| {
        let message = GossipMessage::Config(record(generation));
        let actions = member.handle(START + S, FleetEvent::Gossip { from, message });
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
        let actions = member.handle(START + S, FleetEvent::Deployment(deployment));
        actions
            .iter()
            .any(|it| matches!(it, FleetAction::Deployment(_)))
    };
    assert!(puts_in_force(6));
    assert!(!puts_in_force(5));
}

/// Guards against a member that counts as gone by an old VM list although it came
/// back since and acknowledges the table; and against a lost answer of the list
/// that makes every later answer count as old.
#[test]
fn gone_members_count_by_a_list_of_the_same_round_only() {
    let mut member = Member::new();
    member.read_table(START, 5);
    member.configure(START + S);
    member.list(START + S);
    let writes = |it: &FleetAction| matches!(it, FleetAction::WriteTable { .. });
    let mut now_us = START + S;
    while now_us < START + 20 * S {
        now_us += S / 100;
        assert!(!member.run(now_us, false).iter().any(writes));
    }
    let mut written = false;
    while now_us < START + 60 * S && !written {
        now_us += S / 100;
        written = member.run(now_us, true).iter().any(writes);
    }
    assert!(written);
}
