//! Which configuration is in force, and the store calls that tell it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ConfigManifest;
use crate::ConfigRecord;
use crate::Fleet;
use crate::FleetAction;
use crate::PartHash;
use crate::dissemination::Item;
use crate::limits;
use crate::parts::Incoming;
use crate::step::Step;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::NodeKey;

#[derive(Debug)]
pub(crate) struct Configuration {
    /// Records whose deployment is being resolved, by generation.
    adopting: BTreeMap<u64, Arc<ConfigRecord>>,
    /// Deployment in force without overrides.
    pub(crate) base: Option<Arc<Deployment>>,
    /// Change ids contained in the configuration in force.
    pub(crate) contains: Vec<Arc<str>>,
    /// Deployment in force with overrides.
    pub(crate) in_force: Option<Arc<Deployment>>,
    /// A newer list than `list`, some of whose parts are not here.
    pub(crate) incoming: Option<Incoming>,
    /// Newest generation whose parts are all here.
    pub(crate) list: Option<ConfigManifest>,
    /// Parts of `list`.
    pub(crate) parts: BTreeMap<PartHash, Arc<str>>,
    read_due_us: u64,
    /// Number of reads whose answer is outstanding.
    reads: u32,
    /// When to read a table that no peer knows.
    tables_due_us: u64,
    watch_due_us: u64,
    /// When the outstanding watch was started.
    watch_us: Option<u64>,
}

impl Configuration {
    pub(crate) fn new() -> Self {
        Self {
            adopting: BTreeMap::new(),
            base: None,
            contains: Vec::new(),
            in_force: None,
            incoming: None,
            list: None,
            parts: BTreeMap::new(),
            read_due_us: 0,
            reads: 0,
            tables_due_us: 0,
            watch_due_us: 0,
            watch_us: None,
        }
    }

    /// Newest generation whose parts are all here, 0 if there is none.
    pub(crate) fn generation(&self) -> u64 {
        self.list.as_ref().map_or(0, |it| it.generation)
    }

    /// Newest known generation, 0 if none is known.
    pub(crate) fn known_generation(&self) -> u64 {
        let incoming = self.incoming.as_ref();
        incoming.map_or_else(|| self.generation(), |it| it.list.generation)
    }

    pub(crate) fn generation_in_force(&self) -> u64 {
        self.base.as_ref().map_or(0, |it| it.generation)
    }
}

impl Fleet {
    /// Takes the answer to a read or a watch of `config/current`.
    pub(crate) fn on_config_read(
        &mut self,
        step: &mut Step<'_>,
        list: Option<ConfigManifest>,
        parts: Vec<Arc<str>>,
    ) {
        self.lease.store_ok_us = Some(step.now_us);
        let asked = self.end_config_call();
        let retry = if list.is_some() {
            0
        } else {
            limits::STORE_RETRY_US
        };
        self.configuration.watch_due_us = step.now_us + retry;
        let Some(list) = list else {
            return;
        };
        if asked {
            let generation = list.generation;
            self.startup.confirm(generation);
        }
        self.learn_config(step, list, parts, None);
    }

    pub(crate) fn on_config_read_failed(&mut self, step: &mut Step<'_>) {
        self.end_config_call();
        self.startup.store_silent = true;
        self.configuration.watch_due_us = step.now_us + limits::STORE_RETRY_US;
    }

    /// Counts one answer; returns whether a call was outstanding.
    fn end_config_call(&mut self) -> bool {
        if self.configuration.reads > 0 {
            self.configuration.reads -= 1;
            return true;
        }
        self.configuration.watch_us.take().is_some()
    }

    /// Takes a list from a peer, or from the store; only a larger generation counts.
    pub(crate) fn learn_config(
        &mut self,
        step: &mut Step<'_>,
        list: ConfigManifest,
        parts: Vec<Arc<str>>,
        from: Option<NodeKey>,
    ) {
        let generation = list.generation;
        if generation > self.configuration.known_generation() {
            self.stop_wanting(&Item::Config, generation);
            self.await_parts(list, from.is_none());
        }
        if let Some(from) = from {
            self.add_part_source(step, generation, from);
        }
        self.take_parts(step, parts);
    }

