//! Decision logic of the node that owns a replica's limits.
//!
//! [`Gate`] takes events and a time and pushes actions; it has no I/O, clock,
//! threads or ambient randomness.

mod admission;
mod gate;
mod gate_action;
mod gate_counters;
mod gate_event;
mod inspect;
mod latency;
mod ownership;
mod prober;
mod ramp;
mod ranked_queue;
mod replica_gate;
mod replies;
mod running;
mod start_window;
mod time;
mod turn;
mod unproved;
mod waiting_list;

pub use gate::Gate;
pub use gate_action::GateAction;
pub use gate_counters::GateCounters;
pub use gate_event::GateEvent;
pub use inspect::ReplicaLoad;
