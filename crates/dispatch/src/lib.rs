//! Decisions of the entry tier, without I/O, clocks or threads.
//!
//! [`RouteTable`] finds the route of a request, [`Pool`] holds the replicas and chooses among
//! them, and [`Exchange`] decides what is sent, retried, hedged and answered for one request. A
//! gather is a request to one replica of each shard, whose parts [`merge_records`] merges into
//! the answer. Times are in microseconds of one monotonic clock.

mod admission;
mod availability;
mod change_log;
mod configuration;
mod event_poll;
mod exchange;
mod exchange_outcome;
mod exchange_sub_requests;
mod extra_budget;
mod health;
mod leg;
mod merge;
mod node_backoffs;
mod notice;
mod outcome;
mod pacing;
mod peers;
mod policy;
mod pool;
mod pool_membership;
mod reading_role;
mod registration;
mod rendezvous;
mod replica;
mod replica_key;
mod reply;
mod response_memory;
mod retained_notices;
mod route;
mod route_latency;
mod route_table;
mod service;
mod store_health;

pub use availability::Availability;
pub use change_log::BatchFit;
pub use change_log::ChangeBatch;
pub use change_log::ChangeLog;
pub use configuration::Configuration;
pub use configuration::RequestLimits;
pub use configuration::ServiceSpec;
pub use event_poll::EventPoll;
pub use exchange::Exchange;
pub use exchange::SubRequest;
pub use extra_budget::ExtraAllowance;
pub use leg::DeadReason;
pub use leg::LegState;
pub use merge::RECORD_BYTES;
pub use merge::merge_records;
pub use notice::Notice;
pub use outcome::GiveUpReason;
pub use outcome::Outcome;
pub use outcome::RefuseReason;
pub use pacing::silence_limit_ms;
pub use pacing::watch_pause_ms;
pub use peers::PeerNode;
pub use peers::Peers;
pub use peers::RelayGroup;
pub use policy::Policy;
pub use pool::ExtraReason;
pub use pool::Pool;
pub use pool::PoolCounts;
pub use reading_role::ReadingRole;
pub use registration::Registration;
pub use registration::RegistrationState;
pub use replica::Replica;
pub use replica_key::ReplicaKey;
pub use reply::NotRunCause;
pub use reply::Reply;
pub use reply::UnknownCause;
pub use response_memory::ResponseMemoryBudget;
pub use route::Route;
pub use route::RouteKind;
pub use route::RouteSpec;
pub use route::RouteTarget;
pub use route::Selection;
pub use route::TargetSpec;
pub use route::WeightedService;
pub use route_latency::RouteLatency;
pub use route_table::RouteTable;
pub use service::ServiceKey;
pub use store_health::StoreHealth;
