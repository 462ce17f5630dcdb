//! Decision logic of configuration, membership and ownership.
//!
//! [`Fleet`] takes events and a time and pushes actions; it has no I/O, clock,
//! threads or ambient randomness.

mod config_list;
mod config_record;
mod configuration;
mod digest;
mod dissemination;
mod fleet;
mod fleet_action;
mod fleet_counters;
mod fleet_event;
mod gossip_message;
mod inspect;
mod lease;
mod limits;
mod listing;
mod member;
mod member_update;
mod membership;
mod message_size;
mod overrides;
mod ownership;
mod part_hash;
mod parts;
mod probes;
mod proposal;
mod rendezvous;
mod startup;
mod step;
mod stop;
mod text_parts;
mod views;
mod vm_list;

pub use config_list::ConfigManifest;
pub use config_record::ConfigRecord;
pub use digest::Digest;
pub use digest::TableVersion;
pub use dissemination::PushShape;
pub use fleet::Fleet;
pub use fleet::FleetConfig;
pub use fleet_action::FleetAction;
pub use fleet_action::NotReadyReason;
pub use fleet_counters::FleetCounters;
pub use fleet_event::FleetEvent;
pub use gossip_message::EvacuationOverride;
pub use gossip_message::GossipMessage;
pub use gossip_message::PullItem;
pub use gossip_message::TableRecord;
pub use inspect::MemberView;
pub use member_update::MemberState;
pub use member_update::MemberUpdate;
pub use part_hash::NoPartHash;
pub use part_hash::PartHash;
pub use text_parts::PART_MAX_BYTES;
pub use text_parts::PART_MEAN_BYTES;
pub use text_parts::PART_MIN_BYTES;
pub use text_parts::cut;

pub(crate) use listing::Listing;
pub(crate) use member::Member;

/// Validity of an ownership lease in milliseconds.
pub const LEASE_MS: u64 = 3000;
/// Nodes of a region that hold a watch on the configuration.
pub const WATCHERS_PER_REGION: usize = 3;
