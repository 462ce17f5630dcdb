//! Keeps the configuration in force and schedules the store reads and watches that update
//! it.
//!
//! Each version of the configuration, a generation, has a manifest that lists the parts of its
//! text. A few nodes of each region, the watchers, keep a watch on the manifest in the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ConfigManifest;
use crate::ConfigRecord;
use crate::Fleet;
use crate::FleetAction;
use crate::PartHash;
use crate::dissemination::RecordKey;
use crate::event_context::EventContext;
use crate::limits;
use crate::parts::IncomingConfig;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;

/// Configuration known to this node: the manifest, its parts and the resulting deployment.
#[derive(Debug)]
pub(crate) struct Configuration {
    /// Records whose text is being parsed after `FleetAction::AdoptConfig`, by generation.
    adopting: BTreeMap<u64, Arc<ConfigRecord>>,
    /// Deployment in force before evacuation overrides are applied: operators' requests to take a
    /// VM or a data centre out of service without the store.
    pub(crate) base: Option<Arc<Deployment>>,
    /// Change ids of the evacuation overrides that the configuration in force ended.
    pub(crate) contains: Vec<Arc<str>>,
    /// Deployment in force with overrides applied.
    pub(crate) in_force: Option<Arc<Deployment>>,
    /// Newer manifest, some of whose parts are still missing.
    pub(crate) incoming: Option<IncomingConfig>,
    /// Manifest of the newest generation whose parts have all arrived.
    pub(crate) manifest: Option<ConfigManifest>,
    /// Parts of `manifest`.
    pub(crate) parts: BTreeMap<PartHash, Arc<str>>,
    /// Earliest time of the next read of the manifest.
    read_due_us: u64,
    /// Number of outstanding reads of the manifest.
    pending_reads: u32,
    /// Time of the next read of a data centre's ownership table that no peer has announced.
    missing_table_due_us: u64,
    /// Earliest time of the next watch.
    watch_due_us: u64,
    /// Start of the outstanding watch.
    watch_started_us: Option<u64>,
}

impl Configuration {
    pub(crate) fn new() -> Self {
        Self {
            adopting: BTreeMap::new(),
            base: None,
            contains: Vec::new(),
            in_force: None,
            incoming: None,
            manifest: None,
            parts: BTreeMap::new(),
            read_due_us: 0,
            pending_reads: 0,
            missing_table_due_us: 0,
            watch_due_us: 0,
            watch_started_us: None,
        }
    }

    /// Returns the newest generation whose parts have all arrived; 0 if there is none.
    pub(crate) fn generation(&self) -> u64 {
        self.manifest.as_ref().map_or(0, |it| it.generation)
    }

    /// Returns the newest known generation, complete or not; 0 if none is known.
    pub(crate) fn known_generation(&self) -> u64 {
        let incoming = self.incoming.as_ref();
        incoming.map_or_else(|| self.generation(), |it| it.manifest.generation)
    }

    /// Returns the generation whose deployment is in force; 0 if there is none.
    pub(crate) fn generation_in_force(&self) -> u64 {
        self.base.as_ref().map_or(0, |it| it.generation)
    }
}

impl Fleet {
    /// Handles the reply to a read or a watch of `config/current`.
    pub(crate) fn on_config_read(
        &mut self,
        cx: &mut EventContext<'_>,
        manifest: Option<ConfigManifest>,
        parts: Vec<Arc<str>>,
    ) {
        self.lease.store_answered_us = Some(cx.now_us);
        let outstanding = self.end_config_call();
        let retry_delay_us = if manifest.is_some() {
            0
        } else {
            limits::STORE_RETRY_INTERVAL_US
        };
        self.configuration.watch_due_us = cx.now_us + retry_delay_us;
        let Some(manifest) = manifest else {
            return;
        };
        if outstanding {
            let generation = manifest.generation;
            self.startup.confirm(generation);
        }
        self.receive_config(cx, manifest, parts, None);
    }

    /// Handles a failed read or watch; start-up then requests the generation from peers.
    pub(crate) fn on_config_read_failed(&mut self, cx: &mut EventContext<'_>) {
        self.end_config_call();
        self.startup.store_unavailable = true;
        self.configuration.watch_due_us = cx.now_us + limits::STORE_RETRY_INTERVAL_US;
    }

    /// Ends one outstanding read or watch; returns whether there was one.
    fn end_config_call(&mut self) -> bool {
        if self.configuration.pending_reads > 0 {
            self.configuration.pending_reads -= 1;
            return true;
        }
        self.configuration.watch_started_us.take().is_some()
    }

    /// Accepts a manifest from a peer, or from the store if `from` is `None`. An older or
    /// equal generation does not replace the known one.
    pub(crate) fn receive_config(
        &mut self,
        cx: &mut EventContext<'_>,
        manifest: ConfigManifest,
        parts: Vec<Arc<str>>,
        from: Option<NodeKey>,
    ) {
        let generation = manifest.generation;
        if generation > self.configuration.known_generation() {
            self.cancel_request(&RecordKey::Config, generation);
            self.start_incoming(manifest, from.is_none());
        }
        if let Some(from) = from {
            self.add_part_source(cx, generation, from);
        }
        self.accept_parts(cx, parts);
    }

