use std::collections::BTreeMap;

use crate::ClassStats;
use crate::Traffic;
use crate::fake_target::OverLimit;
use wigeonhall_types::ClassKey;

/// Results of one run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunResult {
    /// Results of each class.
    pub classes: BTreeMap<ClassKey, ClassStats>,
    /// Starts at targets of a data centre more than 3 s after it was taken out.
    pub late_starts: u64,
    /// Limit violations, summed over all targets.
    pub over: OverLimit,
    /// Connections and messages between nodes.
    pub traffic: Traffic,
}
