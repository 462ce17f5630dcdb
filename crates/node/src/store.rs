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
use crate::store_parts::run_parts;
use crate::store_tables::read_table;
use crate::store_tables::table_path;
use crate::store_tables::write_table;
use wigeonhall_fleet::ConfigManifest;
use wigeonhall_fleet::FleetEvent;
use wigeonhall_fleet::PartHash;
use wigeonhall_fleet::TableRecord;
use wigeonhall_platform::ObjectApi;
use wigeonhall_platform::PutOutcome;
use wigeonhall_platform::StoredObject;
use wigeonhall_platform::VmList;
use wigeonhall_protocol::CURRENT_PATH;
use wigeonhall_protocol::StoredConfig;
use wigeonhall_query::Claim;
use wigeonhall_query::ClaimResult;
use wigeonhall_query::QueryEvent;
use wigeonhall_query::QueryId;
use wigeonhall_types::DataCentreKey;

/// Age past which claims are deleted, in hours: the 24 h for which they are kept and
/// one hour for the difference between clocks.
const CLAIM_DELETED_H: u64 = 25;

/// Pause between two deletions of claims. 20 a second by one node of a region is a
/// small part of the several hundred writes a second that the platform takes.
const CLAIM_DELETE_PAUSE: Duration = Duration::from_millis(50);

/// Pause between two changes of unused parts. At 21,000 changes a day of two parts each
/// there are about one mark and one deletion a second to make.
const PART_CHANGE_PAUSE: Duration = Duration::from_millis(50);

/// Threads that read parts; each blocks for one store call of a few milliseconds.
const PART_THREADS: usize = 4;

const CLAIMS_PREFIX: &str = "claims/";

const HOUR_MS: u64 = 3_600_000;

/// Threads for claims; each blocks for one store call of a few milliseconds.
const CLAIM_THREADS: usize = 8;

/// Claims that wait for a thread; more are refused as unknown, since a store that
/// falls this far behind is down for the callers that wait for it.
const CLAIM_QUEUE: usize = 64;

/// Age at which a table write that still waits is given up. The fleet core takes a
/// write that did not take effect within this time as lost.
const TABLE_WRITE_AGE_US: u64 = 2_000_000;

/// Calls to the platform, made on threads of their own because they block.
#[derive(Debug)]
pub struct Store {
    /// Each message starts one clean-up of old claims.
    cleanups: Sender<()>,
    claims: Sender<ClaimJob>,
    clock: Clock,
    control: Sender<ControlJob>,
    events: Sender<Event>,
    parts: Sender<PartHash>,
    /// Each message starts one removal of unused parts.
    removals: Sender<()>,
    /// Each message asks for the list of VMs; one waits at most, so that no answer is
    /// older than two calls.
    vm_lists: Sender<()>,
    watch: Sender<u64>,
}

#[derive(Debug)]
struct ClaimJob {
    claim: Claim,
    /// Version of the object that is replaced, 0 to create it.
    expected_version: u64,
    id: QueryId,
}

#[derive(Debug)]
enum ControlJob {
    ReadConfig,
    ReadTable {
        data_centre: DataCentreKey,
        path: String,
    },
    WriteTable {
        asked_us: u64,
        data_centre: DataCentreKey,
        expected_epoch: u64,
        table: TableRecord,
    },
}

