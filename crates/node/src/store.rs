//! Calls to the store, the platform's object API, and to the VM list, on threads of their own
//! because they block.
//!
//! A claim is an object that reserves the request id of a write, so that the write runs at most
//! once. A configuration text is stored in parts, one object each. An ownership table holds the
//! owner of each replica of a data centre.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;

use crate::Event;
use crate::clock::Clock;
use crate::clock::unix_ms;
use crate::metrics::Metrics;
use crate::store_parts::PartChange;
use crate::store_parts::remove_unused_parts;
use crate::store_parts::run_part_reads;
use crate::store_tables::read_table;
use crate::store_tables::table_path;
use crate::store_tables::write_table;
use wigeonhall_fleet::ConfigManifest;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::TableRecord;
use wigeonhall_platform::ChangeOutcome;
use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::StoredObject;
use wigeonhall_platform::VmListClient;
use wigeonhall_protocol::CURRENT_PATH;
use wigeonhall_protocol::StoredConfig;
use wigeonhall_query::Claim;
use wigeonhall_query::ClaimResult;
use wigeonhall_query::QueryEvent;
use wigeonhall_query::QueryId;
use wigeonhall_types::DataCentreKey;

/// Age from which claims are deleted: 24 h, in which a write may be repeated, and 1 h for clock
/// skew.
const CLAIM_DELETION_AGE_HOURS: u64 = 25;

/// Pause between two deletions of claims. One node of a region deletes at most 20 claims a
/// second, a small part of the several hundred writes a second that the platform allows.
const CLAIM_DELETION_PAUSE: Duration = Duration::from_millis(50);

/// Pause between two changes of parts of configuration texts. A part that no configuration
/// refers to is first marked as unused by a write, and deleted later. At 21,000 configuration
/// changes a day of two parts each, about one mark and one deletion a second are needed.
const PART_CHANGE_PAUSE: Duration = Duration::from_millis(50);

/// Threads that read parts of configuration texts. Each call to the store blocks for a few
/// milliseconds.
const PART_THREADS: usize = 4;

const CLAIMS_PREFIX: &str = "claims/";

const HOUR_MS: u64 = 3_600_000;

/// Threads that write claims. Each call to the store blocks for a few milliseconds.
const CLAIM_THREADS: usize = 8;

/// Capacity of the queue of claims. Claims beyond it get `ClaimResult::Unknown` at once, because
/// a store this slow would accept them too late for their callers.
const CLAIM_QUEUE_CAPACITY: usize = 64;

/// Time after which a queued table write is dropped. The fleet core treats a write that did
/// not take effect within this time as failed.
const TABLE_WRITE_TIMEOUT_US: u64 = 2_000_000;

/// Queues of the threads that call the platform.
#[derive(Debug)]
pub struct Store {
    /// Each message starts a deletion of old claims.
    claim_deletions: Sender<()>,
    claims: Sender<ClaimJob>,
    clock: Clock,
    config_and_tables: Sender<ConfigOrTableJob>,
    events: Sender<Event>,
    parts: Sender<PartHash>,
    /// Each message starts a removal of unused parts.
    part_removals: Sender<()>,
    /// Each message requests the VM list. At most one request is queued, so that a list is at most
    /// two call durations old when it is delivered.
    vm_lists: Sender<()>,
    /// Each message is a generation, the object version of a configuration; starts a watch for a
    /// newer one.
    watch: Sender<u64>,
}

#[derive(Debug)]
struct ClaimJob {
    claim: Claim,
    /// Version of the claim to replace; 0 creates it.
    expected_version: u64,
    id: QueryId,
}

/// A read of the configuration, or a read or write of an ownership table.
#[derive(Debug)]
enum ConfigOrTableJob {
    ReadConfig,
    ReadTable {
        data_centre: DataCentreKey,
        path: String,
    },
    WriteTable {
        queued_us: u64,
        data_centre: DataCentreKey,
        expected_epoch: u64,
        table: TableRecord,
    },
}

