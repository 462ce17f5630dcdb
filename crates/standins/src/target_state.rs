use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::HealthFreshness;
use crate::TargetCounts;
use crate::TargetSettings;
use crate::cold_start::ColdStart;
use crate::http_message::Response;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::Operation;
use wigeonhall_types::Row;
use wigeonhall_types::ServedVersion;

/// Upper bound of the random part of a service time, as a multiple of its mean.
const MAX_JITTER: f64 = 10.0;

/// State that the health endpoint reports.
#[derive(Clone)]
pub(crate) struct HealthSnapshot {
    pub(crate) draining: bool,
    pub(crate) instance: u64,
    pub(crate) served: Vec<ServedVersion>,
}

/// What happens to new requests.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(crate) enum IntakeMode {
    Draining,
    Open,
    Shedding,
}

pub(crate) struct State {
    pub(crate) cold: Option<ColdStart>,
    pub(crate) counts: TargetCounts,
    /// Number of times that each write ran, by request id.
    pub(crate) executions: BTreeMap<String, u32>,
    pub(crate) hanging: bool,
    pub(crate) health: HealthFreshness,
    /// States that the health endpoint may report, with the time of their change, oldest first;
    /// never empty.
    pub(crate) health_history: Vec<(Instant, HealthSnapshot)>,
    /// Identity of the simulated process; changes with each restart.
    pub(crate) instance: u64,
    pub(crate) intake_mode: IntakeMode,
    pub(crate) replies_to_lose: u32,
    pub(crate) replies_to_misdirect: u32,
    /// Time that requests may run past their deadlines; if it is not zero, cancellations do not
    /// end them early.
    pub(crate) overrun: Duration,
    pub(crate) random: fastrand::Rng,
    /// Running attempts by id; the value is whether the attempt was cancelled.
    pub(crate) running: BTreeMap<String, bool>,
    pub(crate) settings: TargetSettings,
    pub(crate) slowdown: f64,
    pub(crate) stopped: bool,
    pub(crate) written: Vec<Row>,
}

#[derive(Deserialize)]
pub(crate) struct RunBody {
    pub(crate) operation: Operation,
    pub(crate) version: Option<IndexVersion>,
}

#[derive(Serialize)]
struct ReplyBody<'a> {
    attempt: Option<&'a str>,
    instance: u64,
    outcome: &'a Outcome,
    served: &'a [ServedVersion],
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    Answered {
        ranges: Vec<KeyRange>,
        rows: Vec<Row>,
        version: IndexVersion,
    },
    Cancelled,
    DeadlineExceeded,
    Draining,
    Ready,
    Shed {
        retry_after_us: u64,
    },
    UnknownAttempt,
    VersionGone,
}

impl Outcome {
    const fn status(&self) -> u16 {
        match self {
            Self::Answered { .. } | Self::Ready => 200,
            Self::Cancelled => 409,
            Self::DeadlineExceeded => 504,
            Self::Draining | Self::Shed { .. } => 503,
            Self::UnknownAttempt => 404,
            Self::VersionGone => 410,
        }
    }
}

impl State {
    pub(crate) fn new(settings: TargetSettings) -> Self {
        let mut random = fastrand::Rng::with_seed(settings.seed);
        let instance = random.u64(1..);
        let slots = settings.slots;
        Self {
            cold: settings.cold.map(|cold| ColdStart::new(cold, slots)),
            counts: TargetCounts::default(),
            executions: BTreeMap::new(),
            hanging: false,
            health: HealthFreshness::Current,
            health_history: vec![(
                Instant::now(),
                HealthSnapshot {
                    draining: false,
                    instance,
                    served: settings.versions.clone(),
                },
            )],
            instance,
            intake_mode: IntakeMode::Open,
            replies_to_lose: 0,
            replies_to_misdirect: 0,
            overrun: Duration::ZERO,
            random,
            running: BTreeMap::new(),
            settings,
            slowdown: 1.0,
            stopped: false,
            written: Vec::new(),
        }
    }

    /// Appends the current state to the history that the health endpoint reports from.
    pub(crate) fn record_health(&mut self) {
        let snapshot = HealthSnapshot {
            draining: self.intake_mode == IntakeMode::Draining,
            instance: self.instance,
            served: self.settings.versions.clone(),
        };
        self.health_history.push((Instant::now(), snapshot));
    }

