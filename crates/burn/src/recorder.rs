use std::collections::BTreeMap;
use std::sync::Arc;

use crate::BurnSample;
use crate::ClassSample;
use crate::Outcome;
use crate::SpentCount;
use crate::WindowSample;
use crate::ring::Rings;
use crate::ring::Spent;
use crate::ring::WINDOWS_S;
use wigeonhall_types::Catalog;
use wigeonhall_types::ClassKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::ServiceLevel;

/// Most causes that are told apart; the last one stands for all others.
pub const MAX_CAUSES: usize = 32;
/// Most classes that are counted.
pub const MAX_CLASSES: usize = 32;

const OTHER: &str = "other";

/// Counts how the requests of each class ended.
///
/// Memory is bounded: at most `MAX_CLASSES` classes of 194 buckets, and a bucket holds
/// at most one count per outcome and cause that occurred in it.
#[derive(Clone, Debug)]
pub struct BurnRecorder {
    /// At most `MAX_CAUSES` names; the last one is `OTHER` when the list is full.
    causes: Vec<Arc<str>>,
    /// At most `MAX_CLASSES`.
    classes: BTreeMap<ClassKey, ClassRecord>,
    started_us: u64,
    /// Requests of classes that are not counted.
    uncounted: u64,
}

#[derive(Clone, Debug)]
struct ClassRecord {
    level: ServiceLevel,
    rings: Rings,
}

impl BurnRecorder {
    /// A recorder that counts no class yet.
    #[must_use]
    pub const fn new(now_us: u64) -> Self {
        Self {
            causes: Vec::new(),
            classes: BTreeMap::new(),
            started_us: now_us,
            uncounted: 0,
        }
    }

    /// Counts the classes of this deployment from now on and forgets all others.
    pub fn set_deployment(&mut self, now_us: u64, deployment: &Deployment) {
        self.classes
            .retain(|key, _| deployment.classes.contains_key(key));
        for (key, class) in &deployment.classes {
            if let Some(record) = self.classes.get_mut(key) {
                record.level = class.level;
            } else if self.classes.len() < MAX_CLASSES {
                let record = ClassRecord {
                    level: class.level,
                    rings: Rings::new(now_us),
                };
                self.classes.insert(*key, record);
            }
        }
    }

    /// Counts one request; `cause` says what spent the error budget and is ignored
    /// for good requests.
    pub fn record(&mut self, now_us: u64, class: ClassKey, outcome: Outcome, cause: &str) {
        let cause = match outcome {
            Outcome::Good => 0,
            _ => cause_index(&mut self.causes, cause),
        };
        match self.classes.get_mut(&class) {
            Some(record) => record.rings.add(now_us, outcome, cause),
            None => self.uncounted += 1,
        }
    }

    /// Counts a request that was answered in full after `latency_us`.
    pub fn record_answer(&mut self, now_us: u64, class: ClassKey, latency_us: u64) {
        let level_us = self
            .classes
            .get(&class)
            .map_or(u64::MAX, |record| record.level.latency_ms * 1_000);
        let outcome = if latency_us <= level_us {
            Outcome::Good
        } else {
            Outcome::Slow
        };
        self.record(now_us, class, outcome, "latency");
    }

    /// What this node serves at `GET /burn`.
    pub fn sample(&mut self, now_us: u64, node: &Arc<str>, catalog: &Catalog) -> BurnSample {
        let up_s = now_us.saturating_sub(self.started_us) / 1_000_000;
        let mut classes = Vec::new();
        for (key, record) in &mut self.classes {
            let windows = WINDOWS_S.map(|window_s| {
                let (good, spent) = record.rings.window(now_us, window_s);
                WindowSample {
                    covered_s: up_s.min(window_s),
                    good,
                    spent: spent_counts(&spent, &self.causes),
                    window_s,
                }
            });
            classes.push(ClassSample {
                class: catalog.class_name(*key),
                latency_ms: record.level.latency_ms,
                objective_ppm: record.level.objective_ppm,
                windows: windows.into(),
            });
        }
        BurnSample {
            classes,
            node: Arc::clone(node),
            uncounted: self.uncounted,
        }
    }
}

fn cause_index(causes: &mut Vec<Arc<str>>, cause: &str) -> u8 {
    if let Some(index) = causes.iter().position(|known| **known == *cause) {
        return index as u8;
    }
    if causes.len() + 1 < MAX_CAUSES {
        causes.push(Arc::from(cause));
    } else if causes.len() < MAX_CAUSES {
        causes.push(Arc::from(OTHER));
    }
    causes.len() as u8 - 1
}

fn spent_counts(spent: &Spent, causes: &[Arc<str>]) -> Vec<SpentCount> {
    spent
        .iter()
        .map(|((outcome, cause), count)| SpentCount {
            cause: Arc::clone(&causes[usize::from(*cause)]),
            count: *count,
            outcome: *outcome,
        })
        .collect()
}
