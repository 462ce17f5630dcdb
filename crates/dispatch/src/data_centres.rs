use std::sync::Arc;

use crate::NotRunCause;
use crate::Policy;
use crate::Reply;

/// Index of the own data centre.
pub(crate) const OWN: u32 = 0;

/// Half-life of what was observed of a data centre.
const HALF_LIFE_US: f64 = 2_000_000.0;

/// Weight of the newest response in the moving averages. A data centre has many replicas, so that
/// single slow ones count for little.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Step towards a longer latency of a connection. The shortest ones show the distance.
const CONNECT_STEP: f64 = 0.02;

/// Maximum ratio of one latency to the mean of its route.
const MAX_LATENCY_RATIO: f64 = 4.0;

/// Data centres that this node knows, the own one first.
#[derive(Debug)]
pub(crate) struct DataCentres {
    known: Vec<DataCentre>,
}

/// What this node's requests show of the replicas of one data centre.
#[derive(Debug)]
pub(crate) struct DataCentre {
    /// Latency of a connection without a queue; `None` before the first one.
    connect_us: Option<f64>,
    name: Arc<str>,
    /// Share of the requests that were refused for lack of capacity, 0 to 1.
    refused_share: f64,
    /// Moving average of the ratio of latencies to the mean of their route.
    slowness: f64,
    /// Time of the newest sample.
    updated_us: u64,
}

impl DataCentres {
    pub(crate) fn new(own: Arc<str>) -> Self {
        Self {
            known: vec![DataCentre::new(own)],
        }
    }

    /// Returns the index of a data centre, which is kept; the number of names is small.
    pub(crate) fn index(&mut self, name: &Arc<str>) -> u32 {
        let index = self.known.iter().position(|known| known.name == *name);
        let index = index.unwrap_or_else(|| {
            self.known.push(DataCentre::new(name.clone()));
            self.known.len() - 1
        });
        index as u32
    }

    pub(crate) fn get(&self, index: u32) -> &DataCentre {
        &self.known[index as usize]
    }

    pub(crate) fn get_mut(&mut self, index: u32) -> &mut DataCentre {
        &mut self.known[index as usize]
    }

    /// Returns the distance of the farthest data centre.
    pub(crate) fn farthest_us(&self) -> f64 {
        let distances = (0..self.known.len()).map(|index| self.distance_us(index as u32));
        distances.fold(0.0, f64::max)
    }

    /// Returns by how much a round trip to a data centre takes longer than within the own one.
    pub(crate) fn distance_us(&self, index: u32) -> f64 {
        let own_us = self.get(OWN).connect_us.unwrap_or(0.0);
        let extra_us = |connect_us: f64| (connect_us - own_us).max(0.0);
        self.get(index).connect_us.map_or(0.0, extra_us)
    }
}

impl DataCentre {
    const fn new(name: Arc<str>) -> Self {
        Self {
            connect_us: None,
            name,
            refused_share: 0.0,
            slowness: 1.0,
            updated_us: 0,
        }
    }

    /// Records the latency of a connection to one of its replicas.
    pub(crate) fn observe_connect(&mut self, latency_us: u64) {
        let sample_us = latency_us as f64;
        let known_us = self.connect_us.unwrap_or(sample_us);
        let longer_us = (sample_us - known_us).max(0.0);
        self.connect_us = Some(known_us.min(sample_us) + longer_us * CONNECT_STEP);
    }

    /// Records the result of a request to one of its replicas.
    pub(crate) fn observe(&mut self, now_us: u64, reply: Reply, latency_ratio: f64) {
        let refused = match reply {
            Reply::Success => 0.0,
            Reply::NotRun(NotRunCause::Busy) => 1.0,
            // Lost and faulty replicas do not show that the others have no room.
            Reply::Failed { .. } | Reply::NotRun(_) | Reply::Unknown(_) => return,
        };
        let decay = self.decay_factor(now_us);
        let ratio = if reply == Reply::Success {
            latency_ratio.clamp(0.25, MAX_LATENCY_RATIO)
        } else {
            1.0
        };
        self.slowness = 1.0 + (self.slowness - 1.0) * decay;
        self.slowness += (ratio - self.slowness) * SAMPLE_WEIGHT;
        self.refused_share *= decay;
        self.refused_share += (refused - self.refused_share) * SAMPLE_WEIGHT;
        self.updated_us = now_us;
    }

    /// Returns the expected cost of a request to one of its replicas, relative to the mean.
    pub(crate) fn cost(&self, policy: &Policy, now_us: u64) -> f64 {
        let decay = self.decay_factor(now_us);
        let slowness = 1.0 + (self.slowness - 1.0) * decay;
        let accepted_share = (1.0 - self.refused_share * decay).max(0.1);
        slowness / accepted_share.powf(policy.failure_exponent)
    }

    fn decay_factor(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.updated_us) as f64;
        (-age_us / HALF_LIFE_US).exp2()
    }
}
