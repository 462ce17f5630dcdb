//! [`Fleet`], which dispatches events and runs the timers of all parts of the decision
//! logic.

use std::sync::Arc;

use fastrand::Rng;

use crate::FleetAction;
use crate::FleetCounters;
use crate::FleetEvent;
use crate::GossipMessage;
use crate::PushTopology;
use crate::TableRecord;
use crate::configuration::Configuration;
use crate::dissemination::Dissemination;
use crate::event_context::EventContext;
use crate::lease::Lease;
use crate::lease::LeaseAnswerFields;
use crate::member_groups::MemberGroups;
use crate::membership::Membership;
use crate::overrides::Overrides;
use crate::ownership::Ownership;
use crate::proposal::Proposal;
use crate::rendezvous;
use crate::startup::StartUp;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::NodeKey;

/// Properties of a node that stay fixed while its process runs. Not the configuration, which
/// the store holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetSettings {
    /// Random id of this run of the process.
    pub boot: u64,
    /// Data centre of the node.
    pub data_centre: DataCentreKey,
    /// Key of the node.
    pub node: NodeKey,
    /// Nodes to contact before any configuration is known.
    pub seeds: Vec<NodeKey>,
    /// Region of the node.
    pub region: Arc<str>,
}

/// Decision logic of one node for configuration, membership and ownership.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) settings: FleetSettings,
    pub(crate) configuration: Configuration,
    pub(crate) counters: FleetCounters,
    /// Hash of the name of this node's data centre.
    pub(crate) dc_hash: u64,
    pub(crate) dissemination: Dissemination,
    pub(crate) lease: Lease,
    pub(crate) membership: Membership,
    pub(crate) overrides: Overrides,
    /// Hash of this node's name.
    pub(crate) own_hash: u64,
    pub(crate) ownership: Ownership,
    pub(crate) proposal: Proposal,
    /// Sequence number of the latest round of consent requests.
    pub(crate) proposal_sequence: u64,
    /// Hash of the name of this node's region.
    pub(crate) region_hash: u64,
    pub(crate) rng: Rng,
    started: bool,
    pub(crate) startup: StartUp,
    /// Deadline of the shutdown, once it was requested.
    pub(crate) stop_due_us: Option<u64>,
    pub(crate) stopped: bool,
    pub(crate) groups: MemberGroups,
}

impl Fleet {
    /// Creates the decision logic of a node; its random choices derive from `seed`.
    #[must_use]
    pub fn new(settings: FleetSettings, seed: u64) -> Self {
        let region_hash = rendezvous::name_hash(&settings.region);
        Self {
            settings,
            configuration: Configuration::new(),
            counters: FleetCounters::default(),
            dc_hash: 0,
            dissemination: Dissemination::new(),
            lease: Lease::new(),
            membership: Membership::new(),
            overrides: Overrides::default(),
            own_hash: 0,
            ownership: Ownership::new(),
            proposal: Proposal::new(),
            proposal_sequence: 0,
            region_hash,
            rng: Rng::with_seed(seed),
            started: false,
            startup: StartUp::default(),
            stop_due_us: None,
            stopped: false,
            groups: MemberGroups::new(),
        }
    }

    /// Returns the counters of decisions.
    #[must_use]
    pub const fn counters(&self) -> &FleetCounters {
        &self.counters
    }

    /// Selects the topology by which new versions are pushed; for measurements.
    pub fn set_push_topology(&mut self, topology: PushTopology) {
        self.dissemination.topology = topology;
    }

    /// Handles one event and appends the resulting actions.
    ///
    /// Names in messages are resolved through `catalog`. Every event also runs all timers
    /// that are due, so a late `Tick` does not delay them.
    pub fn handle(
        &mut self,
        now_us: u64,
        event: FleetEvent,
        catalog: &mut NameCatalog,
        actions: &mut Vec<FleetAction>,
    ) {
        let mut cx = EventContext {
            actions,
            catalog,
            now_us,
        };
        self.start(&mut cx);
        if self.stopped {
            return;
        }
        self.refresh_groups();
        self.dispatch(&mut cx, event);
        self.refresh_groups();
        self.run_startup(&mut cx);
        self.run_configuration(&mut cx);
        self.run_parts(&mut cx);
        self.run_membership(&mut cx);
        self.run_dissemination(&mut cx);
        self.refresh_groups();
        self.run_lease(&mut cx);
        self.run_round(&mut cx);
        self.run_grants(&mut cx);
        self.run_stop(&mut cx);
        self.refresh_groups();
    }

    /// Returns the local time at which the next `Tick` is due; `None` once the node has
    /// stopped.
    #[must_use]
    pub fn next_wake_us(&self) -> Option<u64> {
        if self.stopped {
            return None;
        }
        [
            self.configuration_wake_us(),
            self.dissemination.wake_us(),
            self.ownership.grants_wake_us,
            self.lease.wake_us(),
            self.membership.wake_us(),
            self.parts_wake_us(),
            self.proposal.wake_us(),
            self.startup.wake_us(),
            self.stop_due_us.unwrap_or(u64::MAX),
        ]
        .into_iter()
        .min()
    }

