use std::sync::Arc;

use fastrand::Rng;

use crate::FleetAction;
use crate::FleetCounters;
use crate::FleetEvent;
use crate::GossipMessage;
use crate::PushShape;
use crate::TableRecord;
use crate::configuration::Configuration;
use crate::dissemination::Dissemination;
use crate::lease::Lease;
use crate::lease::LeaseAnswer;
use crate::membership::Membership;
use crate::overrides::Overrides;
use crate::ownership::Ownership;
use crate::proposal::Proposal;
use crate::rendezvous;
use crate::startup::StartUp;
use crate::step::Step;
use crate::views::Views;
use wigeonhall_types::Catalog;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::NodeKey;

/// Fixed facts about the node that a fleet core runs on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetConfig {
    /// Random id of this run of the process.
    pub boot: u64,
    /// Data centre of the node.
    pub data_centre: DataCentreKey,
    /// The node itself.
    pub node: NodeKey,
    /// Nodes to ask before any configuration is known.
    pub seeds: Vec<NodeKey>,
    /// Region of the node.
    pub region: Arc<str>,
}

/// Keeps the configuration, the members and the ownership of one node.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) config: FleetConfig,
    pub(crate) configuration: Configuration,
    pub(crate) counters: FleetCounters,
    /// Hash of the data centre's name.
    pub(crate) dc_hash: u64,
    pub(crate) dissemination: Dissemination,
    pub(crate) lease: Lease,
    pub(crate) membership: Membership,
    pub(crate) overrides: Overrides,
    /// Hash of the node's name.
    pub(crate) own_hash: u64,
    pub(crate) ownership: Ownership,
    pub(crate) proposal: Proposal,
    pub(crate) proposal_sequence: u64,
    /// Hash of the region's name.
    pub(crate) region_hash: u64,
    pub(crate) rng: Rng,
    started: bool,
    pub(crate) startup: StartUp,
    /// Latest end of a stop, once one was asked for.
    pub(crate) stop_due_us: Option<u64>,
    pub(crate) stopped: bool,
    pub(crate) views: Views,
}

impl Fleet {
    /// A fleet core that draws its choices from `seed`.
    #[must_use]
    pub fn new(config: FleetConfig, seed: u64) -> Self {
        let region_hash = rendezvous::name_hash(&config.region);
        Self {
            config,
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
            views: Views::new(),
        }
    }

    /// Counters of decisions.
    #[must_use]
    pub const fn counters(&self) -> &FleetCounters {
        &self.counters
    }

    /// Chooses whom new versions are pushed to; for measurements.
    pub fn set_push_shape(&mut self, shape: PushShape) {
        self.dissemination.shape = shape;
    }

    /// Takes one event and pushes what follows from it.
    ///
    /// Names in messages are resolved through `catalog`. Every event also runs the
    /// timers that are due, so a late `Tick` delays nothing.
    pub fn handle(
        &mut self,
        now_us: u64,
        event: FleetEvent,
        catalog: &mut Catalog,
        actions: &mut Vec<FleetAction>,
    ) {
        let mut step = Step {
            actions,
            catalog,
            now_us,
        };
        self.start(&mut step);
        if self.stopped {
            return;
        }
        self.refresh_views();
        self.take(&mut step, event);
        self.refresh_views();
        self.run_startup(&mut step);
        self.run_configuration(&mut step);
        self.run_parts(&mut step);
        self.run_membership(&mut step);
        self.run_dissemination(&mut step);
        self.refresh_views();
        self.run_lease(&mut step);
        self.run_proposal(&mut step);
        self.run_grants(&mut step);
        self.run_stop(&mut step);
        self.refresh_views();
    }

    /// Local time at which the next `Tick` is due.
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

    fn start(&mut self, step: &mut Step<'_>) {
        if self.started {
            return;
        }
        self.started = true;
        self.lease.born_us = step.now_us;
        self.membership.contact_us = step.now_us;
        self.own_hash = rendezvous::name_hash(&step.catalog.node_name(self.config.node));
        let data_centre = step.catalog.data_centre_name(self.config.data_centre);
        self.dc_hash = rendezvous::name_hash(&data_centre);
        for seed in self.config.seeds.clone() {
            self.know_member(step, seed);
        }
    }

