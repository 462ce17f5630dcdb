//! The process: start, stop, clock, log, metrics, readiness and the state that all tasks share.

pub(crate) mod clock;
pub(crate) mod descriptor_limit;
pub(crate) mod event;
pub(crate) mod event_log;
pub(crate) mod held_memory;
pub(crate) mod lifecycle;
pub(crate) mod loop_times;
pub(crate) mod metrics;
pub(crate) mod node_state;
pub(crate) mod readiness;
pub(crate) mod record_log;
pub(crate) mod run;
pub(crate) mod supervisor;
