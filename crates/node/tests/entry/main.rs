//! End-to-end tests that run the entry tier as a process against stand-ins for the platform.

mod answers;
mod caller;
mod caller_limits;
mod cancellation;
mod crashes;
mod deployment;
mod endless;
mod feed;
mod forwarding;
mod notices;
mod odd_entries;
mod odd_receipts;
mod odd_statuses;
mod planned_stop;
mod process;
#[path = "../soak/proxy.rs"]
mod proxy;
mod quotas;
mod recovery;
mod restarted_replicas;
mod shared_gather;
mod store;
mod suspended;
mod tenant_messages;
mod tenants;
mod unnamed_services;