    fn start(&mut self, cx: &mut EventContext<'_>) {
        if self.started {
            return;
        }
        self.started = true;
        self.lease.started_us = cx.now_us;
        self.membership.last_contact_us = cx.now_us;
        self.own_hash = rendezvous::name_hash(&cx.catalog.node_name(self.settings.node));
        let data_centre = cx.catalog.data_centre_name(self.settings.data_centre);
        self.dc_hash = rendezvous::name_hash(&data_centre);
        for seed in self.settings.seeds.clone() {
            self.add_member(cx, seed);
        }
    }

    fn dispatch(&mut self, cx: &mut EventContext<'_>, event: FleetEvent) {
        match event {
            FleetEvent::ConfigRead { manifest, parts } => self.on_config_read(cx, manifest, parts),
            FleetEvent::ConfigReadFailed => self.on_config_read_failed(cx),
            FleetEvent::Deployment(deployment) => self.on_deployment(cx, deployment),
            FleetEvent::Evacuate(evacuation) => self.on_evacuate(cx, &evacuation),
            FleetEvent::Gossip { from, message } => self.on_gossip(cx, from, message),
            FleetEvent::HandOver {
                epoch,
                replica,
                state,
            } => self.on_hand_over(cx, replica, epoch, state),
            FleetEvent::PartRead(hash, part) => self.on_part_read(cx, hash, part),
            FleetEvent::PartReadFailed(hash) => self.on_part_read_failed(cx, hash),
            FleetEvent::Stop => self.on_stop(cx),
            FleetEvent::TableRead {
                data_centre,
                sent_us,
                table,
            } => self.on_table_read(cx, data_centre, sent_us, table),
            FleetEvent::TableWritten { data_centre, epoch } => {
                self.on_table_written(cx, data_centre, epoch);
            }
            FleetEvent::TableReadFailed(key) => self.end_table_read(key),
            FleetEvent::Tick => {}
            FleetEvent::VmList(list) => {
                self.on_vm_list(cx, &list);
                self.check_consent_majority(cx);
            }
        }
    }

    fn on_table_read(
        &mut self,
        cx: &mut EventContext<'_>,
        key: DataCentreKey,
        sent_us: u64,
        table: Option<TableRecord>,
    ) {
        self.end_table_read(key);
        self.lease.store_answered_us = Some(cx.now_us);
        let exists = table.is_some();
        if let Some(record) = table {
            self.receive_table(cx, record, Some(sent_us));
        }
        if key == self.settings.data_centre {
            self.on_own_table_read(cx, sent_us, exists);
        }
    }

    fn on_gossip(&mut self, cx: &mut EventContext<'_>, from: NodeKey, message: GossipMessage) {
        if from == self.settings.node {
            return;
        }
        self.membership.last_contact_us = cx.now_us;
        self.add_member(cx, from);
        match message {
            GossipMessage::AskConfig { sender } => {
                self.on_updates(cx, Some(from), vec![sender]);
                self.on_ask_config(cx, from);
            }
            GossipMessage::Config(manifest) => {
                self.receive_config(cx, manifest, Vec::new(), Some(from));
            }
            GossipMessage::ConfigKnown { generation } => {
                self.on_config_known(cx, from, generation);
            }
            GossipMessage::Consent { epoch, sequence } => {
                self.on_consent(cx, from, epoch, sequence);
            }
            GossipMessage::ConsentAsk { epoch, sequence } => {
                self.on_consent_ask(cx, from, epoch, sequence);
            }
            GossipMessage::Digest {
                answer,
                digest,
                updates,
            } => {
                self.on_updates(cx, Some(from), updates);
                self.on_digest(cx, from, &digest, answer);
            }
            GossipMessage::Evacuate(evacuation) => self.on_evacuate(cx, &evacuation),
            GossipMessage::Generation(generation) => self.on_generation(cx, from, generation),
            GossipMessage::LeaseAnswer {
                acknowledged,
                epoch,
                from_store,
                proof_age_us,
                sequence,
            } => {
                let answer = LeaseAnswerFields {
                    acknowledged,
                    epoch,
                    from_store,
                    proof_age_us,
                    sequence,
                };
                self.on_lease_answer(cx, from, &answer);
            }
            GossipMessage::LeaseAsk {
                acknowledge,
                epoch,
                sequence,
            } => self.on_lease_ask(cx, from, epoch, sequence, acknowledge),
            GossipMessage::LeaseHint => self.on_lease_hint(cx, from),
            GossipMessage::OverridesEnded {
                change_ids,
                generation,
            } => self.on_overrides_ended(cx, change_ids, generation),
            GossipMessage::Parts(parts) => self.on_parts(cx, from, parts),
            GossipMessage::Ping { sequence, updates } => {
                self.on_updates(cx, Some(from), updates);
                self.on_ping(cx, from, sequence);
            }
            GossipMessage::PingAnswer { sequence, updates } => {
                self.on_ping_answer(cx, sequence, &updates);
                self.on_updates(cx, Some(from), updates);
            }
            GossipMessage::PingRequest {
                sequence,
                target,
                updates,
            } => {
                self.on_updates(cx, Some(from), updates);
                self.on_ping_request(cx, from, sequence, &target);
            }
            GossipMessage::Pull(item) => self.on_pull(cx, from, item),
            GossipMessage::Table(record) => self.receive_table(cx, record, None),
            GossipMessage::Updates(updates) => self.on_updates(cx, Some(from), updates),
        }
    }

    pub(crate) fn send(&mut self, cx: &mut EventContext<'_>, to: NodeKey, message: GossipMessage) {
        self.counters.messages_sent += 1;
        cx.push(FleetAction::Send { message, to });
    }
}