impl Store {
    /// Starts the threads. They end when the store is dropped.
    #[must_use]
    pub fn start(
        api: &ObjectApi,
        vm_list: VmListClient,
        watch_wait_ms: u64,
        clock: Clock,
        events: &Sender<Event>,
        metrics: &Arc<Metrics>,
    ) -> Self {
        let (claim_deletions, deletion_jobs) = flume::bounded(1);
        let (claims, claim_jobs) = flume::bounded(CLAIM_QUEUE_CAPACITY);
        let (config_and_tables, config_jobs) = flume::unbounded();
        let (watch, watches) = flume::unbounded();
        for _ in 0..CLAIM_THREADS {
            let (api, events) = (api.clone(), events.clone());
            let jobs: Receiver<ClaimJob> = claim_jobs.clone();
            thread::spawn(move || run_claim_writes(&api, &jobs, &events));
        }
        let (watch_api, watch_events) = (api.clone(), events.clone());
        thread::spawn(move || run_watches(&watch_api, watch_wait_ms, &watches, &watch_events));
        let (deletion_api, deletion_metrics) = (api.clone(), Arc::clone(metrics));
        thread::spawn(move || run_deletions(&deletion_api, &deletion_jobs, &deletion_metrics));
        let (parts, part_jobs) = flume::unbounded();
        for _ in 0..PART_THREADS {
            let (api, events, jobs) = (api.clone(), events.clone(), part_jobs.clone());
            thread::spawn(move || run_part_reads(&api, &jobs, &events));
        }
        let (part_removals, removal_jobs) = flume::bounded(1);
        let (removal_api, removal_metrics) = (api.clone(), Arc::clone(metrics));
        thread::spawn(move || run_part_removals(&removal_api, &removal_jobs, &removal_metrics));
        let (api, config_events) = (api.clone(), events.clone());
        thread::spawn(move || run_config_jobs(&api, clock, &config_jobs, &config_events));
        let (vm_lists, vm_list_jobs) = flume::bounded(1);
        let list_events = events.clone();
        thread::spawn(move || run_vm_list_reads(&vm_list, &vm_list_jobs, &list_events));
        Self {
            claim_deletions,
            claims,
            clock,
            config_and_tables,
            events: events.clone(),
            parts,
            part_removals,
            vm_lists,
            watch,
        }
    }

    /// Replaces the claim at `expected_version`, or creates it if that is 0. Exactly one
    /// `QueryEvent::Claim` follows.
    pub fn put_claim(&self, id: QueryId, claim: Claim, expected_version: u64) {
        let job = ClaimJob {
            claim,
            expected_version,
            id,
        };
        if self.claims.try_send(job).is_err() {
            let result = ClaimResult::Unknown;
            let _ = self
                .events
                .send(Event::Query(QueryEvent::Claim { id, result }));
        }
    }

    /// Starts a deletion of old claims. At most one more is queued while one runs.
    pub fn delete_old_claims(&self) {
        let _ = self.claim_deletions.try_send(());
    }

    /// Reads the accepted configuration.
    pub fn read_config(&self) {
        self.queue_config_or_table_job(ConfigOrTableJob::ReadConfig);
    }

    /// Reads a part of a configuration text.
    pub fn read_part(&self, hash: PartHash) {
        let _ = self.parts.send(hash);
    }

    /// Starts a removal of unused parts. At most one more is queued while one runs.
    pub fn remove_unused_parts(&self) {
        let _ = self.part_removals.try_send(());
    }

    /// Reads the ownership table of a data centre.
    pub fn read_table(&self, data_centre: DataCentreKey, name: &str) {
        let path = table_path(name);
        self.queue_config_or_table_job(ConfigOrTableJob::ReadTable { data_centre, path });
    }

    /// Reads the VM list.
    pub fn read_vm_list(&self) {
        let _ = self.vm_lists.try_send(());
    }

    /// Watches for a configuration newer than `generation`.
    pub fn watch_config(&self, generation: u64) {
        let _ = self.watch.send(generation);
    }

    /// Writes an ownership table if the epoch (the number of its version) of the stored one is
    /// still `expected_epoch`.
    pub fn write_table(&self, data_centre: DataCentreKey, expected_epoch: u64, table: TableRecord) {
        self.queue_config_or_table_job(ConfigOrTableJob::WriteTable {
            queued_us: self.clock.now_us(),
            data_centre,
            expected_epoch,
            table,
        });
    }

    fn queue_config_or_table_job(&self, job: ConfigOrTableJob) {
        let _ = self.config_and_tables.send(job);
    }
}

fn claim_path(claim: &Claim) -> String {
    format!(
        "{CLAIMS_PREFIX}{}/{}",
        claim.issued_unix_ms / HOUR_MS,
        claim.request_id
    )
}

/// Returns the hour since the Unix epoch in which the claim at a path was issued.
fn claim_hour(path: &str) -> Option<u64> {
    let mut segments = path.strip_prefix(CLAIMS_PREFIX)?.split('/');
    segments.next()?.parse().ok()
}

/// Deletes old claims for each message in `jobs`.
fn run_deletions(api: &ObjectApi, jobs: &Receiver<()>, metrics: &Metrics) {
    for () in jobs {
        let Ok(objects) = api.list(CLAIMS_PREFIX) else {
            metrics.count("claim_clean_up_failed");
            continue;
        };
        // Paths hold only the hour of issue; a claim may be up to an hour younger than its start.
        let now_hour = unix_ms() / HOUR_MS;
        let is_expired = |hour: u64| hour + 1 + CLAIM_DELETION_AGE_HOURS <= now_hour;
        for object in objects {
            if !claim_hour(&object.path).is_some_and(is_expired) {
                continue;
            }
            match api.delete(&object.path, object.version) {
                Ok(_) => metrics.count("claim_deleted"),
                Err(_) => metrics.count("claim_delete_failed"),
            }
            thread::sleep(CLAIM_DELETION_PAUSE);
        }
    }
}

