//! Decision logic of the node that owns a replica's limits.
//!
//! [`Gate`] takes events and a time and pushes actions; it has no I/O, clock,
//! threads or ambient randomness.

mod gate;
mod gate_action;
mod gate_counters;
mod gate_event;

pub use gate::Gate;
pub use gate_action::GateAction;
pub use gate_counters::GateCounters;
pub use gate_event::GateEvent;
