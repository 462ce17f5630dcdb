//! Node settings and the operators' deployment text, both in YAML.
//!
//! [`check`] lists every mistake of a deployment text with its line and what
//! would mend it, [`parse`] gives the content of a text without errors and
//! [`resolve`] turns that into the deployment the cores work on. [`set_out`]
//! edits the text in place. [`IncrementalReader`] does what [`check`] and [`parse`] do,
//! for texts that change in few places. [`check_node`] and [`parse_node`] do the same
//! for the settings of one node.

mod check;
mod class_reader;
mod deployment_reader;
mod deployment_text;
mod edit;
mod finding;
mod incremental_reader;
mod lines;
mod name_list;
mod nearest;
mod node_settings;
mod part;
mod part_shape;
mod partial_limits;
mod reader;
mod replica_reader;
mod resolve;
mod section;
mod settings_error;
mod tree;
mod vm_reader;

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
pub use nearest::nearest;
pub use node_settings::LogLevel;
pub use node_settings::NodeSettings;
pub use node_settings::SeedNode;
pub use node_settings::Timeouts;
pub use node_settings::check_node;
pub use node_settings::parse_node;
pub use resolve::resolve;
pub use settings_error::SettingsError;
