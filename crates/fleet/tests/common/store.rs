//! Simulates the store and its calls.

use std::collections::BTreeMap;
use std::sync::Arc;

use wigeonhall_fleet::ConfigManifest;
use wigeonhall_fleet::FleetAction;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::TableRecord;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::VmStatus;

use super::MS;
use super::SECOND;
use super::Simulation;

#[derive(Default)]
pub struct Store {
    pub config: Option<ConfigManifest>,
    pub down: bool,
    /// Parts that the store delivers together with the manifest.
    pub inline_parts: Vec<Arc<str>>,
    /// Probability in percent that a write takes effect but its reply is lost. Unless it is 0,
    /// one in ten writes also takes effect late.
    pub unreliable_write_percent: u8,
    /// Id of every write that took effect, by table and epoch.
    pub written: BTreeMap<(Arc<str>, u64), u64>,
    pub parts: BTreeMap<PartHash, Arc<str>>,
    pub tables: BTreeMap<Arc<str>, TableRecord>,
    /// Accepted text of each generation.
    pub texts: BTreeMap<u64, String>,
    /// Node, its boot id and its known generation for each open watch.
    pub(super) watches: Vec<(usize, u64, u64)>,
}

impl Store {
    pub(super) fn config_read(&self) -> FleetEvent {
        FleetEvent::ConfigRead {
            manifest: self.config.clone(),
            parts: self.inline_parts.clone(),
        }
    }

    /// Deletes the parts that the manifest of the accepted generation does not list.
    pub fn remove_unlisted_parts(&mut self) {
        let config = self.config.as_ref();
        let listed = |it: &PartHash| config.is_some_and(|manifest| manifest.parts.contains(it));
        self.parts.retain(|hash, _| listed(hash));
    }
}

impl Simulation {
    /// Runs `call` after the delay of a request to the store.
    pub(super) fn store_call(&mut self, _node: usize, call: impl FnOnce(&mut Self) + 'static) {
        let delay = self.rng.u64(MS..3 * MS);
        self.at(self.now + delay, call);
    }

    pub(super) fn store_reachable(&self, node: usize) -> bool {
        !self.store.down && !self.store_unreachable_from.contains(&node)
    }

    /// Starts a store call that fails after a timeout if the store is unreachable.
    pub(super) fn store_read(
        &mut self,
        node: usize,
        boot: u64,
        ok: impl FnOnce(&mut Self) -> Box<dyn FnOnce(&mut NameCatalog) -> FleetEvent> + 'static,
        failed: impl FnOnce(&mut NameCatalog) -> FleetEvent + 'static,
    ) {
        self.store_call(node, move |sim| {
            if sim.store_reachable(node) {
                let event = ok(sim);
                sim.deliver_after_delay(node, boot, event);
            } else {
                sim.at(sim.now + SECOND, move |sim| {
                    sim.deliver(node, boot, failed);
                });
            }
        });
    }

    pub(super) fn perform_store_action(
        &mut self,
        node: usize,
        boot: u64,
        local_time: u64,
        action: FleetAction,
    ) {
        match action {
            FleetAction::ReadConfig => self.store_read(
                node,
                boot,
                |sim| {
                    let event = sim.store.config_read();
                    Box::new(move |_| event)
                },
                |_| FleetEvent::ConfigReadFailed,
            ),
            FleetAction::ReadPart(hash) => {
                self.part_reads += 1;
                self.store_read(
                    node,
                    boot,
                    move |sim| {
                        let part = sim.store.parts.get(&hash).cloned();
                        let part = part.map(|it| sim.receive_part(it));
                        Box::new(move |_| FleetEvent::PartRead(hash, part))
                    },
                    move |_| FleetEvent::PartReadFailed(hash),
                );
            }
            FleetAction::ReadTable(data_centre) => {
                let name = self.nodes[node].catalog.data_centre_name(data_centre);
                self.store_read(
                    node,
                    boot,
                    move |sim| {
                        let table = sim.store.tables.get(&name).cloned();
                        let sent_us = local_time;
                        Box::new(move |_| FleetEvent::TableRead {
                            data_centre,
                            sent_us,
                            table,
                        })
                    },
                    move |_| FleetEvent::TableReadFailed(data_centre),
                );
            }
            FleetAction::ReadVmList => {
                let vms = self.vms.iter().map(|(name, &state)| VmStatus {
                    name: Arc::clone(name),
                    state,
                });
                let list = vms.collect();
                self.deliver_after_delay(node, boot, |_| FleetEvent::VmList(list));
            }
            FleetAction::WatchConfig(generation) => {
                let newer = self.store.config.as_ref().map_or(0, |it| it.generation) > generation;
                if !self.store_reachable(node) {
                    let event = |_: &mut NameCatalog| FleetEvent::ConfigReadFailed;
                    self.at(self.now + SECOND, move |sim| sim.deliver(node, boot, event));
                } else if newer {
                    let event = self.store.config_read();
                    self.deliver_after_delay(node, boot, |_| event);
                } else {
                    self.store.watches.push((node, boot, generation));
                }
            }
            FleetAction::WriteTable {
                expected_epoch,
                table,
                ..
            } => self.store_write(node, boot, expected_epoch, table),
            other => unreachable!("{other:?}"),
        }
    }

    /// Returns a part as it arrives, which may be corrupted.
    pub(super) fn receive_part(&mut self, part: Arc<str>) -> Arc<str> {
        if self.rng.u8(..100) < self.corrupt_percent {
            format!("{part}# corrupt\n").into()
        } else {
            part
        }
    }

    /// Writes a table if its stored epoch is `expected`, subject to `unreliable_write_percent`.
    pub(super) fn store_write(
        &mut self,
        node: usize,
        boot: u64,
        expected: u64,
        mut table: TableRecord,
    ) {
        let slow = self.store.unreliable_write_percent > 0 && self.rng.u8(..100) < 10;
        let delay = if slow {
            self.rng.u64(..1500 * MS)
        } else {
            2 * MS
        };
        self.at(self.now + delay, move |sim| {
            let name = Arc::clone(&table.data_centre);
            let current = sim.store.tables.get(&name).map_or(0, |it| it.epoch);
            let ok = sim.store_reachable(node) && current == expected;
            if ok {
                table.epoch = current + 1;
                let key = (Arc::clone(&name), table.epoch);
                let previous = sim.store.written.insert(key, table.write_id);
                assert_eq!(previous, None, "two writes of one epoch took effect");
                sim.store.tables.insert(name, table.clone());
            }
            let lost = sim.rng.u8(..100) < sim.store.unreliable_write_percent;
            let epoch = (ok && !lost).then_some(table.epoch);
            sim.deliver_after_delay(node, boot, move |catalog| FleetEvent::TableWritten {
                data_centre: catalog.data_centre(&table.data_centre),
                epoch,
            });
        });
    }
}
