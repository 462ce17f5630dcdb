//! How much of a service's work leaves the data centre: by how much a replica elsewhere must be
//! better, from the expected latency of the own replicas, the time that callers have left, the
//! distance, the bytes, and the load that responses from elsewhere show.

use crate::Policy;
use crate::data_centres::DataCentre;
use crate::route_profile::RouteProfile;

/// Cost factor of a replica elsewhere while the own replicas answer well within the time left, for
/// responses of [`FULL_FACTOR_BYTES`]. A larger factor would keep legs at slow own replicas, as a
/// node with few requests recognises them late.
const REMOTE_FACTOR_MAX: f64 = 1.7;

/// Size of a response, with its head, from which the whole [`REMOTE_FACTOR_MAX`] applies.
const FULL_FACTOR_BYTES: f64 = 1_250.0;

/// Bytes of a response's head and of its request.
const HEAD_BYTES: f64 = 250.0;

/// Share of the time left that an own replica may be expected to need without any leg leaving for
/// it. Latencies of single requests are several times the median.
const AMPLE_TIME_SHARE: f64 = 0.15;

/// Expected share of the time left from which [`Policy::cross_data_centre_cost`] applies.
const SCARCE_TIME_SHARE: f64 = 0.5;

/// Share of failures and refusals of an own replica from which
/// [`Policy::cross_data_centre_cost`] applies; one failure raises it to 0.2.
const FAILURE_SHARE_MAX: f64 = 0.2;

/// Range of the random part of the factor, as a share of it. Nodes that see the same replicas
/// thereby neither leave nor return at once.
const SPREAD: f64 = 0.25;

/// Share of the distance that counts for a replica without recent responses. Own replicas that have
/// become slow are underestimated too, as their latest responses come late.
const DISTANCE_SHARE: f64 = 0.5;

/// Time without a result from a replica with requests in flight, in median latencies, from which it
/// is expected to be paused or to queue.
const STALL_RATIO: f64 = 0.5;

/// Cost of each further median latency without a result. A replica that has been silent for some
/// time remains so for as long again, and longer if its queue has grown.
const STALL_COST: f64 = 2.0;

/// Time for which a response from elsewhere is waited for in addition to the distance, in median
/// latencies; few take longer.
const REMOTE_WAIT_RATIO: f64 = 3.0;

/// Largest cost of a data centre's replicas, apart from the distance, that get hedges. Hedges to
/// replicas that queue requests delay others by as much as they gain.
const HEDGE_COST_MAX: f64 = 1.6;

/// Inputs of a choice: the time left for a sub-request, and the typical responses of its route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChoiceContext {
    /// Time until the response is due; `None` if it is unknown.
    pub left_us: Option<u64>,
    /// Typical responses on the route.
    pub profile: RouteProfile,
}

/// Returns the factor by which the cost of a replica in another data centre is multiplied.
///
/// It falls as the expected latency of the best own replica, `near_cost` times the median, uses up
/// the time that is left, or as its requests fail: a failed request needs a retry, of which there
/// are few. `draw` is a random number from 0 to 1.
pub(crate) fn remote_factor(
    policy: &Policy,
    context: ChoiceContext,
    near_cost: f64,
    near_failure_share: f64,
    draw: f64,
) -> f64 {
    let least = policy.cross_data_centre_cost;
    let (Some(left_us), Some(latency_us)) = (context.left_us, context.profile.latency_us) else {
        return least;
    };
    if !policy.locality {
        return least;
    }
    let needed_share = near_cost * latency_us / (left_us as f64).max(1.0);
    let in_time = (SCARCE_TIME_SHARE - needed_share) / (SCARCE_TIME_SHARE - AMPLE_TIME_SHARE);
    let healthy = 1.0 - near_failure_share / FAILURE_SHARE_MAX;
    let calm = in_time.clamp(0.0, 1.0) * healthy.max(0.0);
    let bytes = context.profile.response_bytes.unwrap_or(FULL_FACTOR_BYTES) + HEAD_BYTES;
    let surcharge = (REMOTE_FACTOR_MAX - least).max(0.0) * (bytes / FULL_FACTOR_BYTES).min(1.0);
    (least + surcharge * calm) * (1.0 + SPREAD * calm * (draw - 0.5))
}

/// Returns the expected cost of a replica in another data centre: at least what the distance and
/// the recent responses of all replicas there show.
///
/// A node that sends little to a replica elsewhere has no recent responses of its own, while the
/// callers there may have filled all replicas.
pub(crate) fn remote_cost(
    policy: &Policy,
    context: ChoiceContext,
    cost: f64,
    extra_us: f64,
    elsewhere: &DataCentre,
    now_us: u64,
) -> f64 {
    if !policy.locality {
        return cost;
    }
    let distance = context
        .profile
        .latency_us
        .map_or(0.0, |latency_us| extra_us / latency_us.max(1.0));
    cost.max(1.0 + DISTANCE_SHARE * distance)
        .max(elsewhere.cost(policy, now_us))
}

/// Returns the additional cost of a replica with requests in flight and without a result for
/// `silent_us`.
pub(crate) fn stall_cost(policy: &Policy, context: ChoiceContext, silent_us: u64) -> f64 {
    let Some(latency_us) = context.profile.latency_us.filter(|_| policy.stall_costs) else {
        return 0.0;
    };
    let silent = silent_us as f64 / latency_us.max(1.0);
    (silent - STALL_RATIO).max(0.0) * STALL_COST
}

/// Returns the time before the response is due at which a hedge to another data centre is sent.
///
/// While more time is left, the own replica is likely to answer, and the hedge would be bytes for
/// nothing. `extra_us` is the distance.
pub(crate) fn remote_hedge_lead_us(profile: RouteProfile, extra_us: f64) -> u64 {
    let lead_us = |latency_us| latency_us * REMOTE_WAIT_RATIO + extra_us;
    profile
        .latency_us
        .map_or(u64::MAX, |latency_us| lead_us(latency_us) as u64)
}

/// Returns the largest cost of a data centre whose replicas get hedges.
pub(crate) fn hedge_cost_max(profile: RouteProfile, extra_us: f64) -> f64 {
    let distance = |latency_us: f64| extra_us / latency_us.max(1.0);
    HEDGE_COST_MAX + profile.latency_us.map_or(0.0, distance)
}
