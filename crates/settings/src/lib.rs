//! Node settings and the operators' deployment text, both in YAML.
//!
//! [`check`] lists all errors and warnings of a deployment text, each with its line and
//! a proposed fix. [`parse`] returns the parsed form of a text without errors, and [`resolve`]
//! converts it to the deployment that the other crates use. [`set_out`] edits the text in
//! place. [`IncrementalReader`] checks and parses a text that is given in parts, and parses
//! only the parts that changed. [`check_node`] and [`parse_node`] check and parse the
//! settings of one node.

mod check;
mod class_reader;
mod deployment_reader;
mod deployment_text;
mod edit;
mod finding;
mod incremental_reader;
mod line_index;
mod name_list;
mod nearest;
mod node_settings;
mod part;
mod part_layout;
mod partial_limits;
mod reader;
mod replica_reader;
mod resolve;
mod section;
mod settings_error;
mod vm_reader;
mod yaml;

pub use check::MAX_TEXT_BYTES;
pub use check::check;
pub use check::parse;
pub use deployment_text::ClassText;
pub use deployment_text::DataCentreText;
pub use deployment_text::DeploymentText;
pub use deployment_text::ReplicaText;
pub use deployment_text::VmText;
pub use edit::Place;
pub use edit::set_out;
pub use finding::Finding;
pub use finding::Severity;
pub use incremental_reader::IncrementalReader;
pub use incremental_reader::ReadCounts;
pub use nearest::nearest_name;
pub use node_settings::LogLevel;
pub use node_settings::NodeSettings;
pub use node_settings::SeedNode;
pub use node_settings::Timeouts;
pub use node_settings::check_node;
pub use node_settings::parse_node;
pub use resolve::resolve;
pub use settings_error::SettingsError;
