use crate::Policy;
use crate::ShardLoad;

/// Largest level. The margin above 1 keeps single late answers from causing refusals.
const LEVEL_MAX: f64 = 2.0;

/// Smallest level; the requests that are still admitted show when the overload has ended.
const LEVEL_MIN: f64 = 0.25;

/// Factor of the level for each gather with enough parts in time.
const INCREASE: f64 = 1.05;

/// Factor of the level for each gather that has too few parts when its answer is due. With
/// [`INCREASE`] the level falls while more than a sixth of the gathers are late.
const DECREASE: f64 = 0.8;

/// Share of queued legs up to which too few parts are no sign of an overload. The answer is then
/// late because of a few replicas, and refusing other requests would not make it earlier.
const FEW_QUEUED_SHARE: f64 = 0.5;

/// Weight of the newest legs in the moving average.
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
    /// Moving average of the share of a gather's legs that their replicas queued.
    queued_share: f64,
    /// Load that was last reported by [`Admission::load_change`].
    reported: ShardLoad,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            level: LEVEL_MAX,
            queued_share: 0.0,
            reported: ShardLoad::default(),
        }
    }
}

impl Admission {
    /// Records the share of the legs of a gather that their replicas queued.
    pub(crate) fn observe_legs(&mut self, queued_share: f64) {
        self.queued_share += (queued_share - self.queued_share) * SAMPLE_WEIGHT;
    }

    /// Records whether a gather had enough parts when its answer was due.
    pub(crate) fn observe_gather(&mut self, enough_parts: bool) {
        let in_time = enough_parts || self.queued_share <= FEW_QUEUED_SHARE;
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
        self.queued_share <= policy.hedging_queue_share
    }

    /// Returns the load if it is not the one that was returned last.
    pub(crate) fn load_change(&mut self, policy: &Policy) -> Option<ShardLoad> {
        let load = if policy.admission && self.level < 1.0 {
            ShardLoad::Refusing
        } else if self.allows_hedges(policy) {
            ShardLoad::Normal
        } else {
            ShardLoad::NoHedges
        };
        (load != self.reported).then(|| {
            self.reported = load;
            load
        })
    }

    /// Moving average of the share of a gather's legs that their replicas queued.
    pub(crate) const fn queued_share(self) -> f64 {
        self.queued_share
    }
}
