//! Implements the subcommands of the operators' command; the binary parses the command
//! line.
//!
//! The subcommands access the store, the nodes and the clock through the closures of a
//! [`Context`], so that tests need neither a network nor real time.

mod apply;
mod burn;
mod check_text;
mod config_update;
mod context;
mod ctl_error;
mod current;
mod demo;
mod demo_error;
mod diff;
mod difference;
mod evacuate;
mod explain;
mod explain_logs;
mod history;
mod http;
mod log_causes;
mod measure;
mod node_client;
mod overrides;
mod parts;
mod place;
mod plots;
mod report;
mod standins;
mod status;
mod store;
mod wait;

pub use apply::ApplyOutcome;
pub use apply::apply;
pub use burn::burn;
pub use check_text::check_text;
pub use context::Backoff;
pub use context::BackoffFactory;
pub use context::Context;
pub use ctl_error::CtlError;
pub use demo::DemoSummary;
pub use demo::ReadSummary;
pub use demo::demo;
pub use demo_error::DemoError;
pub use diff::diff;
pub use difference::Change;
pub use difference::difference;
pub use evacuate::evacuate;
pub use explain::explain;
pub use explain_logs::explain_logs;
pub use history::HISTORY_KEPT;
pub use history::history;
pub use history::show;
pub use http::http_node_client;
pub use log_causes::log_causes;
pub use measure::MeasureOptions;
pub use measure::measure;
pub use node_client::NodeAddress;
pub use node_client::NodeClient;
pub use place::set_place_out;
pub use report::Report;
pub use standins::StandinOptions;
pub use standins::standins;
pub use status::status;
pub use store::Store;
pub use wait::MissingNode;
