/// Length of the measured part of a load.
const RUN_US: u64 = 12_000_000;

/// Start of the faults, after the nodes have learned the latencies of the calm.
const FAULT_FROM_US: u64 = 4_000_000;

/// A load on a simulated deployment, with the faults of its replicas.
#[derive(Clone, Debug)]
pub struct EntryLoad {
    /// Faults of replicas.
    pub faults: Vec<EntryFault>,
    /// Load of the callers of the first data centre after the calm, relative to those of each other
    /// one.
    pub first_factor: f64,
    /// Offered load of the others, as a share of the capacity of all slots.
    pub load: f64,
    /// Name in tables.
    pub name: &'static str,
    /// Time at which arrivals end.
    pub run_us: u64,
}

/// A fault of replicas in each of some shards.
#[derive(Clone, Copy, Debug)]
pub struct EntryFault {
    /// Whether all replicas of these shards have it, or only the first one of each.
    pub all_replicas: bool,
    /// Time at which it begins.
    pub from_us: u64,
    /// What the replicas do.
    pub kind: FaultKind,
    /// Share of the shards.
    pub share: f64,
    /// Time at which it ends.
    pub until_us: u64,
}

/// What a replica with a fault does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// It is out of reach, and connections to it are not answered.
    Dark,
    /// It is out of reach; connections to it are refused.
    Down,
    /// It names a limit of its rate: this share of the requests that it gets in the calm. It
    /// runs what it gets beyond that all the same.
    Limited(f64),
    /// It resets this share of the connections after it ran the request.
    Reset(f64),
    /// It refuses this share of the requests without running them.
    Shed(f64),
    /// It works slower by this factor.
    Slow(f64),
}

/// Returns the loads that policies are compared under.
#[must_use]
pub fn entry_loads() -> Vec<EntryLoad> {
    let calm = |name, load| EntryLoad {
        faults: Vec::new(),
        first_factor: 1.0,
        load,
        name,
        run_us: RUN_US,
    };
    let fault = |name, kind, share| EntryLoad {
        faults: vec![EntryFault {
            all_replicas: false,
            from_us: FAULT_FROM_US,
            kind,
            share,
            until_us: RUN_US,
        }],
        first_factor: 1.0,
        load: 0.3,
        name,
        run_us: RUN_US,
    };
    vec![
        calm("calm 0.3", 0.3),
        calm("calm 0.45", 0.45),
        calm("calm 0.8", 0.8),
        calm("overload 1.5", 1.5),
        fault("dark", FaultKind::Dark, 0.15),
        fault("down", FaultKind::Down, 0.15),
        fault("reset", FaultKind::Reset(0.4), 0.5),
        fault("shed", FaultKind::Shed(0.6), 0.8),
        fault("slow", FaultKind::Slow(8.0), 0.3),
    ]
}

/// Returns a load in which replicas of most shards limit their rate to half of what they get in the
/// calm: all replicas of these shards, or only one of each.
#[must_use]
pub fn limited_load(all_replicas: bool) -> EntryLoad {
    EntryLoad {
        faults: vec![EntryFault {
            all_replicas,
            from_us: FAULT_FROM_US,
            kind: FaultKind::Limited(0.5),
            share: 0.7,
            until_us: 2 * RUN_US,
        }],
        first_factor: 1.0,
        load: 0.3,
        name: "limited",
        run_us: 2 * RUN_US,
    }
}

/// Returns a load of which all replicas of all shards are out of reach for some seconds.
#[must_use]
pub fn outage_load(outage_us: u64) -> EntryLoad {
    EntryLoad {
        faults: vec![EntryFault {
            all_replicas: true,
            from_us: FAULT_FROM_US,
            kind: FaultKind::Down,
            share: 1.0,
            until_us: FAULT_FROM_US + outage_us,
        }],
        first_factor: 1.0,
        load: 0.3,
        name: "outage",
        run_us: RUN_US,
    }
}
