//! Ownership tables in the object API.

use crate::clock::Clock;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::TableRecord;
use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::PutOutcome;
use wigeonhall_platform::StoredObject;
use wigeonhall_types::DataCentreKey;

/// Path of the table of a data centre.
pub fn table_path(data_centre: &str) -> String {
    format!("owners/{data_centre}")
}

/// Reads a table.
pub fn read_table(
    api: &ObjectApi,
    clock: Clock,
    data_centre: DataCentreKey,
    path: &str,
) -> FleetEvent {
    let sent_us = clock.now_us();
    let Ok(object) = api.get(path) else {
        return FleetEvent::TableReadFailed(data_centre);
    };
    let table = match object.as_ref().map(parse) {
        None => None,
        Some(Some(table)) => Some(table),
        Some(None) => return FleetEvent::TableReadFailed(data_centre),
    };
    FleetEvent::TableRead {
        data_centre,
        sent_us,
        table,
    }
}

/// Writes a table one epoch after `expected_epoch`; `None` if it was not written or
/// nobody can tell.
///
/// The epoch is part of the value and grows by one, while versions of objects may
/// skip numbers. The fleet core takes a skipped epoch as tables that it has missed
/// and pauses its replicas for a lease.
pub fn write_table(api: &ObjectApi, expected_epoch: u64, mut table: TableRecord) -> Option<u64> {
    let path = table_path(&table.data_centre);
    let held = api.get(&path).ok()?;
    let held_epoch = match &held {
        Some(object) => parse(object)?.epoch,
        None => 0,
    };
    if held_epoch != expected_epoch {
        return None;
    }
    table.epoch = expected_epoch + 1;
    let value = serde_json::to_string(&table).ok()?;
    let version = held.map_or(0, |it| it.version);
    match api.put(&path, version, &value).ok()? {
        PutOutcome::Stored { .. } => Some(table.epoch),
        PutOutcome::Conflict(_) => None,
    }
}

fn parse(object: &StoredObject) -> Option<TableRecord> {
    serde_json::from_str(&object.value).ok()
}