    /// Adopts a generation whose parts have all arrived, and announces it.
    pub(crate) fn adopt_incoming(&mut self, cx: &mut EventContext<'_>, incoming: IncomingConfig) {
        let Some(record) = incoming.manifest.record(&incoming.available) else {
            return;
        };
        let record = Arc::new(record);
        let generation = record.generation;
        self.configuration
            .adopting
            .insert(generation, Arc::clone(&record));
        self.configuration.manifest = Some(incoming.manifest);
        self.configuration.parts = incoming.available;
        cx.push(FleetAction::AdoptConfig((*record).clone()));
        self.announce_config(cx, incoming.from_store);
    }

    /// Reads the manifest unless a read is outstanding or was started within
    /// [`limits::STORE_RETRY_INTERVAL_US`].
    pub(crate) fn read_manifest(&mut self, cx: &mut EventContext<'_>) {
        if self.configuration.pending_reads == 0 && self.configuration.read_due_us <= cx.now_us {
            self.configuration.read_due_us = cx.now_us + limits::STORE_RETRY_INTERVAL_US;
            self.configuration.pending_reads += 1;
            self.counters.store_reads += 1;
            cx.push(FleetAction::ReadConfig);
        }
    }

    /// Puts a parsed deployment in force.
    pub(crate) fn on_deployment(&mut self, cx: &mut EventContext<'_>, deployment: Arc<Deployment>) {
        let generation = deployment.generation;
        if generation <= self.configuration.generation_in_force() {
            return;
        }
        let first = self.configuration.base.is_none();
        let newer = self.configuration.adopting.split_off(&(generation + 1));
        let adopted = std::mem::replace(&mut self.configuration.adopting, newer);
        if let Some(record) = adopted.get(&generation) {
            self.configuration.contains.clone_from(&record.contains);
        }
        self.set_member_locations(cx, &deployment);
        self.configuration.base = Some(deployment);
        self.end_overrides();
        self.put_in_force(cx);
        self.refresh_groups();
        if first {
            self.ping_local_peers(cx);
        }
    }

    /// Applies the overrides and reports the resulting deployment.
    pub(crate) fn put_in_force(&mut self, cx: &mut EventContext<'_>) {
        let Some(base) = &self.configuration.base else {
            return;
        };
        let deployment = self.overrides.apply(base, cx.catalog);
        self.configuration.in_force = Some(Arc::clone(&deployment));
        self.ownership.recheck_table = true;
        cx.push(FleetAction::Deployment(deployment));
    }

    pub(crate) fn run_configuration(&mut self, cx: &mut EventContext<'_>) {
        let now = cx.now_us;
        let isolated = now >= self.membership.last_contact_us + limits::ISOLATION_TIMEOUT_US;
        let read_needed = !self.startup.confirmed() || isolated;
        if read_needed {
            self.read_manifest(cx);
        }
        self.read_missing_table(cx);
        let started = self.configuration.watch_started_us;
        let expired = started.is_none_or(|since| now >= since + limits::WATCH_TIMEOUT_US);
        // Only the deployment says which nodes belong to the region. Without one, `is_watcher`
        // may be set on every node.
        let has_deployment = self.configuration.base.is_some();
        if self.groups.is_watcher
            && has_deployment
            && expired
            && self.configuration.watch_due_us <= now
        {
            self.configuration.watch_started_us = Some(now);
            self.counters.store_watches += 1;
            cx.push(FleetAction::WatchConfig(
                self.configuration.known_generation(),
            ));
        }
    }

    /// Reads a random one of the ownership tables of other data centres that no peer has
    /// announced, if this node is a watcher. The first call only starts the interval, so that
    /// peers can announce their tables.
    fn read_missing_table(&mut self, cx: &mut EventContext<'_>) {
        let due = self.configuration.missing_table_due_us <= cx.now_us;
        let Some(deployment) = self.configuration.in_force.as_ref().filter(|_| due) else {
            return;
        };
        let tables = &self.ownership.tables;
        let own = self.settings.data_centre;
        let missing = |it: &&DataCentreKey| **it != own && !tables.contains_key(it);
        let missing: Vec<_> = deployment.data_centres.keys().filter(missing).collect();
        let chosen = self.rng.choice(missing).copied();
        let first = std::mem::replace(
            &mut self.configuration.missing_table_due_us,
            cx.now_us + limits::MISSING_TABLE_INTERVAL_US,
        ) == 0;
        if let Some(key) = chosen.filter(|_| self.groups.is_watcher && !first) {
            self.counters.store_reads += 1;
            cx.push(FleetAction::ReadTable(key));
        }
    }

    pub(crate) fn configuration_wake_us(&self) -> u64 {
        let can_watch = self.groups.is_watcher
            && self.configuration.watch_started_us.is_none()
            && self.configuration.base.is_some();
        let watch = if can_watch {
            self.configuration.watch_due_us
        } else {
            u64::MAX
        };
        let read = if self.configuration.pending_reads > 0 {
            u64::MAX
        } else if self.startup.confirmed() {
            (self.membership.last_contact_us + limits::ISOLATION_TIMEOUT_US)
                .max(self.configuration.read_due_us)
        } else {
            self.configuration.read_due_us
        };
        watch.min(read)
    }
}
