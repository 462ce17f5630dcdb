//! Decides how the entry node of a query serves it: routing, hedges, retries, restarts and
//! write claims.
//!
//! [`Coordinator`] is a state machine: each call takes an event and the current time and
//! appends actions. It performs no I/O, reads no clock, starts no threads, and draws
//! randomness only from its seed.
//!
//! A read is split into legs; a leg is the share of a request that one shard service answers.
//! Each leg is served by sub-requests: a first attempt, hedges and retries, each sent to one
//! replica through the replica's owner, the one node that all requests to the replica go
//! through. Owners describe their replicas in reports, from which the coordinator routes.

mod answer;
mod claim;
mod class_view;
mod coordinator;
mod extra_sub_request_budget;
mod latency_quantile;
mod leg_sub_requests;
mod limits;
mod node_view;
mod open_read;
mod open_sub_request;
mod open_write;
mod owner_liveness;
mod query_action;
mod query_counters;
mod query_event;
mod query_leg;
mod reachability;
mod reads;
mod replica_feedback;
mod replica_view;
mod requests;
mod restarts;
mod retries;
mod routing_table;
mod service_view;
mod sub_request_cost;
mod timers;
mod version_plan;
mod write_claims;
mod write_endings;
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
pub use extra_sub_request_budget::ExtraSubRequestBudget;
pub use latency_quantile::LatencyQuantile;
pub use query_action::QueryAction;
pub use query_counters::QueryCounters;
pub use query_event::QueryEvent;
pub use requests::CoverageDemand;
pub use requests::QueryId;
pub use requests::ReadQuery;
pub use requests::WriteQuery;