impl Store {
    /// Starts the threads; they end when the store is dropped.
    #[must_use]
    pub fn start(
        api: &ObjectApi,
        vms: VmList,
        watch_wait_ms: u64,
        clock: Clock,
        events: &Sender<Event>,
        metrics: &Arc<Metrics>,
    ) -> Self {
        let (cleanups, cleanup_jobs) = flume::bounded(1);
        let (claims, claim_jobs) = flume::bounded(CLAIM_QUEUE);
        let (control, control_jobs) = flume::unbounded();
        let (watch, watches) = flume::unbounded();
        for _ in 0..CLAIM_THREADS {
            let (api, events) = (api.clone(), events.clone());
            let jobs: Receiver<ClaimJob> = claim_jobs.clone();
            thread::spawn(move || run_claims(&api, &jobs, &events));
        }
        let (watch_api, watch_events) = (api.clone(), events.clone());
        thread::spawn(move || run_watches(&watch_api, watch_wait_ms, &watches, &watch_events));
        let (cleanup_api, cleanup_metrics) = (api.clone(), Arc::clone(metrics));
        thread::spawn(move || run_cleanups(&cleanup_api, &cleanup_jobs, &cleanup_metrics));
        let (parts, part_jobs) = flume::unbounded();
        for _ in 0..PART_THREADS {
            let (api, events, jobs) = (api.clone(), events.clone(), part_jobs.clone());
            thread::spawn(move || run_parts(&api, &jobs, &events));
        }
        let (removals, removal_jobs) = flume::bounded(1);
        let (removal_api, removal_metrics) = (api.clone(), Arc::clone(metrics));
        thread::spawn(move || run_removals(&removal_api, &removal_jobs, &removal_metrics));
        let (api, control_events) = (api.clone(), events.clone());
        thread::spawn(move || run_control(&api, clock, &control_jobs, &control_events));
        let (vm_lists, vm_list_jobs) = flume::bounded(1);
        let list_events = events.clone();
        thread::spawn(move || run_vm_lists(&vms, &vm_list_jobs, &list_events));
        Self {
            cleanups,
            claims,
            clock,
            control,
            events: events.clone(),
            parts,
            removals,
            vm_lists,
            watch,
        }
    }

    /// Creates a claim if there is none, or replaces it at `expected_version`.
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

    /// Starts a clean-up of old claims unless one runs.
    pub fn delete_old_claims(&self) {
        let _ = self.cleanups.try_send(());
    }

    /// Reads the configuration.
    pub fn read_config(&self) {
        self.control_job(ControlJob::ReadConfig);
    }

    /// Reads a part of a text.
    pub fn read_part(&self, hash: PartHash) {
        let _ = self.parts.send(hash);
    }

    /// Starts a removal of unused parts unless one runs.
    pub fn remove_unused_parts(&self) {
        let _ = self.removals.try_send(());
    }

    /// Reads an ownership table.
    pub fn read_table(&self, data_centre: DataCentreKey, name: &str) {
        let path = table_path(name);
        self.control_job(ControlJob::ReadTable { data_centre, path });
    }

    /// Reads the list of VMs.
    pub fn read_vm_list(&self) {
        let _ = self.vm_lists.try_send(());
    }

    /// Waits for a configuration after `generation`.
    pub fn watch_config(&self, generation: u64) {
        let _ = self.watch.send(generation);
    }

    /// Writes an ownership table if its version is still `expected_epoch`.
    pub fn write_table(&self, data_centre: DataCentreKey, expected_epoch: u64, table: TableRecord) {
        self.control_job(ControlJob::WriteTable {
            asked_us: self.clock.now_us(),
            data_centre,
            expected_epoch,
            table,
        });
    }

    fn control_job(&self, job: ControlJob) {
        let _ = self.control.send(job);
    }
}

fn claim_path(claim: &Claim) -> String {
    format!(
        "{CLAIMS_PREFIX}{}/{}",
        claim.issued_unix_ms / HOUR_MS,
        claim.request_id
    )
}

/// Hour in which the claim at this path was issued, since the Unix epoch.
fn claim_hour(path: &str) -> Option<u64> {
    let mut parts = path.strip_prefix(CLAIMS_PREFIX)?.split('/');
    parts.next()?.parse().ok()
}

fn run_cleanups(api: &ObjectApi, jobs: &Receiver<()>, metrics: &Metrics) {
    for () in jobs {
        let Ok(objects) = api.list(CLAIMS_PREFIX) else {
            metrics.count("claim_clean_up_failed");
            continue;
        };
        // The last claim of an hour is up to an hour younger than the hour's start.
        let now_hour = unix_ms() / HOUR_MS;
        let old = |hour: u64| hour + 1 + CLAIM_DELETED_H <= now_hour;
        for object in objects {
            if !claim_hour(&object.path).is_some_and(old) {
                continue;
            }
            match api.delete(&object.path, object.version) {
                Ok(_) => metrics.count("claim_deleted"),
                Err(_) => metrics.count("claim_delete_failed"),
            }
            thread::sleep(CLAIM_DELETE_PAUSE);
        }
    }
}