fn run_claim_writes(api: &ObjectApi, jobs: &Receiver<ClaimJob>, events: &Sender<Event>) {
    for job in jobs {
        let result = put_claim(api, &job);
        let event = QueryEvent::Claim { id: job.id, result };
        let _ = events.send(Event::Query(event));
    }
}

/// Writes a claim and returns whether the store accepted it.
fn put_claim(api: &ObjectApi, job: &ClaimJob) -> ClaimResult {
    let path = claim_path(&job.claim);
    let Ok(value) = serde_json::to_string(&job.claim) else {
        return ClaimResult::Unknown;
    };
    match api.put(&path, job.expected_version, &value) {
        Ok(ChangeOutcome::Stored { version }) => ClaimResult::Stored { version },
        Ok(ChangeOutcome::Conflict(Some(stored))) => stored_claim_conflict(&stored),
        Ok(ChangeOutcome::Conflict(None)) => ClaimResult::Unknown,
        Err(_) => read_back_claim(api, &path, &job.claim),
    }
}

/// Reads the claim after a put without a reply, to find out whether it took effect. If the
/// object is missing, the result stays unknown, because the put may still take effect.
fn read_back_claim(api: &ObjectApi, path: &str, wanted: &Claim) -> ClaimResult {
    let Ok(Some(object)) = api.get(path) else {
        return ClaimResult::Unknown;
    };
    match stored_claim_conflict(&object) {
        ClaimResult::Conflict { held, version } if held == *wanted => {
            ClaimResult::Stored { version }
        }
        // The same attempt wrote this version; the put may still be in flight and replace it.
        ClaimResult::Conflict { held, .. } if held.token == wanted.token => ClaimResult::Unknown,
        other => other,
    }
}

/// Returns the conflict with the claim that is stored already.
fn stored_claim_conflict(object: &StoredObject) -> ClaimResult {
    match serde_json::from_str(&object.value) {
        Ok(held) => ClaimResult::Conflict {
            held,
            version: object.version,
        },
        Err(_) => ClaimResult::Unknown,
    }
}

fn run_config_jobs(
    api: &ObjectApi,
    clock: Clock,
    jobs: &Receiver<ConfigOrTableJob>,
    events: &Sender<Event>,
) {
    for job in jobs {
        let event = match job {
            ConfigOrTableJob::ReadConfig => config_event(api.get(CURRENT_PATH)),
            ConfigOrTableJob::ReadTable { data_centre, path } => {
                read_table(api, clock, data_centre, &path)
            }
            ConfigOrTableJob::WriteTable {
                queued_us,
                data_centre,
                expected_epoch,
                table,
            } => {
                let in_time = clock.now_us() < queued_us + TABLE_WRITE_TIMEOUT_US;
                let write = || write_table(api, expected_epoch, table);
                let epoch = in_time.then(write).flatten();
                FleetEvent::TableWritten { data_centre, epoch }
            }
        };
        let _ = events.send(Event::Fleet(event));
    }
}

fn run_part_removals(api: &ObjectApi, jobs: &Receiver<()>, metrics: &Metrics) {
    for () in jobs {
        let result = remove_unused_parts(api, unix_ms(), |_| thread::sleep(PART_CHANGE_PAUSE));
        let Ok(changes) = result else {
            metrics.count("part_removal_failed");
            continue;
        };
        for change in changes {
            metrics.count(match change {
                PartChange::Deleted => "part_deleted",
                PartChange::Marked => "part_marked",
                PartChange::Unmarked => "part_unmarked",
            });
        }
    }
}

fn run_vm_list_reads(vm_list: &VmListClient, jobs: &Receiver<()>, events: &Sender<Event>) {
    for () in jobs {
        if let Ok(vms) = vm_list.read() {
            let _ = events.send(Event::Fleet(FleetEvent::VmList(vms)));
        }
    }
}

fn run_watches(api: &ObjectApi, wait_ms: u64, generations: &Receiver<u64>, events: &Sender<Event>) {
    for generation in generations {
        let event = config_event(api.watch(CURRENT_PATH, generation, wait_ms));
        let _ = events.send(Event::Fleet(event));
    }
}

/// Converts the result of a read of the configuration to an event.
fn config_event<E>(result: Result<Option<StoredObject>, E>) -> FleetEvent {
    match result {
        Ok(None) => FleetEvent::ConfigRead {
            manifest: None,
            parts: Vec::new(),
        },
        Ok(Some(object)) => match parse_config(&object) {
            Some((manifest, parts)) => FleetEvent::ConfigRead {
                manifest: Some(manifest),
                parts,
            },
            None => FleetEvent::ConfigReadFailed,
        },
        Err(_) => FleetEvent::ConfigReadFailed,
    }
}

fn parse_config(object: &StoredObject) -> Option<(ConfigManifest, Vec<Arc<str>>)> {
    let stored: StoredConfig = serde_json::from_str(&object.value).ok()?;
    Some(stored.into_manifest(object.version))
}
