//! Decision logic of configuration, membership and ownership.
//!
//! [`Fleet`] takes events and a time and pushes actions; it has no I/O, clock,
//! threads or ambient randomness.

mod config_record;
mod fleet;
mod fleet_action;
mod fleet_counters;
mod fleet_event;
mod gossip_message;

pub use config_record::ConfigRecord;
pub use fleet::Fleet;
pub use fleet::FleetConfig;
pub use fleet_action::FleetAction;
pub use fleet_action::NotReadyReason;
pub use fleet_counters::FleetCounters;
pub use fleet_event::FleetEvent;
pub use gossip_message::EvacuationOverride;
pub use gossip_message::GossipMessage;
pub use gossip_message::TableRecord;
