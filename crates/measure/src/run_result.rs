use std::collections::BTreeMap;

use crate::ClassStats;
use crate::LatencyBreakdown;
use crate::Traffic;
use crate::fake_target::LimitViolations;
use wigeonhall_types::ClassKey;

/// Results of one measured run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunResult {
    /// Results of each class.
    pub classes: BTreeMap<ClassKey, ClassStats>,
    /// Requests that were sent to targets of a data centre although it had been out of
    /// service for more than 3 s.
    pub late_starts: u64,
    /// Limit violations, summed over all targets.
    pub limit_violations: LimitViolations,
    /// Latency breakdown of each answer; empty unless the run was traced.
    pub traces: BTreeMap<ClassKey, Vec<LatencyBreakdown>>,
    /// Connections to targets and messages between nodes.
    pub traffic: Traffic,
}
