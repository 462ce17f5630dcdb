use std::fmt::Display;
use std::fmt::Formatter;
use std::sync::Arc;

use wigeonhall_platform::PlatformError;
use wigeonhall_protocol::APPLY_TIMEOUT_HOURS;
use wigeonhall_settings::SettingsError;

/// Why a command did not do what it was asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CtlError {
    /// The stored configuration cannot be read.
    BadRecord {
        /// Path of the object.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// Another change was accepted first; nothing was written.
    Conflict {
        /// Who applied the other change.
        author: Arc<str>,
        /// Id of the other change.
        change_id: Arc<str>,
        /// Generation of the other change.
        generation: u64,
    },
    /// The demonstration ended early.
    Demo(String),
    /// A file cannot be read.
    File {
        /// The file.
        path: String,
        /// Why.
        reason: String,
    },
    /// The store holds no configuration yet.
    NoConfiguration,
    /// History holds no such generation.
    NoGeneration(u64),
    /// No node took the evacuation; holds why, by node.
    NoNodeAccepted(Vec<String>),
    /// No node is named and the store is not asked.
    NoNodes,
    /// The address of the store is not given.
    NoStore,
    /// The text has mistakes, or the place cannot be edited.
    Settings(SettingsError),
    /// The store did not do what it was asked; nothing was changed.
    Store(PlatformError),
    /// Writing the parts of the text took so long that they may be deleted again.
    TooLate,
    /// The update may have been accepted or not.
    Unsettled {
        /// Id of the change.
        change_id: Arc<str>,
        /// Generation that the change was based on.
        base: u64,
    },
}

impl CtlError {
    /// Exit code of the command.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) => 2,
            Self::Conflict { .. } => 3,
            Self::BadRecord { .. }
            | Self::Demo(_)
            | Self::File { .. }
            | Self::NoConfiguration
            | Self::NoGeneration(_)
            | Self::NoNodeAccepted(_)
            | Self::NoNodes
            | Self::NoStore
            | Self::Store(_)
            | Self::TooLate => 5,
            Self::Unsettled { .. } => 6,
        }
    }
}

impl Display for CtlError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::BadRecord { path, reason } => {
                write!(f, "the object {path} is not a configuration: {reason}")
            }
            Self::Conflict {
                author,
                change_id,
                generation,
            } => write!(
                f,
                "nothing was written: generation {generation} by {author} (change {change_id}) \
                 was accepted first; look at it with `wigeonhall diff` and apply again"
            ),
            Self::Demo(reason) => write!(f, "demonstration: {reason}"),
            Self::File { path, reason } => write!(f, "cannot read {path}: {reason}"),
            Self::NoConfiguration => write!(f, "the store holds no configuration yet"),
            Self::NoGeneration(generation) => {
                write!(f, "the history has no generation {generation}")
            }
            Self::NoNodeAccepted(reasons) => {
                write!(f, "no node took the evacuation")?;
                reasons.iter().try_for_each(|it| write!(f, "\n  {it}"))
            }
            Self::NoNodes => write!(f, "name the nodes with --nodes or WIGEONHALL_NODES"),
            Self::NoStore => write!(f, "name the store with --store or WIGEONHALL_STORE"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::Store(error) => write!(f, "nothing was changed: {error}"),
            Self::TooLate => write!(
                f,
                "nothing was changed: writing the parts of the text took longer than \
                 {APPLY_TIMEOUT_HOURS} h; apply it again"
            ),
            Self::Unsettled { change_id, base } => write!(
                f,
                "it is not known whether change {change_id}, based on generation {base}, was \
                 accepted; look for it with `wigeonhall history` when the store answers again"
            ),
        }
    }
}

impl std::error::Error for CtlError {}

impl From<PlatformError> for CtlError {
    fn from(error: PlatformError) -> Self {
        Self::Store(error)
    }
}

impl From<SettingsError> for CtlError {
    fn from(error: SettingsError) -> Self {
        Self::Settings(error)
    }
}