    fn take(&mut self, step: &mut Step<'_>, event: FleetEvent) {
        match event {
            FleetEvent::ConfigRead { list, parts } => self.on_config_read(step, list, parts),
            FleetEvent::ConfigReadFailed => self.on_config_read_failed(step),
            FleetEvent::Deployment(deployment) => self.on_deployment(step, deployment),
            FleetEvent::Evacuate(order) => self.on_evacuate(step, &order),
            FleetEvent::Gossip { from, message } => self.on_gossip(step, from, message),
            FleetEvent::HandOver {
                epoch,
                replica,
                state,
            } => self.on_hand_over(step, replica, epoch, state),
            FleetEvent::PartRead(hash, part) => self.on_part_read(step, hash, part),
            FleetEvent::PartReadFailed(hash) => self.on_part_read_failed(step, hash),
            FleetEvent::Stop => self.on_stop(step),
            FleetEvent::TableRead {
                data_centre,
                sent_us,
                table,
            } => self.on_table_read(step, data_centre, sent_us, table),
            FleetEvent::TableWritten { data_centre, epoch } => {
                self.on_table_written(step, data_centre, epoch);
            }
            FleetEvent::TableReadFailed(key) => self.end_table_read(key),
            FleetEvent::Tick => {}
            FleetEvent::VmList(list) => {
                self.on_vm_list(step, &list);
                self.count_consents(step);
            }
        }
    }

    fn on_table_read(
        &mut self,
        step: &mut Step<'_>,
        key: DataCentreKey,
        sent_us: u64,
        table: Option<TableRecord>,
    ) {
        self.end_table_read(key);
        self.lease.store_ok_us = Some(step.now_us);
        let exists = table.is_some();
        if let Some(record) = table {
            self.learn_table(step, record, Some(sent_us));
        }
        if key == self.config.data_centre {
            self.after_own_read(step, sent_us, exists);
        }
    }

    fn on_gossip(&mut self, step: &mut Step<'_>, from: NodeKey, message: GossipMessage) {
        if from == self.config.node {
            return;
        }
        self.membership.contact_us = step.now_us;
        self.know_member(step, from);
        match message {
            GossipMessage::AskConfig { sender } => {
                self.on_updates(step, Some(from), vec![sender]);
                self.on_ask_config(step, from);
            }
            GossipMessage::Config(list) => {
                self.learn_config(step, list, Vec::new(), Some(from));
            }
            GossipMessage::ConfigKnown { generation } => {
                self.on_config_known(step, from, generation);
            }
            GossipMessage::Consent { epoch, sequence } => {
                self.on_consent(step, from, epoch, sequence);
            }
            GossipMessage::ConsentAsk { epoch, sequence } => {
                self.on_consent_ask(step, from, epoch, sequence);
            }
            GossipMessage::Digest {
                answer,
                digest,
                updates,
            } => {
                self.on_updates(step, Some(from), updates);
                self.on_digest(step, from, &digest, answer);
            }
            GossipMessage::Evacuate(order) => self.on_evacuate(step, &order),
            GossipMessage::Generation(generation) => self.on_generation(step, from, generation),
            GossipMessage::LeaseAnswer {
                acknowledged,
                epoch,
                from_store,
                proof_age_us,
                sequence,
            } => {
                let answer = LeaseAnswer {
                    acknowledged,
                    epoch,
                    from_store,
                    proof_age_us,
                    sequence,
                };
                self.on_lease_answer(step, from, &answer);
            }
            GossipMessage::LeaseAsk {
                acknowledge,
                epoch,
                sequence,
            } => self.on_lease_ask(step, from, epoch, sequence, acknowledge),
            GossipMessage::LeaseHint => self.on_lease_hint(step, from),
            GossipMessage::OverridesEnded {
                change_ids,
                generation,
            } => self.on_overrides_ended(step, change_ids, generation),
            GossipMessage::Parts(parts) => self.on_parts(step, from, parts),
            GossipMessage::Ping { sequence, updates } => {
                self.on_updates(step, Some(from), updates);
                self.on_ping(step, from, sequence);
            }
            GossipMessage::PingAnswer { sequence, updates } => {
                self.on_ping_answer(step, sequence, &updates);
                self.on_updates(step, Some(from), updates);
            }
            GossipMessage::PingRequest {
                sequence,
                target,
                updates,
            } => {
                self.on_updates(step, Some(from), updates);
                self.on_ping_request(step, from, sequence, &target);
            }
            GossipMessage::Pull(item) => self.on_pull(step, from, item),
            GossipMessage::Table(record) => self.learn_table(step, record, None),
            GossipMessage::Updates(updates) => self.on_updates(step, Some(from), updates),
        }
    }

    pub(crate) fn send(&mut self, step: &mut Step<'_>, to: NodeKey, message: GossipMessage) {
        self.counters.messages_sent += 1;
        step.push(FleetAction::Send { message, to });
    }
}
