//! Measurements of the decision logic over fakes in virtual time.
//!
//! A [`World`] runs the query and gate cores of every node of a deployment with
//! fake targets, fixed network delays and a Poisson load. It stands for no real
//! network and no fleet core; ownership is fixed.

mod baseline;
mod comparison;
mod event_queue;
mod fake_store;
mod fake_target;
mod load;
mod network;
mod processor_time;
mod run_result;
mod scenario;
mod session;
mod session_links;
mod session_ownership;
mod session_store;
mod session_trace;
mod session_world;
mod shards;
mod sites;
mod stats;
mod step;
mod trace_event;
mod transcript;
mod transcript_steps;
mod transcript_text;
mod world;
mod world_faults;
mod world_nodes;
mod world_setup;
mod world_targets;

pub use baseline::Baseline;
pub use comparison::Comparison;
pub use comparison::HEADER;
pub use comparison::Plan;
pub use comparison::Site;
pub use comparison::compare;
pub use comparison::scenarios;
pub use comparison::table;
pub use fake_store::FakeStore;
pub use fake_target::OverLimit;
pub use network::Network;
pub use processor_time::ProcessorTime;
pub use processor_time::processor_time;
pub use processor_time::processor_time_table;
pub use run_result::RunResult;
pub use scenario::Fault;
pub use scenario::Scenario;
pub use session::Session;
pub use sites::sites;
pub use stats::ClassStats;
pub use step::Edit;
pub use step::Links;
pub use step::Step;
pub use step::StoreMode;
pub use trace_event::Fate;
pub use trace_event::Message;
pub use trace_event::TraceEvent;
pub use world::World;