    /// Takes a generation whose parts are all here.
    pub(crate) fn complete(&mut self, step: &mut Step<'_>, incoming: Incoming) {
        let Some(record) = incoming.list.record(&incoming.held) else {
            return;
        };
        let record = Arc::new(record);
        let generation = record.generation;
        self.configuration
            .adopting
            .insert(generation, Arc::clone(&record));
        self.configuration.list = Some(incoming.list);
        self.configuration.parts = incoming.held;
        step.push(FleetAction::AdoptConfig((*record).clone()));
        self.announce_config(step, incoming.from_store);
    }

    /// Reads the list, unless a read is outstanding or just failed.
    pub(crate) fn read_list(&mut self, step: &mut Step<'_>) {
        if self.configuration.reads == 0 && self.configuration.read_due_us <= step.now_us {
            self.configuration.read_due_us = step.now_us + limits::STORE_RETRY_US;
            self.configuration.reads += 1;
            self.counters.store_reads += 1;
            step.push(FleetAction::ReadConfig);
        }
    }

    /// Puts a resolved deployment in force.
    pub(crate) fn on_deployment(&mut self, step: &mut Step<'_>, deployment: Arc<Deployment>) {
        let generation = deployment.generation;
        if generation <= self.configuration.generation_in_force() {
            return;
        }
        let first = self.configuration.base.is_none();
        let newer = self.configuration.adopting.split_off(&(generation + 1));
        let done = std::mem::replace(&mut self.configuration.adopting, newer);
        if let Some(record) = done.get(&generation) {
            self.configuration.contains.clone_from(&record.contains);
        }
        self.place_members(step, &deployment);
        self.configuration.base = Some(deployment);
        self.end_overrides();
        self.put_in_force(step);
        self.refresh_views();
        if first {
            self.greet(step);
        }
    }

    /// Applies the overrides and pushes the deployment.
    pub(crate) fn put_in_force(&mut self, step: &mut Step<'_>) {
        let Some(base) = &self.configuration.base else {
            return;
        };
        let deployment = self.overrides.apply(base, step.catalog);
        self.configuration.in_force = Some(Arc::clone(&deployment));
        self.ownership.check = true;
        step.push(FleetAction::Deployment(deployment));
    }

    pub(crate) fn run_configuration(&mut self, step: &mut Step<'_>) {
        let now = step.now_us;
        let cut_off = now >= self.membership.contact_us + limits::CUT_OFF_US;
        let wanted = !self.startup.confirmed() || cut_off;
        if wanted {
            self.read_list(step);
        }
        self.read_missing_table(step);
        let waiting = self.configuration.watch_us;
        let expired = waiting.is_none_or(|since| now >= since + limits::WATCH_US);
        // The deployment tells which nodes are of the region.
        let known = self.configuration.base.is_some();
        if self.views.watcher && known && expired && self.configuration.watch_due_us <= now {
            self.configuration.watch_us = Some(now);
            self.counters.store_watches += 1;
            step.push(FleetAction::WatchConfig(
                self.configuration.known_generation(),
            ));
        }
    }

    /// Reads one of the tables that no peer has told of; only watchers do.
    fn read_missing_table(&mut self, step: &mut Step<'_>) {
        let due = self.configuration.tables_due_us <= step.now_us;
        let Some(deployment) = self.configuration.in_force.as_ref().filter(|_| due) else {
            return;
        };
        let tables = &self.ownership.tables;
        let own = self.config.data_centre;
        let missing = |it: &&DataCentreKey| **it != own && !tables.contains_key(it);
        let missing: Vec<_> = deployment.data_centres.keys().filter(missing).collect();
        let chosen = self.rng.choice(missing).copied();
        let first = std::mem::replace(
            &mut self.configuration.tables_due_us,
            step.now_us + limits::MISSING_TABLE_US,
        ) == 0;
        if let Some(key) = chosen.filter(|_| self.views.watcher && !first) {
            self.counters.store_reads += 1;
            step.push(FleetAction::ReadTable(key));
        }
    }

    pub(crate) fn configuration_wake_us(&self) -> u64 {
        let now_watch = self.views.watcher
            && self.configuration.watch_us.is_none()
            && self.configuration.base.is_some();
        let watch = if now_watch {
            self.configuration.watch_due_us
        } else {
            u64::MAX
        };
        let read = if self.configuration.reads > 0 {
            u64::MAX
        } else if self.startup.confirmed() {
            (self.membership.contact_us + limits::CUT_OFF_US).max(self.configuration.read_due_us)
        } else {
            self.configuration.read_due_us
        };
        watch.min(read)
    }
}
