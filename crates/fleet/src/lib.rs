//! Decision logic for the configuration, the membership and the replica ownership of a
//! node.
//!
//! [`Fleet::handle`] takes an event and the time, and appends actions. The crate performs
//! no I/O, reads no clock, starts no threads and uses only the random seed it is given.
//!
//! - Store: the object store that holds the configuration and the ownership tables.
//! - Generation: version of the configuration. A configuration is a text in parts, and a
//!   manifest that lists the hashes of the parts.
//! - Evacuation override: an operator's request to take a VM or a data centre out of service
//!   without the store. It ends when a configuration contains its id.
//! - VM list: the platform's list of the fleet's VMs. A node whose VM is missing from it is gone.
//! - Owner: the one node through which all requests to a replica go. The ownership table of
//!   each data centre assigns replicas to owners; its version is the epoch.
//! - Grant: permission to use an owned replica once no previous owner can use it any more.
//! - Lease: the right of an owner to start requests until a certain time. It needs a proof,
//!   evidence that the ownership table was the newest at a certain time.
//! - Consent: agreement of a member that the ownership table may be replaced, after which it
//!   no longer acknowledges that table.
//! - Quarantine: the time after a start in which a node neither consents nor acknowledges,
//!   because promises of its previous run may still hold.
//! - Rank: position of a node in a fixed pseudorandom order of the nodes of its data centre,
//!   which decides who acts first.

mod config_manifest;
mod config_record;
mod configuration;
mod digest;
mod dissemination;
mod event_context;
mod fleet;
mod fleet_action;
mod fleet_counters;
mod fleet_event;
mod gossip_message;
mod inspect;
mod lease;
mod limits;
mod listed_state;
mod member;
mod member_groups;
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
mod stop;
mod text_parts;
mod vm_list;

pub use config_manifest::ConfigManifest;
pub use config_record::ConfigRecord;
pub use digest::Digest;
pub use digest::TableVersion;
pub use dissemination::PushTopology;
pub use fleet::Fleet;
pub use fleet::FleetSettings;
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
pub use part_hash::InvalidPartHash;
pub use part_hash::PartHash;
pub use text_parts::PART_MAX_BYTES;
pub use text_parts::PART_MEAN_BYTES;
pub use text_parts::PART_MIN_BYTES;
pub use text_parts::split_text;

pub(crate) use listed_state::ListedState;
pub(crate) use member::Member;

/// Validity of an ownership lease in milliseconds, counted from the time its proof was
/// requested.
pub const LEASE_MS: u64 = 3000;
/// Number of nodes in each region that keep a watch on the configuration in the store.
pub const WATCHERS_PER_REGION: usize = 3;
