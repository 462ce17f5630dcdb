use wigeonhall_dispatch::Policy;

/// A policy to compare.
#[derive(Clone, Copy, Debug)]
pub struct PolicyVariant {
    /// Name in tables.
    pub name: &'static str,
    /// The policy.
    pub policy: Policy,
}

/// Returns the policy in use, and variants that lack or replace one of its mechanisms.
#[must_use]
pub fn policy_variants() -> Vec<PolicyVariant> {
    let with = |name, change: fn(&mut Policy)| {
        let mut policy = Policy::default();
        change(&mut policy);
        PolicyVariant { name, policy }
    };
    vec![
        with("in use", |_| {}),
        // Nothing is done about load, and failures and latencies count by plain means.
        with("plain", |policy| {
            policy.admission = false;
            policy.failure_exponent = 1.0;
            policy.geometric_slowness = false;
            policy.hedging_queue_share = 1.0;
        }),
        with("fixed connect timeout", |policy| {
            policy.adaptive_connect_timeout = false;
        }),
        with("no admission", |policy| policy.admission = false),
        with("no early refusal", |policy| policy.early_refusal = false),
        with("hedges under load", |policy| {
            policy.hedging_queue_share = 1.0;
        }),
        with("hedges without room", |policy| policy.hedge_room = false),
        with("no hedges", |policy| policy.hedging = false),
        with("no prolonged retries", |policy| {
            policy.prolonged_retries = false;
        }),
        with("no postponement", |policy| policy.postponement = false),
        with("no reserve", |policy| policy.reserved_retries = 0),
        with("assumed round trips", |policy| policy.round_trips = false),
        with("no slowness", |policy| policy.slowness = false),
        with("mean slowness", |policy| policy.geometric_slowness = false),
        with("no failure share", |policy| policy.failure_exponent = 0.0),
        with("plain failure share", |policy| {
            policy.failure_exponent = 1.0;
        }),
        with("no suspension", |policy| policy.suspension = false),
        with("no last resort", |policy| policy.last_resort = false),
        with("constant distance", |policy| {
            *policy = Policy::constant_distance();
        }),
        with("early remote hedges", |policy| {
            policy.later_remote_hedges = false;
        }),
        with("constant factor", |policy| policy.locality = false),
        with("mean ratio", |policy| policy.median_ratio = false),
        with("no stall costs", |policy| policy.stall_costs = false),
        with("slow slowness", |policy| policy.slowness_weight = 0.2),
        with("no distance", |policy| {
            policy.cross_data_centre_cost = 1.0;
            policy.locality = false;
        }),
        with("no tie breaking", |policy| policy.tie_breaking = 0.0),
    ]
}
