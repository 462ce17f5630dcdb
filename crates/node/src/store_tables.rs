//! Reads and writes ownership tables in the store, the platform's object API. The table of a data
//! centre holds the owner of each of its replicas.

use crate::clock::Clock;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::TableRecord;
use wigeonhall_platform::ChangeOutcome;
use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::StoredObject;
use wigeonhall_types::DataCentreKey;

/// Returns the path of the ownership table of a data centre.
pub fn table_path(data_centre: &str) -> String {
    format!("owners/{data_centre}")
}

/// Reads an ownership table.
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

/// Writes an ownership table with the epoch after `expected_epoch` and returns that epoch.
/// Returns `None` if the table was not written, or if that is unknown.
///
/// The epoch numbers the versions of a table. It is part of the value and grows by one, whereas
/// object versions may skip numbers. A node that sees a skipped epoch has missed a table and pauses
/// the replicas of the data centre for the duration of a lease, the time for which owners may start
/// requests without a new proof of their ownership.
pub fn write_table(api: &ObjectApi, expected_epoch: u64, mut table: TableRecord) -> Option<u64> {
    let path = table_path(&table.data_centre);
    let stored = api.get(&path).ok()?;
    let stored_epoch = match &stored {
        Some(object) => parse(object)?.epoch,
        None => 0,
    };
    if stored_epoch != expected_epoch {
        return None;
    }
    table.epoch = expected_epoch + 1;
    let value = serde_json::to_string(&table).ok()?;
    let version = stored.map_or(0, |it| it.version);
    match api.put(&path, version, &value).ok()? {
        ChangeOutcome::Stored { .. } => Some(table.epoch),
        ChangeOutcome::Conflict(_) => None,
    }
}

fn parse(object: &StoredObject) -> Option<TableRecord> {
    serde_json::from_str(&object.value).ok()
}
