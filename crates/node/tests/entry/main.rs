//! The entry tier as a process, against stand-ins of the platform.

mod answers;
mod caller;
mod cancellation;
mod deployment;
mod forwarding;
mod planned_stop;
mod shared_gather;
mod store;
