//! Simulation of the entry tier: the pools and exchanges of every node against fake replicas, in
//! virtual time.
//!
//! Nodes send to replicas directly and know nothing of each other, as the nodes of small fleets
//! do; gathers whose legs are divided among nodes are not simulated.

mod budget_use;
mod callers;
mod deployment_shape;
mod drawn_shapes;
mod entry_job;
mod entry_load;
mod entry_node;
mod entry_result;
mod entry_world;
mod fake_replica;
mod limit_use;
mod policy_table;
mod policy_variant;
mod replica_events;

pub use deployment_shape::DeploymentShape;
pub use deployment_shape::RouteShape;
pub use drawn_shapes::customer_shape;
pub use drawn_shapes::distant_shape;
pub use drawn_shapes::drawn_shapes;
pub use drawn_shapes::far_callers_shape;
pub use drawn_shapes::lookup_shape;
pub use drawn_shapes::single_slot_shape;
pub use entry_load::EntryFault;
pub use entry_load::EntryLoad;
pub use entry_load::FaultKind;
pub use entry_load::entry_loads;
pub use entry_load::limited_load;
pub use entry_load::outage_load;
pub use entry_result::EntryResult;
pub use entry_result::RouteResult;
pub use entry_world::EntryWorld;
pub use policy_table::mean_benefit;
pub use policy_table::policy_table;
pub use policy_variant::PolicyVariant;
pub use policy_variant::policy_variants;
