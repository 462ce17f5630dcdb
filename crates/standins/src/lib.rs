//! Small stand-ins for targets, the object API and the VM list.
//!
//! Each stand-in runs as threads of the calling process on a loopback address and
//! stops when dropped. Faults are set by plain methods.

mod http_message;
mod http_server;
mod object_store;
mod vm_list_server;

pub use object_store::Availability;
pub use object_store::ObjectStore;
pub use object_store::StoreCounts;
pub use vm_list_server::VmListServer;
