use std::collections::BTreeMap;
use std::sync::Arc;

use crate::BurnSample;
use crate::ClassSample;
use crate::Outcome;
use crate::SpentCount;
use crate::WindowSample;
use crate::ring::ClassRings;
use crate::ring::SpentByCause;
use crate::ring::WINDOWS_S;
use wigeonhall_types::ClassKey;
use wigeonhall_types::Deployment;
use wigeonhall_types::NameCatalog;
use wigeonhall_types::ServiceLevel;

/// Maximum number of distinct causes; the last one collects all others.
pub const MAX_CAUSES: usize = 32;
/// Maximum number of counted classes.
pub const MAX_CLASSES: usize = 32;

/// Cause that stands for all causes beyond `MAX_CAUSES`.
const OTHER_CAUSE: &str = "other";

/// Counts the outcomes of requests per class.
///
/// Memory is bounded: there are at most `MAX_CLASSES` classes, each with 194 buckets (see
/// `ClassRings`), and a bucket holds one count per outcome and cause that occurred in it.
#[derive(Clone, Debug)]
pub struct BurnRecorder {
    /// Names of the causes, at most `MAX_CAUSES`. The last one is `OTHER_CAUSE` when the
    /// list is full.
    causes: Vec<Arc<str>>,
    /// Counted classes, at most `MAX_CLASSES`.
    classes: BTreeMap<ClassKey, ClassCounters>,
    /// Local time at which the node started.
    started_us: u64,
    /// Requests whose class is not counted.
    uncounted: u64,
}

#[derive(Clone, Debug)]
struct ClassCounters {
    level: ServiceLevel,
    rings: ClassRings,
}

impl BurnRecorder {
    /// Creates a recorder that counts no class until [`set_deployment`](Self::set_deployment).
    #[must_use]
    pub const fn new(now_us: u64) -> Self {
        Self {
            causes: Vec::new(),
            classes: BTreeMap::new(),
            started_us: now_us,
            uncounted: 0,
        }
    }

    /// Counts the classes of this deployment from now on and drops the counts of all
    /// other classes.
    pub fn set_deployment(&mut self, now_us: u64, deployment: &Deployment) {
        self.classes
            .retain(|key, _| deployment.classes.contains_key(key));
        for (key, class) in &deployment.classes {
            if let Some(counters) = self.classes.get_mut(key) {
                counters.level = class.level;
            } else if self.classes.len() < MAX_CLASSES {
                let counters = ClassCounters {
                    level: class.level,
                    rings: ClassRings::new(now_us),
                };
                self.classes.insert(*key, counters);
            }
        }
    }

    /// Counts one request. `cause` names what spent the error budget and is ignored for
    /// good requests.
    pub fn record(&mut self, now_us: u64, class: ClassKey, outcome: Outcome, cause: &str) {
        let cause = match outcome {
            Outcome::Good => 0,
            _ => cause_index(&mut self.causes, cause),
        };
        match self.classes.get_mut(&class) {
            Some(counters) => counters.rings.add(now_us, outcome, cause),
            None => self.uncounted += 1,
        }
    }

    /// Counts a request that was answered in full after `latency_us`, as good or slow.
    pub fn record_answer(&mut self, now_us: u64, class: ClassKey, latency_us: u64) {
        let level_us = self
            .classes
            .get(&class)
            .map_or(u64::MAX, |counters| counters.level.latency_ms * 1_000);
        let outcome = if latency_us <= level_us {
            Outcome::Good
        } else {
            Outcome::Slow
        };
        self.record(now_us, class, outcome, "latency");
    }

    /// Returns the counts of all windows, as a node serves them at `GET /burn`.
    pub fn sample(&mut self, now_us: u64, node: &Arc<str>, catalog: &NameCatalog) -> BurnSample {
        let up_s = now_us.saturating_sub(self.started_us) / 1_000_000;
        let mut classes = Vec::new();
        for (key, counters) in &mut self.classes {
            let windows = WINDOWS_S.map(|window_s| {
                let (good, spent) = counters.rings.window(now_us, window_s);
                WindowSample {
                    covered_s: up_s.min(window_s),
                    good,
                    spent: spent_counts(&spent, &self.causes),
                    window_s,
                }
            });
            classes.push(ClassSample {
                class: catalog.class_name(*key),
                latency_ms: counters.level.latency_ms,
                objective_ppm: counters.level.objective_ppm,
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

/// Returns the index of `cause`, and adds it if it is new and the list is not full.
fn cause_index(causes: &mut Vec<Arc<str>>, cause: &str) -> u8 {
    if let Some(index) = causes.iter().position(|name| **name == *cause) {
        return index as u8;
    }
    if causes.len() + 1 < MAX_CAUSES {
        causes.push(Arc::from(cause));
    } else if causes.len() < MAX_CAUSES {
        causes.push(Arc::from(OTHER_CAUSE));
    }
    causes.len() as u8 - 1
}

fn spent_counts(spent: &SpentByCause, causes: &[Arc<str>]) -> Vec<SpentCount> {
    spent
        .iter()
        .map(|((outcome, cause), count)| SpentCount {
            cause: Arc::clone(&causes[usize::from(*cause)]),
            count: *count,
            outcome: *outcome,
        })
        .collect()
}
