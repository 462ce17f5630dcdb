//! A request in progress, from its legs to its answer.

pub(crate) mod answer;
pub(crate) mod answer_lag;
pub(crate) mod answer_summary;
pub(crate) mod crash_trial;
pub(crate) mod group_parts;
pub(crate) mod group_stream;
pub(crate) mod query;
pub(crate) mod shared_gather;