    pub(crate) fn health_reply(&mut self) -> Response {
        self.counts.probes += 1;
        let snapshot_index = match self.health {
            HealthFreshness::Current => self.health_history.len() - 1,
            HealthFreshness::Frozen { changes } => changes.min(self.health_history.len() - 1),
            HealthFreshness::Lagging { lag_us } => self
                .health_history
                .iter()
                .rposition(|(since, _)| since.elapsed() >= Duration::from_micros(lag_us))
                .unwrap_or(0),
        };
        let snapshot = &self.health_history[snapshot_index].1;
        let outcome = if snapshot.draining {
            Outcome::Draining
        } else {
            Outcome::Ready
        };
        reply(None, snapshot.instance, &outcome, &snapshot.served)
    }

    pub(crate) fn reply(&self, attempt: &str, outcome: &Outcome) -> Response {
        let served = &self.settings.versions;
        reply(Some(attempt), self.instance, outcome, served)
    }

    pub(crate) fn restart(&mut self) {
        self.counts.restarts += 1;
        self.instance = self.random.u64(1..);
        self.intake_mode = IntakeMode::Open;
        // Running requests end with the old process.
        self.running.clear();
        let slots = self.settings.slots;
        self.cold = self
            .settings
            .cold
            .map(|settings| ColdStart::new(settings, slots));
        self.record_health();
    }

    /// Draws the service time of one request.
    pub(crate) fn draw_service_time(&mut self) -> Duration {
        let jitter = (-(1.0 - self.random.f64()).ln()).min(MAX_JITTER);
        let settings = &self.settings;
        let us = settings.service_us as f64 + settings.jitter_us as f64 * jitter;
        let cold = self.cold.as_ref().filter(|cold| cold.violated);
        let cold_factor = match cold.map(|cold| cold.settings.on_violation) {
            Some(crate::ColdViolation::Slow(factor)) => factor,
            _ => 1.0,
        };
        Duration::from_micros((us * self.slowdown * cold_factor) as u64)
    }

    /// Returns the version that a request reads or writes at, with its ranges: the pinned one,
    /// or the newest if none is pinned. Returns `None` if it is not served.
    pub(crate) fn find_version(&self, pinned: Option<IndexVersion>) -> Option<ServedVersion> {
        let versions = &self.settings.versions;
        pinned
            .map_or_else(
                || versions.last(),
                |pinned| versions.iter().find(|it| it.version == pinned),
            )
            .cloned()
    }

    /// Runs an operation and returns its outcome.
    pub(crate) fn execute(&mut self, operation: &Operation, served: &ServedVersion) -> Outcome {
        let version = served.version;
        match operation {
            Operation::Read { range } => {
                let ranges = served
                    .ranges
                    .iter()
                    .filter_map(|served_range| served_range.intersection(*range))
                    .collect::<Vec<_>>();
                let spacing = self.settings.row_spacing;
                let rows = ranges
                    .iter()
                    .flat_map(|&range| rows_in_range(range, version, spacing))
                    .collect();
                Outcome::Answered {
                    ranges,
                    rows,
                    version,
                }
            }
            Operation::Write {
                body,
                key,
                request_id,
            } => {
                *self.executions.entry(request_id.to_string()).or_default() += 1;
                let row = Row {
                    key: *key,
                    value: body.clone(),
                };
                self.written.push(row.clone());
                Outcome::Answered {
                    ranges: vec![KeyRange {
                        start: *key,
                        end: key.saturating_add(1),
                    }],
                    rows: vec![row],
                    version,
                }
            }
        }
    }
}

fn reply(
    attempt: Option<&str>,
    instance: u64,
    outcome: &Outcome,
    served: &[ServedVersion],
) -> Response {
    let body = serde_json::to_string(&ReplyBody {
        attempt,
        instance,
        outcome,
        served,
    });
    Response::Send {
        body: body.unwrap_or_default(),
        status: outcome.status(),
    }
}

/// Returns the rows that every target holds for the keys of `range` at `version`: one
/// for each multiple of `spacing`.
#[must_use]
pub fn rows_in_range(range: KeyRange, version: IndexVersion, spacing: u64) -> Vec<Row> {
    let first = range.start.div_ceil(spacing);
    (first..range.end.div_ceil(spacing))
        .map(|multiple| multiple * spacing)
        .map(|key| Row {
            key,
            value: format!("{key}@{}", version.0).into(),
        })
        .collect()
}
