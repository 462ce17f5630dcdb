//! The commands of the operators' command, apart from its command line.
//!
//! The commands reach the store, the nodes and the clock through the closures of a
//! [`Context`], so that tests need neither network nor time.

mod apply;
mod burn;
mod context;
mod ctl_error;
mod current;
mod demo;
mod demo_error;
mod difference;
mod evacuate;
mod explain;
mod explain_logs;
mod history;
mod http;
mod list_changes;
mod measure;
mod nodes;
mod overrides;
mod parts;
mod place;
mod plots;
mod report;
mod settle;
mod standins;
mod status;
mod store;
mod validate;
mod wait;

pub use apply::Applied;
pub use apply::apply;
pub use burn::burn;
pub use context::Context;
pub use context::Patience;
pub use context::Wait;
pub use ctl_error::CtlError;
pub use demo::DemoSummary;
pub use demo::ReadSummary;
pub use demo::demo;
pub use demo_error::DemoError;
pub use difference::Change;
pub use difference::difference;
pub use evacuate::evacuate;
pub use explain::explain;
pub use explain_logs::explain_logs;
pub use history::HISTORY_KEPT;
pub use history::history;
pub use history::show;
pub use http::http_nodes;
pub use list_changes::diff;
pub use measure::MeasureOptions;
pub use measure::measure;
pub use nodes::NodeAddress;
pub use nodes::Nodes;
pub use place::set_place;
pub use report::Report;
pub use standins::StandinOptions;
pub use standins::standins;
pub use status::status;
pub use store::Store;
pub use validate::check_text;
pub use wait::MissingNode;
