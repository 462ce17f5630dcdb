use crate::Policy;

/// Largest level. The margin above 1 keeps single late answers from causing refusals.
const LEVEL_MAX: f64 = 2.0;

/// Smallest level; the requests that are still admitted show when the overload has ended.
const LEVEL_MIN: f64 = 0.25;

/// Factor of the level for each gather with enough parts in time.
const INCREASE: f64 = 1.05;

/// Factor of the level for each gather that has too few parts when its answer is due. With
/// [`INCREASE`] the level falls while more than a sixth of the gathers are late.
const DECREASE: f64 = 0.8;

/// Weight of the newest gather in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Share of the gathers over one set of shards that can be answered in time, as observed by this
/// node.
///
/// Beyond their capacity, replicas queue requests until every answer is late. Refusing some
/// requests at once leaves the rest in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admission {
    /// The share; a value above 1 is a margin.
    level: f64,
    /// Moving average of the share of a gather's legs whose replicas queued them.
    queueing_share: f64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            level: LEVEL_MAX,
            queueing_share: 0.0,
        }
    }
}

impl Admission {
    /// Records whether a gather had enough parts when its answer was due, and the share of its legs
    /// whose replicas queued them.
    pub(crate) fn observe(&mut self, in_time: bool, queueing_share: f64) {
        self.queueing_share += (queueing_share - self.queueing_share) * SAMPLE_WEIGHT;
        let factor = if in_time { INCREASE } else { DECREASE };
        self.level = (self.level * factor).clamp(LEVEL_MIN, LEVEL_MAX);
    }

    /// Returns the share of the gathers of a `rank` that are admitted; 0 is the most urgent rank.
    ///
    /// The less urgent ones are refused first. All of their ranks have the same share, so that none
    /// of them is starved.
    pub(crate) fn admitted_share(self, rank: u32) -> f64 {
        let share = self.level.min(1.0);
        if rank == 0 { share } else { share * share }
    }

    /// Whether the replicas have room for hedges. A hedge to replicas that queue requests delays
    /// others by as much as it gains.
    pub(crate) fn allows_hedges(self, policy: &Policy) -> bool {
        self.queueing_share <= policy.hedging_queue_share
    }
}
