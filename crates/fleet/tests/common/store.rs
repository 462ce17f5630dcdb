//! Calls of the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use wigeonhall_fleet::ConfigManifest;
use wigeonhall_fleet::FleetAction;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::TableRecord;
use wigeonhall_types::Catalog;
use wigeonhall_types::VmStatus;

use super::MS;
use super::S;
use super::World;

#[derive(Default)]
pub struct Store {
    pub config: Option<ConfigManifest>,
    pub down: bool,
    /// Parts that come with the list.
    pub inline: Vec<Arc<str>>,
    /// Chance that a write takes effect but its reply is lost, in percent.
    pub lost_replies: u8,
    /// Every write id that took effect, by epoch of each table.
    pub written: BTreeMap<(Arc<str>, u64), u64>,
    pub parts: BTreeMap<PartHash, Arc<str>>,
    pub tables: BTreeMap<Arc<str>, TableRecord>,
    /// Accepted text of each generation.
    pub texts: BTreeMap<u64, String>,
    pub(super) watches: Vec<(usize, u64, u64)>,
}

impl Store {
    pub(super) fn config_read(&self) -> FleetEvent {
        FleetEvent::ConfigRead {
            list: self.config.clone(),
            parts: self.inline.clone(),
        }
    }

    /// Deletes the parts that the accepted generation does not name.
    pub fn remove_parts(&mut self) {
        let config = self.config.as_ref();
        let named = |it: &PartHash| config.is_some_and(|list| list.parts.contains(it));
        self.parts.retain(|hash, _| named(hash));
    }
}

impl World {
    pub(super) fn store_call(&mut self, _node: usize, call: impl FnOnce(&mut Self) + 'static) {
        let delay = self.rng.u64(MS..3 * MS);
        self.at(self.now + delay, call);
    }

    pub(super) fn store_reachable(&self, node: usize) -> bool {
        !self.store.down && !self.cut_from_store.contains(&node)
    }

    /// A call that fails after a timeout when the store is out of reach.
    pub(super) fn read(
        &mut self,
        node: usize,
        boot: u64,
        ok: impl FnOnce(&mut Self) -> Box<dyn FnOnce(&mut Catalog) -> FleetEvent> + 'static,
        failed: impl FnOnce(&mut Catalog) -> FleetEvent + 'static,
    ) {
        self.store_call(node, move |world| {
            if world.store_reachable(node) {
                let event = ok(world);
                world.answer(node, boot, event);
            } else {
                world.at(world.now + S, move |world| {
                    world.deliver(node, boot, failed);
                });
            }
        });
    }

    pub(super) fn act_on_store(&mut self, node: usize, boot: u64, local: u64, action: FleetAction) {
        match action {
            FleetAction::ReadConfig => self.read(
                node,
                boot,
                |world| {
                    let event = world.store.config_read();
                    Box::new(move |_| event)
                },
                |_| FleetEvent::ConfigReadFailed,
            ),
            FleetAction::ReadPart(hash) => {
                self.part_reads += 1;
                self.read(
                    node,
                    boot,
                    move |world| {
                        let part = world.store.parts.get(&hash).cloned();
                        let part = part.map(|it| world.carry(it));
                        Box::new(move |_| FleetEvent::PartRead(hash, part))
                    },
                    move |_| FleetEvent::PartReadFailed(hash),
                );
            }
            FleetAction::ReadTable(data_centre) => {
                let name = self.nodes[node].catalog.data_centre_name(data_centre);
                self.read(
                    node,
                    boot,
                    move |world| {
                        let table = world.store.tables.get(&name).cloned();
                        let sent_us = local;
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
                self.answer(node, boot, |_| FleetEvent::VmList(list));
            }
            FleetAction::WatchConfig(generation) => {
                let newer = self.store.config.as_ref().map_or(0, |it| it.generation) > generation;
                if !self.store_reachable(node) {
                    let failed = |_: &mut Catalog| FleetEvent::ConfigReadFailed;
                    self.at(self.now + S, move |world| world.deliver(node, boot, failed));
                } else if newer {
                    let event = self.store.config_read();
                    self.answer(node, boot, |_| event);
                } else {
                    self.store.watches.push((node, boot, generation));
                }
            }
            FleetAction::WriteTable {
                expected_epoch,
                table,
                ..
            } => self.write(node, boot, expected_epoch, table),
            other => unreachable!("{other:?}"),
        }
    }

    /// A part as it arrives.
    pub(super) fn carry(&mut self, part: Arc<str>) -> Arc<str> {
        if self.rng.u8(..100) < self.corrupt {
            format!("{part}# corrupt\n").into()
        } else {
            part
        }
    }

    pub(super) fn write(&mut self, node: usize, boot: u64, expected: u64, mut table: TableRecord) {
        let slow = self.store.lost_replies > 0 && self.rng.u8(..100) < 10;
        let delay = if slow {
            self.rng.u64(..1500 * MS)
        } else {
            2 * MS
        };
        self.at(self.now + delay, move |world| {
            let name = Arc::clone(&table.data_centre);
            let current = world.store.tables.get(&name).map_or(0, |it| it.epoch);
            let ok = world.store_reachable(node) && current == expected;
            if ok {
                table.epoch = current + 1;
                let key = (Arc::clone(&name), table.epoch);
                let twice = world.store.written.insert(key, table.write_id);
                assert_eq!(twice, None, "two writes of one epoch took effect");
                world.store.tables.insert(name, table.clone());
            }
            let lost = world.rng.u8(..100) < world.store.lost_replies;
            let epoch = (ok && !lost).then_some(table.epoch);
            world.answer(node, boot, move |catalog| FleetEvent::TableWritten {
                data_centre: catalog.data_centre(&table.data_centre),
                epoch,
            });
        });
    }
}
