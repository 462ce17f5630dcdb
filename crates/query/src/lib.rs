//! Decision logic of a query at its entry node.
//!
//! [`Coordinator`] takes events and a time and pushes actions; it has no I/O,
//! clock, threads or ambient randomness.

mod answer;
mod attempt;
mod claim;
mod class_view;
mod coordinator;
mod dispatch;
mod hedge_budget;
mod latency_quantile;
mod limits;
mod node_view;
mod observe;
mod open_read;
mod open_write;
mod part;
mod pay;
mod query_action;
mod query_counters;
mod query_event;
mod reach;
mod reads;
mod replica_view;
mod requests;
mod restarts;
mod retries;
mod routes;
mod service_view;
mod silence;
mod timers;
mod version_plan;
mod write_claims;
mod writes;

pub use answer::AbsentRange;
pub use answer::AbsentReason;
pub use answer::Answer;
pub use answer::AnswerStatus;
pub use answer::Coverage;
pub use claim::Claim;
pub use claim::ClaimOutcome;
pub use claim::ClaimResult;
pub use coordinator::Coordinator;
pub use coordinator::CoordinatorConfig;
pub use hedge_budget::ExtraSendBudget;
pub use latency_quantile::LatencyQuantile;
pub use query_action::QueryAction;
pub use query_counters::QueryCounters;
pub use query_event::QueryEvent;
pub use requests::CoverageDemand;
pub use requests::QueryId;
pub use requests::ReadQuery;
pub use requests::WriteQuery;
