//! Small stand-ins for targets, the object API (the store of versioned objects) and the
//! platform's VM list.
//!
//! Each stand-in serves HTTP on a loopback address from threads of the calling process
//! and stops when dropped. Its methods inject faults.

mod cold_start;
mod http_message;
mod http_server;
mod object_store;
mod target;
mod target_counts;
mod target_settings;
mod target_state;
mod vm_list_server;

pub use object_store::Availability;
pub use object_store::ObjectStore;
pub use object_store::StoreCounts;
pub use target::HealthFreshness;
pub use target::Target;
pub use target_counts::TargetCounts;
pub use target_settings::ColdSettings;
pub use target_settings::ColdViolation;
pub use target_settings::TargetSettings;
pub use target_state::rows_in_range;
pub use vm_list_server::VmListServer;