fn run_claims(api: &ObjectApi, jobs: &Receiver<ClaimJob>, events: &Sender<Event>) {
    for job in jobs {
        let result = put_claim(api, &job);
        let event = QueryEvent::Claim { id: job.id, result };
        let _ = events.send(Event::Query(event));
    }
}

fn put_claim(api: &ObjectApi, job: &ClaimJob) -> ClaimResult {
    let path = claim_path(&job.claim);
    let Ok(value) = serde_json::to_string(&job.claim) else {
        return ClaimResult::Unknown;
    };
    match api.put(&path, job.expected_version, &value) {
        Ok(PutOutcome::Stored { version }) => ClaimResult::Stored { version },
        Ok(PutOutcome::Conflict(Some(held))) => held_claim(&held),
        Ok(PutOutcome::Conflict(None)) => ClaimResult::Unknown,
        Err(_) => read_claim_back(api, &path, &job.claim),
    }
}

/// Settles a put whose reply was lost. An object that is not there settles
/// nothing, since the put may still take effect.
fn read_claim_back(api: &ObjectApi, path: &str, wanted: &Claim) -> ClaimResult {
    let Ok(Some(object)) = api.get(path) else {
        return ClaimResult::Unknown;
    };
    match held_claim(&object) {
        ClaimResult::Conflict { held, version } if held == *wanted => {
            ClaimResult::Stored { version }
        }
        // The put may still be on its way and replace this version.
        ClaimResult::Conflict { held, .. } if held.token == wanted.token => ClaimResult::Unknown,
        other => other,
    }
}

fn held_claim(object: &StoredObject) -> ClaimResult {
    match serde_json::from_str(&object.value) {
        Ok(held) => ClaimResult::Conflict {
            held,
            version: object.version,
        },
        Err(_) => ClaimResult::Unknown,
    }
}

fn run_control(api: &ObjectApi, clock: Clock, jobs: &Receiver<ControlJob>, events: &Sender<Event>) {
    for job in jobs {
        let event = match job {
            ControlJob::ReadConfig => config_event(api.get(CURRENT_PATH)),
            ControlJob::ReadTable { data_centre, path } => {
                read_table(api, clock, data_centre, &path)
            }
            ControlJob::WriteTable {
                asked_us,
                data_centre,
                expected_epoch,
                table,
            } => {
                let in_time = clock.now_us() < asked_us + TABLE_WRITE_AGE_US;
                let write = || write_table(api, expected_epoch, table);
                let epoch = in_time.then(write).flatten();
                FleetEvent::TableWritten { data_centre, epoch }
            }
        };
        let _ = events.send(Event::Fleet(event));
    }
}

fn run_removals(api: &ObjectApi, jobs: &Receiver<()>, metrics: &Metrics) {
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

fn run_vm_lists(vms: &VmList, jobs: &Receiver<()>, events: &Sender<Event>) {
    for () in jobs {
        if let Ok(list) = vms.read() {
            let _ = events.send(Event::Fleet(FleetEvent::VmList(list)));
        }
    }
}

fn run_watches(api: &ObjectApi, wait_ms: u64, generations: &Receiver<u64>, events: &Sender<Event>) {
    for generation in generations {
        let event = config_event(api.watch(CURRENT_PATH, generation, wait_ms));
        let _ = events.send(Event::Fleet(event));
    }
}

fn config_event<E>(result: Result<Option<StoredObject>, E>) -> FleetEvent {
    match result {
        Ok(None) => FleetEvent::ConfigRead {
            list: None,
            parts: Vec::new(),
        },
        Ok(Some(object)) => match parse_config(&object) {
            Some((list, parts)) => FleetEvent::ConfigRead {
                list: Some(list),
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
