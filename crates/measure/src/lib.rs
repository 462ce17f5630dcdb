//! Simulation of the query tier in virtual time, for measurements and fuzz tests.
//!
//! A [`World`] runs the query and gate cores (the decision logic of a node, without I/O) of
//! every node of a deployment against fake targets, with fixed network delays and Poisson
//! arrivals. An entry node receives a query, and sends its sub-requests to the owner of each
//! replica: the one node that all requests to the replica go through. Neither a real network
//! nor the fleet core, which decides on leases and ownership, is simulated; in a measured run,
//! ownership changes only when a scenario loses or replaces a node. A [`Session`] runs a script
//! of requests and faults instead and records a trace.
//!
//! An [`EntryWorld`] runs the decisions of the entry tier of every node, which sends to replicas
//! directly, against fake replicas; [`policy_table`] compares its policies.
//!
//! A [`DirectWorld`] simulates schemes without owners, including the baseline, and an
//! [`IdealScheduler`] bounds what any scheduler can achieve without hedges.

mod cold_ramp;
mod comparison;
mod connections;
mod direct_limits;
mod direct_targets;
mod direct_world;
mod entry;
mod event_queue;
mod fake_store;
mod fake_target;
mod ideal;
mod latency_breakdown;
mod limit_scheme;
mod load;
mod network;
mod processor_time;
mod query_trace;
mod run_result;
mod scenario;
mod scheme_comparison;
mod session;
mod session_links;
mod session_ownership;
mod session_store;
mod session_trace;
mod session_world;
mod shards;
mod sites;
mod slot_shares;
mod slot_tokens;
mod slot_tokens_lost;
mod stats;
mod step;
mod token_message;
mod trace_event;
mod trace_table;
mod traffic;
mod transcript;
mod transcript_steps;
mod transcript_text;
mod world;
mod world_faults;
mod world_loss;
mod world_nodes;
mod world_setup;
mod world_targets;
mod world_trace;

pub use comparison::COMPARISON_HEADER;
pub use comparison::Comparison;
pub use comparison::MeasuredDeployment;
pub use comparison::RunPlan;
pub use comparison::compare;
pub use comparison::comparison_table;
pub use comparison::scenarios;
pub use direct_world::DirectWorld;
pub use entry::DeploymentShape;
pub use entry::EntryFault;
pub use entry::EntryLoad;
pub use entry::EntryResult;
pub use entry::EntryWorld;
pub use entry::FaultKind;
pub use entry::PolicyVariant;
pub use entry::RouteResult;
pub use entry::RouteShape;
pub use entry::customer_shape;
pub use entry::distant_shape;
pub use entry::drawn_shapes;
pub use entry::entry_loads;
pub use entry::far_callers_shape;
pub use entry::limited_load;
pub use entry::lookup_shape;
pub use entry::mean_benefit;
pub use entry::outage_load;
pub use entry::policy_table;
pub use entry::policy_variants;
pub use entry::single_slot_shape;
pub use fake_store::FakeStore;
pub use fake_target::LimitViolations;
pub use ideal::IdealScheduler;
pub use latency_breakdown::HedgeOutcome;
pub use latency_breakdown::LatencyBreakdown;
pub use latency_breakdown::ReplicaCondition;
pub use limit_scheme::LimitScheme;
pub use network::Network;
pub use processor_time::ProcessorTime;
pub use processor_time::processor_time;
pub use processor_time::processor_time_table;
pub use run_result::RunResult;
pub use scenario::Fault;
pub use scenario::Scenario;
pub use scheme_comparison::LIMIT_SCHEME_HEADER;
pub use scheme_comparison::LimitSchemeComparison;
pub use scheme_comparison::compare_limit_schemes;
pub use scheme_comparison::limit_scheme_scenarios;
pub use scheme_comparison::limit_scheme_table;
pub use session::Session;
pub use sites::sites;
pub use stats::ClassStats;
pub use step::DeploymentChange;
pub use step::MessageFaults;
pub use step::Step;
pub use step::StoreMode;
pub use trace_event::Delivery;
pub use trace_event::Message;
pub use trace_event::TraceEvent;
pub use trace_table::trace_table;
pub use traffic::Traffic;
pub use world::World;
