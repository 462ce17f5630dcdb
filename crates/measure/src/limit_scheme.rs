use crate::MeasuredDeployment;
use crate::RunResult;
use crate::Scenario;
use crate::World;
use crate::direct_world::DirectWorld;

/// Scheme that enforces the limits of replicas across entry nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitScheme {
    /// No limits: each sub-request goes to a random replica.
    Random,
    /// Fixed shares: the slots of each service are divided among the nodes, at least one for each
    /// node.
    FixedSharesOfSome,
    /// Fixed shares: each node has one slot of every replica.
    FixedSharesOfEach,
    /// One token for each slot, passed between nodes.
    SlotTokens,
    /// One owner node per replica, without hedges.
    OwnerWithoutHedges,
    /// One owner node per replica, with hedges, as in the product.
    Owner,
}

impl LimitScheme {
    /// All schemes, in the order of the tables.
    pub const ALL: [Self; 6] = [
        Self::Random,
        Self::FixedSharesOfSome,
        Self::FixedSharesOfEach,
        Self::SlotTokens,
        Self::OwnerWithoutHedges,
        Self::Owner,
    ];

    /// Returns the name in tables and charts.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::FixedSharesOfSome => "share some",
            Self::FixedSharesOfEach => "share each",
            Self::SlotTokens => "lent",
            Self::OwnerWithoutHedges => "owner, no hedges",
            Self::Owner => "owner",
        }
    }

    /// Runs a scenario; see [`World::run`]. In schemes without owners, a request that needs a
    /// new connection also takes the time to open it.
    #[must_use]
    pub fn run(
        self,
        site: &MeasuredDeployment,
        scenario: &Scenario,
        seed: u64,
        warm_up_us: u64,
        run_us: u64,
    ) -> RunResult {
        let direct_world =
            || DirectWorld::new(site.deployment.clone(), site.network, seed).with_connections();
        let world = || World::new(site.deployment.clone(), site.network, seed);
        match self {
            Self::Random => direct_world().run(scenario, warm_up_us, run_us),
            Self::FixedSharesOfSome => direct_world()
                .with_slot_shares(false)
                .run(scenario, warm_up_us, run_us),
            Self::FixedSharesOfEach => direct_world()
                .with_slot_shares(true)
                .run(scenario, warm_up_us, run_us),
            Self::SlotTokens => direct_world()
                .with_slot_tokens()
                .run(scenario, warm_up_us, run_us),
            Self::OwnerWithoutHedges => world().without_hedges().run(scenario, warm_up_us, run_us),
            Self::Owner => world().run(scenario, warm_up_us, run_us),
        }
    }
}
