//! Which configuration is in force, and the store calls that tell it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ConfigRecord;
use crate::Fleet;
use crate::FleetAction;
use crate::dissemination::Item;
use crate::limits;
use crate::step::Step;
use wigeonhall_types::DataCentreKey;
use wigeonhall_types::Deployment;

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
    read_due_us: u64,
    /// Number of reads whose answer is outstanding.
    reads: u32,
    /// Newest known record.
    pub(crate) record: Option<Arc<ConfigRecord>>,
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
            read_due_us: 0,
            reads: 0,
            record: None,
            tables_due_us: 0,
            watch_due_us: 0,
            watch_us: None,
        }
    }

    /// Newest known generation, 0 if none is known.
    pub(crate) fn generation(&self) -> u64 {
        self.record.as_ref().map_or(0, |it| it.generation)
    }

    pub(crate) fn generation_in_force(&self) -> u64 {
        self.base.as_ref().map_or(0, |it| it.generation)
    }
}

impl Fleet {
    /// Takes the answer to a read or a watch of `config/current`.
    pub(crate) fn on_config_read(&mut self, step: &mut Step<'_>, record: Option<ConfigRecord>) {
        self.lease.store_ok_us = Some(step.now_us);
        let asked = self.end_config_call();
        let retry = if record.is_some() {
            0
        } else {
            limits::STORE_RETRY_US
        };
        self.configuration.watch_due_us = step.now_us + retry;
        let Some(record) = record else {
            return;
        };
        if asked {
            let generation = record.generation;
            self.startup.confirm(generation);
        }
        self.learn_config(step, record, true);
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

    /// Takes a record from the store or a peer; only a larger generation counts.
    pub(crate) fn learn_config(
        &mut self,
        step: &mut Step<'_>,
        record: ConfigRecord,
        from_store: bool,
    ) {
        if record.generation <= self.configuration.generation() {
            return;
        }
        let record = Arc::new(record);
        let generation = record.generation;
        self.configuration.record = Some(Arc::clone(&record));
        self.configuration
            .adopting
            .insert(generation, Arc::clone(&record));
        step.push(FleetAction::AdoptConfig((*record).clone()));
        self.stop_wanting(&Item::Config, generation);
        self.announce(step, from_store);
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
        let pending = self.configuration.reads > 0;
        if wanted && !pending && self.configuration.read_due_us <= now {
            self.configuration.read_due_us = now + limits::STORE_RETRY_US;
            self.configuration.reads += 1;
            self.counters.store_reads += 1;
            step.push(FleetAction::ReadConfig);
        }
        self.read_missing_table(step);
        let waiting = self.configuration.watch_us;
        let expired = waiting.is_none_or(|since| now >= since + limits::WATCH_US);
        // The deployment tells which nodes are of the region.
        let known = self.configuration.base.is_some();
        if self.views.watcher && known && expired && self.configuration.watch_due_us <= now {
            self.configuration.watch_us = Some(now);
            self.counters.store_watches += 1;
            step.push(FleetAction::WatchConfig(self.configuration.generation()));
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
