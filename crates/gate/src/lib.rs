//! Decides when sub-requests start at the replicas whose limits this node owns.
//!
//! [`Gate`] takes events with the current time and pushes actions. It does no I/O, reads no
//! clock, starts no threads and uses no random numbers.

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
