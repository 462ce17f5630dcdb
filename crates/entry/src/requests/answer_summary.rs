/// Numbers about an answered request, for the log and the metrics.
pub(crate) struct AnswerSummary {
    pub(crate) extra_sends: u32,
    pub(crate) legs: usize,
    pub(crate) missing: Vec<String>,
    /// Number of nodes that collected parts.
    pub(crate) nodes: usize,
}
