use crate::RunResult;
use crate::Scenario;
use crate::Site;
use crate::World;
use crate::plain::Plain;

/// A way to hold the limits of replicas across entry nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitScheme {
    /// Not at all: a random replica.
    Random,
    /// Each node has one slot of one replica of each service, or as many as there are.
    ShareSome,
    /// Each node has one slot of every replica.
    ShareEach,
    /// Slots are tokens that nodes lend each other.
    Lent,
    /// One owner node per replica, without hedges.
    OwnerPlain,
    /// One owner node per replica: the product.
    Owner,
}

impl LimitScheme {
    /// All ways, in the order of the tables.
    pub const ALL: [Self; 6] = [
        Self::Random,
        Self::ShareSome,
        Self::ShareEach,
        Self::Lent,
        Self::OwnerPlain,
        Self::Owner,
    ];

    /// Name in tables and charts.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::ShareSome => "share some",
            Self::ShareEach => "share each",
            Self::Lent => "lent",
            Self::OwnerPlain => "owner, no hedges",
            Self::Owner => "owner",
        }
    }

    /// Runs a scenario; see [`World::run`]. All ways but the owners' pay for connections
    /// that they open on the way of a request.
    #[must_use]
    pub fn run(
        self,
        site: &Site,
        scenario: &Scenario,
        seed: u64,
        warm_up_us: u64,
        run_us: u64,
    ) -> RunResult {
        let plain = || Plain::new(site.deployment.clone(), site.network, seed).with_connections();
        let world = || World::new(site.deployment.clone(), site.network, seed);
        match self {
            Self::Random => plain().run(scenario, warm_up_us, run_us),
            Self::ShareSome => plain().with_shares(false).run(scenario, warm_up_us, run_us),
            Self::ShareEach => plain().with_shares(true).run(scenario, warm_up_us, run_us),
            Self::Lent => plain().with_loans().run(scenario, warm_up_us, run_us),
            Self::OwnerPlain => world().without_hedges().run(scenario, warm_up_us, run_us),
            Self::Owner => world().run(scenario, warm_up_us, run_us),
        }
    }
}
