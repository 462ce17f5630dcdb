//! Decides when sub-requests start at the replicas that this node owns.
//!
//! [`Gate`] takes events with the current time and pushes actions. It does no I/O, reads no
//! clock, starts no threads and uses no random numbers.
//!
//! - Target: the process at the address of a replica.
//! - Entry node: the node that received a caller's query. It sends the sub-requests for the
//!   query to the owners of the replicas.
//! - Slot: room for one concurrent request at a replica; the configuration sets their number.
//! - Owner: the one node through which all requests to a replica go. It enforces the limits of
//!   the replica.
//! - Lease: the right of an owner to start requests until a certain time.
//! - Epoch: version of the table that assigns replicas to owners.
//! - Cold replica: one that started recently, or may have. It runs under the cold bound, a limit
//!   of concurrency and rate, which a ramp raises step by step.
//! - Unconfirmed request: one that the target may still run, because it ended without a reply or
//!   a previous owner sent it. It occupies a slot.

mod admission;
mod context;
mod deadline_queue;
mod fair_queue;
mod gate;
mod gate_action;
mod gate_counters;
mod gate_event;
mod latency;
mod ownership;
mod prober;
mod ramp;
mod replica_gate;
mod replica_load;
mod running_request;
mod start_window;
mod target_replies;
mod time;
mod unconfirmed;

pub use gate::Gate;
pub use gate_action::GateAction;
pub use gate_counters::GateCounters;
pub use gate_event::GateEvent;
pub use replica_load::ReplicaLoad;
